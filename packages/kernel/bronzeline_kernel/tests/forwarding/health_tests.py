import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import HealthOptions, UpstreamHealth

ENGINE = ("e1", 1)
RESTARTED = ("e1", 2)
ZONE = ("engines", "zone-a")


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.health = UpstreamHealth(HealthOptions())

    def test_avoidance_grows_with_consecutive_failures_up_to_limit(self):
        avoided_ms = [self.health.record_failure(ENGINE, 0.0) for _ in range(6)]
        self.assertEqual(avoided_ms, [400.0, 800.0, 1_600.0, 3_000.0, 3_000.0, 3_000.0])

    @params(
        ("record_failure", 399.0), ("record_full", 299.0), ("record_replaced", 59_999.0)
    )
    def test_duration_of_avoidance_by_kind_of_failure(self, method, until_ms):
        getattr(self.health, method)(ENGINE, 0.0)
        self.assertTrue(self.health.is_avoided(ENGINE, until_ms))
        self.assertFalse(self.health.is_avoided(ENGINE, until_ms + 2.0))

    def test_restart_with_same_id_is_not_avoided(self):
        self.health.record_failure(ENGINE, 0.0)
        self.assertFalse(self.health.is_avoided(RESTARTED, 1.0))

    def test_response_ends_avoidance(self):
        self.health.record_failure(ENGINE, 0.0)
        self.health.record_success(ENGINE, 1.0)
        self.assertFalse(self.health.is_avoided(ENGINE, 2.0))

    def test_failure_score_halves_in_half_life(self):
        self.health.record_failure(ENGINE, 0.0)
        half_life_ms = HealthOptions().half_life_ms
        score = self.health.failure_score(ENGINE, half_life_ms)
        self.assertAlmostEqual(score, 0.5)

    @params((-1.0, 1.0, True), (1.0, 2.0, False), (-1.0, 1_501.0, False))
    def test_zone_is_suspect_until_the_upstream_responds(
        self, answered_ms, now_ms, expected
    ):
        self.health.record_success(ENGINE, answered_ms)
        self.health.record_peer_zone_loss(ZONE, 0.0)
        is_suspect = self.health.is_zone_suspect(ZONE, ENGINE, now_ms)
        self.assertEqual(is_suspect, expected)

    @params((900.0, 0.0), (1_000.0, 0.0), (3_000.0, 1.2))
    def test_slowness_follows_prompt_times_and_decays(self, took_ms, expected):
        self.health.record_prompt_time(ENGINE, took_ms, 1_000.0, 0.0)
        self.assertAlmostEqual(self.health.slowness(ENGINE, 0.0), expected)
        half_life_ms = HealthOptions().slowness_half_life_ms
        later = self.health.slowness(ENGINE, half_life_ms)
        self.assertAlmostEqual(later, expected / 2.0)

    def test_reports_changes_of_belief(self):
        reported = []
        self.health.on_belief = reported.append
        self.health.record_failure(ENGINE, 0.0)
        self.health.record_success(ENGINE, 1.0)
        self.health.record_success(ENGINE, 2.0)
        self.health.record_full(ENGINE, 3.0)
        self.health.record_full(ENGINE, 4.0)
        self.health.record_replaced(ENGINE, 5.0)
        self.health.record_peer_zone_loss(ZONE, 6.0)
        self.health.record_prompt_time(ENGINE, 3_000.0, 1_000.0, 7.0)
        self.health.record_prompt_time(ENGINE, 3_000.0, 1_000.0, 8.0)
        self.assertEqual(
            [(item.belief.value, item.is_own) for item in reported],
            [
                ("avoided", True),
                ("back", True),
                ("full", True),
                ("replaced", True),
                ("zone_suspect", False),
                ("slow", True),
            ],
        )

    def test_replacement_reported_by_peer_is_not_announced(self):
        reported = []
        self.health.on_replaced = reported.append
        self.health.record_peer_replaced(ENGINE, 0.0)
        self.assertTrue(self.health.is_avoided(ENGINE, 1.0))
        self.assertEqual(reported, [])
        self.health.record_replaced(ENGINE, 0.0)
        self.assertEqual(reported, [ENGINE])

    def test_only_own_zone_loss_is_announced(self):
        reported = []
        self.health.on_zone_lost = reported.append
        self.health.record_peer_zone_loss(ZONE, 0.0)
        self.assertEqual(reported, [])
        self.health.record_zone_loss(ZONE, 0.0)
        self.assertEqual(reported, [ZONE])
