import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import UpstreamSet
from bronzeline_kernel.forwarding.upstream_set import REMOVAL_HOLD_MS
from bronzeline_kernel.tests.forwarding.samples import ENGINES, ORDERS, upstream


def names(upstreams, now_ms=0.0, service=ENGINES):
    return sorted(item.upstream_id for item in upstreams.usable(service, now_ms))


class UpstreamSetTests(unittest.TestCase):
    def setUp(self):
        self.upstreams = UpstreamSet()
        entries = [upstream("e1"), upstream("e2"), upstream("o1", service=ORDERS)]
        self.upstreams.replace_all(entries, 0.0)

    def test_usable_upstreams_are_of_the_service(self):
        self.assertEqual(names(self.upstreams), ["e1", "e2"])
        self.assertEqual(names(self.upstreams, service=ORDERS), ["o1"])

    def test_leaving_upstream_is_not_usable(self):
        self.upstreams.put(upstream("e1", leaving=True))
        self.assertEqual(names(self.upstreams), ["e2"])

    def test_removal_takes_effect_immediately_without_outage(self):
        self.upstreams.remove("e1", 10.0)
        self.assertEqual(names(self.upstreams, 10.0), ["e2"])

    @params((1.0, ["e1", "e2"]), (REMOVAL_HOLD_MS + 1.0, ["e2"]))
    def test_removal_after_outage_takes_effect_later(self, after_ms, expected):
        self.upstreams.store_recovered(1_000.0)
        self.upstreams.replace_all([upstream("e2")], 1_000.0)
        self.assertEqual(names(self.upstreams, 1_000.0 + after_ms), expected)

    def test_entry_registered_again_is_not_removed(self):
        self.upstreams.store_recovered(1_000.0)
        self.upstreams.remove("e1", 1_000.0)
        self.upstreams.put(upstream("e1"))
        self.assertEqual(names(self.upstreams, 9_000.0), ["e1", "e2"])

    @params(
        ("listed", 2_500.0, ["e1", "e2", "new"]),
        ("listed", 9_000.0, ["e1", "e2", "new"]),
        ("not listed", 2_500.0, ["e1", "e2", "new"]),
        ("not listed", 9_000.0, ["e1", "e2"]),
    )
    def test_adopted_upstream_stays_only_if_the_store_lists_it(
        self, state, now_ms, expected
    ):
        self.assertTrue(self.upstreams.adopt(upstream("new")))
        self.assertFalse(self.upstreams.adopt(upstream("new")))
        self.assertEqual(names(self.upstreams, 900.0), ["e1", "e2", "new"])
        self.assertNotIn("new", [x.upstream_id for x in self.upstreams.listed()])
        self.upstreams.store_recovered(1_000.0)
        if state == "listed":
            self.upstreams.put(upstream("new"))
        self.assertEqual(names(self.upstreams, now_ms), expected)

    def test_leaving_takes_effect_while_removals_are_held(self):
        self.upstreams.store_recovered(1_000.0)
        self.upstreams.put(upstream("e1", leaving=True))
        self.assertEqual(names(self.upstreams, 1_001.0), ["e2"])

    @params((1, 2, "new"), (2, 1, "old"))
    def test_only_the_latest_start_at_an_address_is_usable(self, old, new, expected):
        self.upstreams.replace_all(
            [
                upstream("old", started=old, port=80),
                upstream("new", started=new, port=80),
            ],
            0.0,
        )
        self.assertEqual(names(self.upstreams), [expected])

    def test_later_start_of_another_service_supersedes_the_address(self):
        self.upstreams.put(upstream("x", service=ORDERS, started=5, port=90))
        self.upstreams.put(upstream("y", started=4, port=90))
        self.assertNotIn("y", names(self.upstreams))
