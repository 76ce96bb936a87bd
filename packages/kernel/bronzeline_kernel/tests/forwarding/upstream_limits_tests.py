import unittest

from bronzeline_kernel.forwarding import LimitChange, UpstreamLimits

UPSTREAM = ("u", 1)


class UpstreamLimitsTests(unittest.TestCase):
    def setUp(self):
        self.limits = UpstreamLimits()
        self.changes = []
        self.limits.on_change = self.changes.append

    def test_a_limit_holds_as_long_as_responses_name_it(self):
        for limit_per_s in (None, 2.6, 2.6, 1.1, None, None):
            self.limits.record_response(UPSTREAM, limit_per_s)
            self.assertEqual(self.limits.limit_per_s(UPSTREAM), limit_per_s)
        self.assertEqual(
            self.changes, [LimitChange("u", value) for value in (2.6, 1.1, None)]
        )

    def test_the_limit_of_an_upstream_that_left_is_dropped(self):
        self.limits.record_response(UPSTREAM, 2.6)
        self.limits.record_response(("v", 1), 2.6)
        self.limits.keep_only({("v", 1)})
        self.assertIsNone(self.limits.limit_per_s(UPSTREAM))
        self.assertEqual(len(self.limits), 1)
