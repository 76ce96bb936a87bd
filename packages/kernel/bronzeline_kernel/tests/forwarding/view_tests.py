import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    ForwardingView,
    LeaseTerms,
    StorePosition,
    UpstreamChange,
    UpstreamListing,
)
from bronzeline_kernel.tests.forwarding.samples import upstream


class PeerListingTests(unittest.TestCase):
    def setUp(self):
        self.view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
        listing = UpstreamListing((upstream("a"), upstream("b")), StorePosition(2, 10))
        self.view.apply_listing(listing, 0.0)

    @params(
        ((2, 9), False),
        ((2, 10), False),
        ((2, 11), True),
        ((1, 11), False),
        ((3, 1), True),
    )
    def test_peer_list_is_applied_only_if_newer(self, position, is_applied):
        listing = UpstreamListing((upstream("c"),), StorePosition(*position))
        self.assertEqual(self.view.apply_peer_listing(listing, 0.0), is_applied)
        self.assertEqual(self.view.upstreams.get("c") is not None, is_applied)
        expected = StorePosition(*max((2, 10), position))
        self.assertEqual(self.view.changes.position, expected)

    @params(((2, 9), False), ((2, 11), True), ((1, 12), False), ((3, 12), False))
    def test_changes_of_another_era_are_not_applied(self, position, is_applied):
        change = UpstreamChange("c", upstream("c"))
        self.view.apply_changes((change,), StorePosition(*position), 0.0)
        self.assertEqual(self.view.upstreams.get("c") is not None, is_applied)

    def test_listing_for_peer_leaves_out_held_removals(self):
        """The peer would not be notified again; it holds the removal itself."""
        self.view.upstreams.store_recovered(1_000.0)
        self.view.upstreams.remove("a", 1_100.0)
        self.assertIsNotNone(self.view.upstreams.get("a"))
        names = [item.upstream_id for item in self.view.listing().upstreams]
        self.assertEqual(names, ["b"])
