import unittest

from bronzeline_kernel.routing.health import HealthTable


class PeerRatioTests(unittest.TestCase):
    def test_ratios_that_no_peer_reports_any_more_are_dropped(self):
        health = HealthTable()
        for number in range(50):
            health.update_peer_ratios("router-1", {f"engine-{number}": 2.0}, 0.0)
        health.update_peer_ratios("router-2", {"engine-7": 3.0}, 0.0)
        self.assertEqual(set(health._peer_ratios), {"engine-49", "engine-7"})
        self.assertEqual(health.ratio("engine-7", 0.0), 3.0)
