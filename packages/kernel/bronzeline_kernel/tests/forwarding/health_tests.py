import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import HealthOptions, UpstreamHealth

ENGINE = ("e1", 1)
RESTARTED = ("e1", 2)
ZONE = ("engines", "zone-a")


class HealthTests(unittest.TestCase):
    def setUp(self):
        self.health = UpstreamHealth(HealthOptions())

    def test_failures_in_a_row_are_avoided_longer_up_to_a_bound(self):
        waits = [self.health.failed(ENGINE, 0.0) for _ in range(6)]
        self.assertEqual(waits, [400.0, 800.0, 1_600.0, 3_000.0, 3_000.0, 3_000.0])

    @params(("failed", 399.0), ("was_full", 299.0), ("was_replaced", 59_999.0))
    def test_an_upstream_is_avoided_after_what_it_did(self, what, until_ms):
        getattr(self.health, what)(ENGINE, 0.0)
        self.assertTrue(self.health.is_avoided(ENGINE, until_ms))
        self.assertFalse(self.health.is_avoided(ENGINE, until_ms + 2.0))

    def test_a_restart_under_the_same_id_begins_anew(self):
        self.health.failed(ENGINE, 0.0)
        self.assertFalse(self.health.is_avoided(RESTARTED, 1.0))

    def test_an_answer_ends_the_avoiding(self):
        self.health.failed(ENGINE, 0.0)
        self.health.succeeded(ENGINE, 1.0)
        self.assertFalse(self.health.is_avoided(ENGINE, 2.0))

    def test_the_score_of_failures_fades_by_half(self):
        self.health.failed(ENGINE, 0.0)
        half_life_ms = HealthOptions().half_life_ms
        score = self.health.failure_score(ENGINE, half_life_ms)
        self.assertAlmostEqual(score, 0.5)

    @params((-1.0, 1.0, True), (1.0, 2.0, False), (-1.0, 1_501.0, False))
    def test_a_zone_is_suspect_until_the_upstream_answers(
        self, answered_ms, now_ms, expected
    ):
        self.health.succeeded(ENGINE, answered_ms)
        self.health.record_peer_zone_loss(ZONE, 0.0)
        is_suspect = self.health.is_zone_suspect(ZONE, ENGINE, now_ms)
        self.assertEqual(is_suspect, expected)

    @params((900.0, 0.0), (1_000.0, 0.0), (3_000.0, 1.2))
    def test_a_slow_upstream_is_known_by_its_prompts(self, took_ms, expected):
        self.health.prompt_read(ENGINE, took_ms, 1_000.0, 0.0)
        self.assertAlmostEqual(self.health.slowness(ENGINE, 0.0), expected)
        half_life_ms = HealthOptions().slowness_half_life_ms
        later = self.health.slowness(ENGINE, half_life_ms)
        self.assertAlmostEqual(later, expected / 2.0)

    def test_changes_of_belief_are_told(self):
        told = []
        self.health.on_belief = told.append
        self.health.failed(ENGINE, 0.0)
        self.health.succeeded(ENGINE, 1.0)
        self.health.succeeded(ENGINE, 2.0)
        self.health.was_full(ENGINE, 3.0)
        self.health.was_full(ENGINE, 4.0)
        self.health.was_replaced(ENGINE, 5.0)
        self.health.record_peer_zone_loss(ZONE, 6.0)
        self.health.prompt_read(ENGINE, 3_000.0, 1_000.0, 7.0)
        self.health.prompt_read(ENGINE, 3_000.0, 1_000.0, 8.0)
        self.assertEqual(
            [(item.belief.value, item.is_own) for item in told],
            [
                ("avoided", True),
                ("back", True),
                ("full", True),
                ("replaced", True),
                ("zone_suspect", False),
                ("slow", True),
            ],
        )

    def test_a_peers_finding_of_a_new_process_is_not_passed_on(self):
        told = []
        self.health.on_replaced = told.append
        self.health.record_peer_replaced(ENGINE, 0.0)
        self.assertTrue(self.health.is_avoided(ENGINE, 1.0))
        self.assertEqual(told, [])
        self.health.was_replaced(ENGINE, 0.0)
        self.assertEqual(told, [ENGINE])

    def test_only_own_findings_are_passed_on(self):
        told = []
        self.health.on_zone_lost = told.append
        self.health.record_peer_zone_loss(ZONE, 0.0)
        self.assertEqual(told, [])
        self.health.zone_failed(ZONE, 0.0)
        self.assertEqual(told, [ZONE])
