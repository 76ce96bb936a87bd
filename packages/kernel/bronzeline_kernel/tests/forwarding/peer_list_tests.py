import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.forwarding import PeerList, RouterEntry


def router(number, zone="zone-a"):
    return RouterEntry(f"{zone}-{number}", "10.0.0.1", 7_000 + number, zone)


OWN = router(0)


class PeerListTests(unittest.TestCase):
    def setUp(self):
        self.peers = PeerList(OWN)
        others = [router(number) for number in range(1, 9)]
        self.peers.replace([OWN, *others, router(20, "zone-b")])

    def test_finds_peers_by_zone_id_and_address(self):
        self.assertEqual((len(self.peers), len(self.peers.all)), (9, 9))
        self.assertEqual(len(self.peers.in_zone), 8)
        self.assertEqual(self.peers.in_other_zones, (router(20, "zone-b"),))
        self.assertEqual(self.peers.get("zone-a-3"), router(3))
        self.assertEqual(self.peers.find_by_address(("10.0.0.1", 7_003)), router(3))
        self.assertIsNone(self.peers.get(OWN.router_id))
        self.assertIsNone(self.peers.find_by_address(("10.0.0.1", 7_000)))

    def test_new_list_replaces_the_old_one(self):
        self.peers.replace([router(1)])
        self.assertEqual(self.peers.all, (router(1),))
        self.assertIsNone(self.peers.get("zone-a-3"))

    @params(
        ([OWN, router(1)], True),
        ([router(1)], True),
        ([router(1), router(2)], False),
        ([replace(router(1), host="10.0.0.9")], False),
    )
    def test_lists_with_the_same_routers_have_the_same_checksum(self, entries, same):
        first, second = PeerList(OWN), PeerList(OWN)
        self.assertFalse(first.is_listed)
        self.assertTrue(first.replace([router(1)]))
        second.replace(entries)
        self.assertEqual(first.digest == second.digest, same)
        self.assertEqual(first.replace(entries), not same)
        self.assertIn(OWN, first.listing().routers)

    @params((0, 0), (1, 1), (2, 2), (8, 3))
    def test_number_of_holders_is_three_or_all_peers(self, n_peers, n_holders):
        self.peers.replace([router(number) for number in range(1, n_peers + 1)])
        holders = self.peers.run_holders("hash")
        self.assertEqual(len({item.router_id for item in holders}), n_holders)

    def test_routers_choose_nearly_the_same_holders(self):
        """A router never chooses itself, so two choices differ by at most one."""
        for number in range(200):
            run_hash = f"hash-{number}"
            other = PeerList(router(5))
            other.replace([OWN, *self.peers.all])
            chosen = {item.router_id for item in self.peers.run_holders(run_hash)}
            chosen_by_other = {item.router_id for item in other.run_holders(run_hash)}
            self.assertGreaterEqual(len((chosen - {"zone-a-5"}) & chosen_by_other), 2)

    def test_records_are_distributed_over_the_zone(self):
        chosen = [
            item.router_id
            for number in range(400)
            for item in self.peers.run_holders(f"hash-{number}")
        ]
        self.assertEqual(set(chosen), {item.router_id for item in self.peers.in_zone})
