"""Play the loss of a zone's engines while streams run."""

import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.load_player import EngineSpeed, LoadPlayer
from bronzeline_kernel.tests.forwarding.samples import ENGINES

N_STREAMS = 9
MAX_GAP_MS = 700.0


class ZoneLossLoadTests(unittest.TestCase):
    @params((), ("zone-b",), ("zone-b", "zone-c"))
    def test_streams_go_on_from_copies_in_zones_that_are_only_suspect(self, *suspect):
        """Peers report failures in zones that live; then the engines of one die."""
        player = LoadPlayer(EngineSpeed(n_events=120))
        callers = []
        for _ in range(N_STREAMS):
            callers.append(player.send())
            player.wait(600.0)
        player.wait(1_500.0)
        n_read_before = sum(item.n_tokens_read for item in player.engines.values())
        for zone in suspect:
            zone_of_service = (ENGINES, zone)
            player.placement.health.record_peer_zone_loss(
                zone_of_service, player.now_ms
            )
        player.wait(20.0)
        for upstream_id in player.engines:
            if upstream_id.startswith("zone-a"):
                player.lose(upstream_id)
        while not all(caller.outcome for caller in callers):
            player.wait(100.0)
        n_read = sum(item.n_tokens_read for item in player.engines.values())
        self.assertEqual({caller.outcome for caller in callers}, {"served"})
        self.assertEqual(n_read, n_read_before)
        self.assertGreater(max(caller.n_sent for caller in callers), 1)
        self.assertLess(max(caller.longest_gap_ms for caller in callers), MAX_GAP_MS)
