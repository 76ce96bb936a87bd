import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import EngineLost, RequestQuarantine

WINDOW_MS = 500.0


def lost(engine, zone, *names, ran_ms=300.0):
    return EngineLost(engine, "engines", zone, dict.fromkeys(names, ran_ms))


class KillerTests(unittest.TestCase):
    def setUp(self):
        self.guard = RequestQuarantine()
        self.now_ms = 0.0
        self.told = []

    def die(self, *deaths, is_own=True, apart_ms=2_000.0):
        for death in deaths:
            self.guard.engine_lost(death, self.now_ms, is_own)
        self.now_ms += WINDOW_MS
        self.told += self.guard.confirm_deaths(self.now_ms)
        self.now_ms += apart_ms

    def is_blocked(self, name):
        return self.guard.is_blocked(name, self.now_ms)

    @params((1, False), (2, False), (3, True))
    def test_a_request_is_out_after_three_deaths(self, n_deaths, expected):
        for number in range(n_deaths):
            self.die(lost(f"e{number}", f"zone-{number}", "killer", f"by-{number}"))
        self.assertEqual(self.is_blocked("killer"), expected)
        self.assertFalse(any(self.is_blocked(f"by-{n}") for n in range(3)))
        has_wait = self.guard.retry_after_ms("killer", self.now_ms) > 0.0
        self.assertEqual(has_wait, expected)

    def test_a_quarantine_is_told_with_its_grounds(self):
        found = []
        self.guard.on_quarantined = found.append
        for number in range(3):
            self.die(lost(f"e{number}", f"zone-{number}", "killer"))
        self.assertEqual([item.request_hash for item in found], ["killer"])
        self.assertEqual(sorted(found[0].upstream_ids), ["e0", "e1", "e2"])

    def test_peers_deaths_count_and_are_not_told_again(self):
        for number in range(3):
            self.die(lost(f"e{number}", f"z{number}", "killer"), is_own=False)
        self.assertTrue(self.is_blocked("killer"))
        self.assertEqual(self.told, [])

    def test_the_loss_of_zones_convicts_nobody(self):
        for number in range(9):
            zone = f"zone-{number % 3}"
            names = ("long", f"short-{number}")
            self.die(
                lost(f"a{number}", zone, *names),
                lost(f"b{number}", zone, f"other-{number}"),
                apart_ms=6_000.0,
            )
        self.assertFalse(self.is_blocked("long"))
        self.assertEqual(self.told, [])

    def test_two_reports_of_one_death_are_one(self):
        for number in range(2):
            death = lost(f"e{number}", f"z{number}", "killer")
            self.die(death, death)
        self.assertFalse(self.is_blocked("killer"))

    def test_a_request_that_ran_well_is_free_again(self):
        for number in range(2):
            self.die(lost(f"e{number}", f"z{number}", "slow"))
        self.guard.request_completed("slow")
        self.die(lost("e3", "z3", "slow"))
        self.assertFalse(self.is_blocked("slow"))

    def test_a_quarantine_ends(self):
        for number in range(3):
            self.die(lost(f"e{number}", f"z{number}", "killer"))
        self.now_ms += 61_000.0
        self.assertFalse(self.is_blocked("killer"))
