import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import Block, BlockList

FOR_MS = 1_000.0
ONE = ("part:a",)
BOTH = ("part:a", "part:b")


class BlockListTests(unittest.TestCase):
    def setUp(self):
        self.blocks = BlockList()

    @params(
        (ONE, ("part:a", "request:1"), True),
        (ONE, ("part:b", "request:1"), False),
        (BOTH, ("part:b", "part:c", "part:a"), True),
        (BOTH, ("part:a", "request:1"), False),
        (("request:1",), ("request:1",), True),
    )
    def test_a_request_is_refused_if_it_has_all_keys(self, blocked, keys, expected):
        self.blocks.add(blocked, FOR_MS, 0.0)
        self.assertEqual(self.blocks.find(keys, 10.0) is not None, expected)

    def test_a_block_ends_after_its_time(self):
        self.blocks.add(ONE, FOR_MS, 0.0)
        self.assertEqual(self.blocks.find(ONE, 400.0).remaining_ms, 600.0)
        self.assertIsNone(self.blocks.find(ONE, FOR_MS))
        self.assertTrue(self.blocks.has_expired(ONE, FOR_MS))
        self.assertFalse(self.blocks.has_expired(BOTH, FOR_MS))

    @params(
        (ONE, ["part:a"], None),
        (BOTH, ["part:a"], ("part:b",)),
        (BOTH, ["part:c"], BOTH),
        (BOTH, ["part:a", "part:b"], None),
    )
    def test_a_harmless_part_is_taken_out_and_the_others_stay(
        self, blocked, harmless, left
    ):
        self.blocks.add(blocked, FOR_MS, 0.0)
        self.blocks.release(harmless, 100.0)
        active = [item.keys for item in self.blocks.blocks(100.0) if item.is_active]
        self.assertEqual(active, [] if left is None else [left])

    @params(
        (Block(ONE, 1, False, 500.0), False, 1_000.0),
        (Block(ONE, 1, True, 500.0), True, 500.0),
        (Block(ONE, 2, False, 500.0), False, 500.0),
        (Block(ONE, 0, True, 500.0), False, 1_000.0),
    )
    def test_the_newer_record_of_a_block_holds(self, received, is_lifted, left_ms):
        self.blocks.add(ONE, FOR_MS, 0.0)
        self.blocks.merge([received], 0.0)
        (record,) = self.blocks.blocks(0.0)
        self.assertEqual((record.is_lifted, record.remaining_ms), (is_lifted, left_ms))

    def test_a_record_without_keys_is_ignored(self):
        self.assertEqual(self.blocks.merge([Block((), 1, False, FOR_MS)], 0.0), [])
        self.assertIsNone(self.blocks.find(ONE, 0.0))

    def test_a_lifted_block_does_not_come_back_from_a_peer(self):
        peer = BlockList()
        peer.add(ONE, FOR_MS, 0.0)
        self.blocks.merge(peer.blocks(0.0), 0.0)
        self.blocks.release(ONE, 10.0)
        self.blocks.merge(peer.blocks(20.0), 20.0)
        self.assertIsNone(self.blocks.find(ONE, 20.0))
        peer.merge(self.blocks.blocks(30.0), 30.0)
        self.assertEqual(peer.digest(), self.blocks.digest())
        self.assertIsNone(peer.find(ONE, 30.0))

    def test_a_part_that_is_blamed_again_is_blocked_at_peers_that_lifted_it(self):
        peer = BlockList()
        peer.add(ONE, FOR_MS, 0.0)
        peer.release(ONE, 0.0)
        self.blocks.merge(peer.blocks(0.0), 0.0)
        self.blocks.add(ONE, FOR_MS, 10.0)
        peer.merge(self.blocks.blocks(10.0), 10.0)
        self.assertIsNotNone(peer.find(ONE, 20.0))

    def test_records_do_not_grow_without_end(self):
        for number in range(1_500):
            self.blocks.add((f"part:{number}",), FOR_MS, 0.0)
        self.assertEqual(len(self.blocks), 1_000)
        self.assertIsNone(self.blocks.find(("part:499",), 0.0))
        self.assertIsNotNone(self.blocks.find(("part:500",), 0.0))
        self.blocks.expire(FOR_MS + 600_000.0)
        self.assertEqual((len(self.blocks), self.blocks.digest()), (0, 0))
