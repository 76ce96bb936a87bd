import unittest
from random import Random
from types import SimpleNamespace

from nose2.tools import params

from bronzeline_daemon.forwarding.block_exchange import BlockExchange
from bronzeline_kernel.forwarding import (
    BlocksAsked,
    BlocksChanged,
    Quarantine,
    RouterEntry,
)

PEER = RouterEntry("router-1", "10.0.0.1", 1, "zone-a")
FOR_MS = 600_000.0


class BlockExchangeTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine(Random(1))
        self.sent = []
        peers = SimpleNamespace(
            listen=lambda message_type, listener: setattr(self, "listener", listener),
            send_to=lambda message, peer: self.sent.append(message),
        )
        clock = SimpleNamespace(now_ms=lambda: 0.0)
        BlockExchange(self.quarantine, None, None, peers, clock, Random(1))

    def block(self, n_blocks):
        for number in range(n_blocks):
            self.quarantine.blocks.add((f"part:{number}",), FOR_MS, 0.0)

    def blocks_sent(self):
        return [
            block.keys[0]
            for message in self.sent
            if isinstance(message, BlocksChanged)
            for block in message.blocks
        ]

    def test_equal_records_are_not_sent(self):
        self.block(3)
        asked = BlocksAsked(self.quarantine.blocks.digest(), is_answer=False)
        self.listener(asked, PEER)
        self.assertEqual(self.sent, [])

    @params((False, 1), (True, 0))
    def test_other_records_are_sent_and_asked_for_once(self, is_answer, n_asked):
        self.block(3)
        self.listener(BlocksAsked(0, is_answer), PEER)
        self.assertEqual(len(self.blocks_sent()), 3)
        asked = [item for item in self.sent if isinstance(item, BlocksAsked)]
        self.assertEqual([item.is_answer for item in asked], [True] * n_asked)

    def test_an_answer_has_the_newest_records_in_small_datagrams(self):
        self.block(200)
        self.listener(BlocksAsked(0, is_answer=True), PEER)
        expected = [f"part:{number}" for number in range(136, 200)]
        self.assertEqual(self.blocks_sent(), expected)
        self.assertEqual({len(item.blocks) for item in self.sent}, {8})
