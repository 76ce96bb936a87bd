import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.load_table import (
    LOADS,
    PLACEMENTS,
    measure,
    play,
)

# Nine in ten first events are wanted in time; but for crests of 3 s, the loads stay
# below capacity.
MIN_IN_TIME = 0.9


class LoadTests(unittest.TestCase):
    @params(*LOADS)
    def test_callers_are_served_in_time_below_capacity(self, name):
        result = measure(LOADS[name], PLACEMENTS["today"])
        self.assertGreaterEqual(result.in_time, MIN_IN_TIME)
        self.assertEqual((result.refused, result.failed), (0.0, 0.0))

    @params("long and short prompts", "a zone turned slow")
    def test_more_callers_are_served_in_time_than_by_turns(self, name):
        today = measure(LOADS[name], PLACEMENTS["today"])
        turns = measure(LOADS[name], PLACEMENTS["turns"])
        self.assertGreater(today.in_time, turns.in_time)
        self.assertLess(today.p99_ms, turns.p99_ms)

    def test_a_seed_repeats_a_play(self):
        load = LOADS["half of the engines lost"]
        first, second = (play(load, PLACEMENTS["today"], 5) for _ in range(2))
        self.assertEqual(
            [caller.first_event_ms for caller in first],
            [caller.first_event_ms for caller in second],
        )
