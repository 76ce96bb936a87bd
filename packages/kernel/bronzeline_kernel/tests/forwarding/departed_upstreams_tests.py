import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import UpstreamSet
from bronzeline_kernel.forwarding.departed_upstreams import DOUBT_MS
from bronzeline_kernel.tests.forwarding.samples import ENGINES, upstream

# Removals are held until then after the restoration at 10,000 ms.
HOLD_ENDS_MS = 12_000.0


class RelistedUpstreamTests(unittest.TestCase):
    """An upstream left, and a list from a copy shows it as ready again."""

    def setUp(self):
        self.upstreams = UpstreamSet()
        self.upstreams.replace_all([upstream("a"), upstream("b")], 0.0)

    def leave(self, way):
        if way == "removed":
            self.upstreams.remove("a", 1_000.0)
        else:
            self.upstreams.put(upstream("a", leaving=True))

    def restore(self, *entries):
        self.upstreams.store_restored(10_000.0)
        self.upstreams.replace_all(entries, 10_000.0)

    def usable(self, now_ms):
        return {item.upstream_id for item in self.upstreams.usable(ENGINES, now_ms)}

    @params("removed", "leaving")
    def test_it_gets_no_requests_until_it_has_stayed_listed(self, way):
        self.leave(way)
        self.restore(upstream("a"), upstream("b"))
        for now_ms in (10_000.0, 10_000.0 + DOUBT_MS - 1.0):
            self.assertEqual(self.usable(now_ms), {"b"})
        self.assertEqual(self.usable(10_000.0 + DOUBT_MS), {"a", "b"})

    @params("removed", "leaving")
    def test_it_gets_requests_once_it_has_registered_itself(self, way):
        self.leave(way)
        self.restore(upstream("a"), upstream("b"))
        self.upstreams.put(upstream("a"))
        self.assertEqual(self.usable(10_001.0), {"a", "b"})

    @params("removed", "leaving")
    def test_it_stays_away_if_its_entry_expires(self, way):
        self.leave(way)
        self.restore(upstream("a"), upstream("b"))
        self.upstreams.remove("a", HOLD_ENDS_MS + 1_000.0)
        self.assertEqual(self.usable(10_000.0 + DOUBT_MS), {"b"})

    @params("removed", "leaving")
    def test_a_new_start_of_it_gets_requests_at_once(self, way):
        self.leave(way)
        self.restore(upstream("a", started=2), upstream("b"))
        self.assertEqual(self.usable(10_000.0), {"a", "b"})

    @params("removed", "leaving")
    def test_a_list_without_a_restoration_is_believed(self, way):
        self.leave(way)
        self.upstreams.replace_all([upstream("a"), upstream("b")], 10_000.0)
        self.assertEqual(self.usable(10_000.0), {"a", "b"})

    def test_a_peer_gets_the_entry_as_it_is_listed(self):
        self.leave("removed")
        self.restore(upstream("a"), upstream("b"))
        self.assertEqual(set(self.upstreams.listed()), {upstream("a"), upstream("b")})

    def test_those_that_did_not_leave_are_not_doubted(self):
        self.restore(upstream("a"), upstream("b"), upstream("c"))
        self.assertEqual(self.usable(10_000.0), {"a", "b", "c"})
        self.assertEqual(self.upstreams.n_doubted, 0)
