import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import EngineLost, RequestQuarantine

WINDOW_MS = 500.0


def lost(engine, zone, *request_hashes, ran_ms=300.0):
    return EngineLost(engine, "engines", zone, dict.fromkeys(request_hashes, ran_ms))


class RequestQuarantineTests(unittest.TestCase):
    def setUp(self):
        self.quarantine = RequestQuarantine()
        self.now_ms = 0.0
        self.announced = []

    def record_deaths(self, *deaths, is_own=True, apart_ms=2_000.0):
        for death in deaths:
            self.quarantine.engine_lost(death, self.now_ms, is_own)
        self.now_ms += WINDOW_MS
        self.announced += self.quarantine.confirm_deaths(self.now_ms)
        self.now_ms += apart_ms

    def is_blocked(self, request_hash):
        return self.quarantine.is_blocked(request_hash, self.now_ms)

    @params((1, False), (2, False), (3, True))
    def test_request_is_quarantined_after_three_deaths(self, n_deaths, expected):
        for number in range(n_deaths):
            self.record_deaths(
                lost(f"e{number}", f"zone-{number}", "killer", f"by-{number}")
            )
        self.assertEqual(self.is_blocked("killer"), expected)
        self.assertFalse(any(self.is_blocked(f"by-{n}") for n in range(3)))
        has_retry_delay = self.quarantine.retry_after_ms("killer", self.now_ms) > 0.0
        self.assertEqual(has_retry_delay, expected)

    def test_quarantine_is_reported_with_upstream_ids(self):
        quarantined = []
        self.quarantine.on_quarantined = quarantined.append
        for number in range(3):
            self.record_deaths(lost(f"e{number}", f"zone-{number}", "killer"))
        self.assertEqual([item.request_hash for item in quarantined], ["killer"])
        self.assertEqual(sorted(quarantined[0].upstream_ids), ["e0", "e1", "e2"])

    def test_deaths_found_by_peers_count_and_are_not_announced(self):
        for number in range(3):
            self.record_deaths(lost(f"e{number}", f"z{number}", "killer"), is_own=False)
        self.assertTrue(self.is_blocked("killer"))
        self.assertEqual(self.announced, [])

    def test_zone_losses_are_not_blamed_on_requests(self):
        for number in range(9):
            zone = f"zone-{number % 3}"
            request_hashes = ("long", f"short-{number}")
            self.record_deaths(
                lost(f"a{number}", zone, *request_hashes),
                lost(f"b{number}", zone, f"other-{number}"),
                apart_ms=6_000.0,
            )
        self.assertFalse(self.is_blocked("long"))
        self.assertEqual(self.announced, [])

    def test_a_request_that_crashes_two_engines_of_a_zone_at_once_is_quarantined(self):
        """Their crashes count as the loss of the zone, so it crashes more."""
        for number in range(3):
            zone = f"zone-{number}"
            self.record_deaths(
                lost(f"a{number}", zone, "killer", f"by-{number}", ran_ms=130.0),
                lost(f"b{number}", zone, "killer", f"beside-{number}", ran_ms=130.0),
            )
        self.assertTrue(self.is_blocked("killer"))

    @params(1, 2)
    def test_reports_of_single_requests_add_up(self, n_requests_beside):
        """Bystanders whose reports came first made the crashes a zone loss."""
        for number in range(3):
            zone, beside = f"zone-{number}", range(n_requests_beside)
            self.record_deaths(
                *(lost(f"a{number}", zone, f"a-{number}-{x}") for x in beside),
                lost(f"a{number}", zone, "killer"),
                *(lost(f"b{number}", zone, f"b-{number}-{x}") for x in beside),
                lost(f"b{number}", zone, "killer"),
            )
        self.assertTrue(self.is_blocked("killer"))

    def test_a_zone_is_lost_with_engines_that_one_request_left(self):
        """A stream that goes on in a zone that is being lost was quarantined."""
        for number in range(9):
            zone = f"zone-{number % 3}"
            self.record_deaths(
                lost(f"a{number}", zone, "long"),
                lost(f"b{number}", zone, "long", ran_ms=10.0),
                lost(f"c{number}", zone, f"other-{number}"),
                apart_ms=6_000.0,
            )
        self.assertFalse(self.is_blocked("long"))
        self.assertEqual(self.announced, [])

    def test_a_crash_counts_with_one_that_was_confirmed_before(self):
        """The later one of two was taken for a crash by itself."""
        for number in range(9):
            zone = f"zone-{number % 3}"
            self.quarantine.engine_lost(
                lost(f"b{number}", zone, f"other-{number}"), self.now_ms, True
            )
            self.now_ms += WINDOW_MS - 100.0
            self.quarantine.confirm_deaths(self.now_ms)
            self.quarantine.engine_lost(
                lost(f"a{number}", zone, "long"), self.now_ms, True
            )
            for _ in range(3):
                self.now_ms += 300.0
                self.announced += self.quarantine.confirm_deaths(self.now_ms)
            self.now_ms += 6_000.0
        self.assertFalse(self.is_blocked("long"))
        self.assertEqual(self.announced, [])

    @params((3, False), (40, True))
    def test_single_deaths_of_a_large_zone_are_no_zone_loss(self, n_engines, expected):
        self.quarantine.n_engines = lambda zone: n_engines
        for number in range(3):
            self.record_deaths(
                lost(f"a{number}", "zone-a", "killer"),
                lost(f"b{number}", "zone-a", f"other-{number}"),
            )
        self.assertEqual(self.is_blocked("killer"), expected)

    def test_zone_losses_are_reported(self):
        reported = []
        self.quarantine.on_zone_loss = reported.append
        deaths = lost("a1", "zone-a", "one"), lost("a2", "zone-a", "other")
        self.record_deaths(*deaths)
        self.record_deaths(lost("b1", "zone-b", "one"))
        self.assertEqual(reported, list(deaths))

    def test_duplicate_reports_of_a_death_count_once(self):
        for number in range(2):
            death = lost(f"e{number}", f"z{number}", "killer")
            self.record_deaths(death, death)
        self.assertFalse(self.is_blocked("killer"))

    def test_completed_request_is_cleared(self):
        for number in range(2):
            self.record_deaths(lost(f"e{number}", f"z{number}", "slow"))
        self.quarantine.request_completed("slow")
        self.record_deaths(lost("e3", "z3", "slow"))
        self.assertFalse(self.is_blocked("slow"))

    def test_quarantine_expires(self):
        for number in range(3):
            self.record_deaths(lost(f"e{number}", f"z{number}", "killer"))
        self.now_ms += 61_000.0
        self.assertFalse(self.is_blocked("killer"))
