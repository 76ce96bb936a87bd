import unittest

from nose2.tools import params

from bronzeline_kernel.quarantine.tracker import BlameTracker

SEQUENTIAL_DEATHS = ((1_000.0, 300.0), (1_800.0, 400.0), (2_600.0, 400.0))
SIMULTANEOUS_DEATHS = (
    (1_000.0, 300.0),
    (1_000.0, 25.0),
    (1_010.0, 400.0),
    (1_020.0, 50.0),
)
TWO_CONCURRENT_DEATHS = ((1_000.0, 300.0), (1_100.0, 300.0), (1_800.0, 400.0))
LATE_DEATHS = ((10_000.0, 9_000.0), (20_000.0, 9_000.0), (30_000.0, 9_000.0))


class BlameTrackerTests(unittest.TestCase):
    @params(
        (SEQUENTIAL_DEATHS, 3.0, True),
        (SIMULTANEOUS_DEATHS, 1.5, False),
        (TWO_CONCURRENT_DEATHS, 2.5, True),
        (LATE_DEATHS, 1.5, False),
    )
    def test_only_sequential_early_deaths_count_in_full(
        self, deaths, blame, is_to_blame
    ):
        tracker = BlameTracker()
        for number, (at_ms, ran_ms) in enumerate(deaths):
            tracker.engine_died(f"engine-{number}", {"killer": ran_ms}, at_ms)
        self.assertEqual(tracker.blame("killer"), blame)
        self.assertEqual(tracker.is_to_blame("killer"), is_to_blame)

    def test_a_later_report_of_a_death_keeps_its_own_start_time(self):
        tracker = BlameTracker()
        for number, at_ms in enumerate((1_000.0, 1_800.0, 2_600.0)):
            engine = f"engine-{number}"
            tracker.engine_died(engine, {"bystander": 500.0}, at_ms)
            tracker.engine_died(engine, {"killer": 300.0}, at_ms + 100.0)
        self.assertEqual(tracker.blame("killer"), 3.0)
