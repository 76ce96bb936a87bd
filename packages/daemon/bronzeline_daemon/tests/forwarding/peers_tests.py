import unittest
from random import Random
from types import SimpleNamespace

from bronzeline_daemon.forwarding.peers import ZONE_LOST_INTERVAL_MS, ForwardingPeers
from bronzeline_daemon.message_codec import MessageCodec
from bronzeline_kernel.forwarding import (
    Quarantine,
    RouterEntry,
    RunDirectory,
    SocketAddress,
    ZoneLost,
)
from bronzeline_kernel.tests.forwarding.samples import ENGINES, fleet, placement

ZONE = (ENGINES, "zone-b")


class FakeTransport:
    def __init__(self):
        self.sent = []

    def is_closing(self):
        return False

    def sendto(self, data, address):
        self.sent.append(data)


class ZoneLostTests(unittest.TestCase):
    def setUp(self):
        self.now_ms = 0.0
        settings = SimpleNamespace(
            router_id="router-0",
            peers=SocketAddress("10.0.0.1", 7_200),
            availability_zone="zone-a",
        )
        self.placement = placement(fleet())
        self.peers = ForwardingPeers(
            settings,
            self.placement,
            RunDirectory(self.placement.upstreams),
            Quarantine(Random(1)),
            SimpleNamespace(now_ms=lambda: self.now_ms),
            Random(1),
        )
        self.transport = FakeTransport()
        self.peers.connection_made(self.transport)
        self.peers.peer_list.replace(
            [RouterEntry(f"router-{n}", "10.0.0.1", n, "zone-a") for n in (1, 2)]
        )
        self.codec = MessageCodec()
        self.codec.register(ZoneLost)

    def test_a_lost_zone_is_reported_to_each_peer_once_in_an_interval(self):
        for at_ms in (0.0, 100.0, ZONE_LOST_INTERVAL_MS):
            self.now_ms = at_ms
            self.placement.health.record_zone_loss(ZONE, at_ms)
        self.assertEqual(len(self.transport.sent), 2 * 2)

    def test_a_loss_that_a_peer_reported_is_not_reported_again(self):
        data = self.codec.encode(ZoneLost(*ZONE))
        self.peers.datagram_received(data, ("10.0.0.1", 1))
        self.now_ms = ZONE_LOST_INTERVAL_MS - 1.0
        self.placement.health.record_zone_loss(ZONE, self.now_ms)
        self.assertEqual(self.transport.sent, [])
        self.now_ms = ZONE_LOST_INTERVAL_MS
        self.placement.health.record_zone_loss(ZONE, self.now_ms)
        self.assertEqual(len(self.transport.sent), 2)
