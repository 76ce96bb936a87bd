import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import Prompt, PromptIndex

ENGINE = ("engine", 1)
RESTARTED = ("engine", 2)


class PromptIndexTests(unittest.TestCase):
    def setUp(self):
        self.index = PromptIndex()
        self.index.put(ENGINE, {"own": 4_000, "shared": 200}, 100.0)

    @params(
        (ENGINE, Prompt("own", 5_000), 200.0, 0.8),
        (ENGINE, Prompt("own", 3_000), 200.0, 1.0),
        (ENGINE, Prompt("other", 5_000), 200.0, 0.0),
        (ENGINE, Prompt("own", 0), 200.0, 0.0),
        (RESTARTED, Prompt("own", 5_000), 200.0, 0.0),
        (ENGINE, Prompt("own", 5_000), 4_000.0, 0.0),
    )
    def test_cached_share_by_incarnation_and_age(self, upstream, prompt, now_ms, share):
        self.assertEqual(self.index.cached_share(upstream, prompt, now_ms), share)

    @params((ENGINE, 200.0, True), (ENGINE, 4_000.0, False), (RESTARTED, 200.0, False))
    def test_list_expires(self, upstream, now_ms, is_known):
        self.assertEqual(self.index.has_fresh_list(upstream, now_ms), is_known)

    def test_put_drops_expired_lists(self):
        self.index.put(RESTARTED, {}, 4_000.0)
        self.assertEqual(len(self.index), 1)
