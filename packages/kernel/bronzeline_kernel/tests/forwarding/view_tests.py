import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import ForwardingView, LeaseTerms, UpstreamListing
from bronzeline_kernel.tests.forwarding.samples import upstream


class PeerListingTests(unittest.TestCase):
    def setUp(self):
        self.view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
        listing = UpstreamListing((upstream("a"), upstream("b")), 10)
        self.view.apply_listing(listing, 0.0)

    @params((9, False), (10, False), (11, True))
    def test_peer_list_is_applied_only_if_newer(self, revision, is_applied):
        listing = UpstreamListing((upstream("c"),), revision)
        self.assertEqual(self.view.apply_peer_listing(listing, 0.0), is_applied)
        self.assertEqual(self.view.upstreams.get("c") is not None, is_applied)
        self.assertEqual(self.view.changes.revision, max(10, revision))

    def test_listing_for_peer_leaves_out_held_removals(self):
        """The peer would not be notified again; it holds the removal itself."""
        self.view.upstreams.store_recovered(1_000.0)
        self.view.upstreams.remove("a", 1_100.0)
        self.assertIsNotNone(self.view.upstreams.get("a"))
        names = [item.upstream_id for item in self.view.listing().upstreams]
        self.assertEqual(names, ["b"])
