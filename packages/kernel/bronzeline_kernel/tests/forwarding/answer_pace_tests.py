import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding.answer_pace import AnswerPace


class AnswerPaceTests(unittest.TestCase):
    @params((9, 0, 0.0), (10, 0, 1_000.0), (10, 60, 400.0), (10, 120, 0.0))
    def test_rest_of_an_answer_after_enough_answers(
        self, n_answers, after_event, expected_ms
    ):
        pace = AnswerPace()
        for _ in range(n_answers):
            pace.record(100, 99, 990.0)
        self.assertAlmostEqual(pace.shortest_rest_ms(after_event), expected_ms)

    def test_one_short_answer_lowers_the_bound_of_all(self):
        pace = AnswerPace()
        for n_events in (100,) * 9 + (20,):
            pace.record(n_events, n_events - 1, 10.0 * (n_events - 1))
        self.assertAlmostEqual(pace.shortest_rest_ms(0), 200.0)

    def test_follows_answers_that_become_longer(self):
        pace = AnswerPace()
        for n_events in (20,) * 10 + (100,) * 80:
            pace.record(n_events, n_events - 1, 10.0 * (n_events - 1))
        self.assertGreater(pace.shortest_rest_ms(0), 900.0)

    @params((9, 90.0), (99, 0.0))
    def test_times_of_few_events_or_none_are_ignored(self, n_timed_events, took_ms):
        pace = AnswerPace()
        for _ in range(10):
            pace.record(100, n_timed_events, took_ms)
        self.assertEqual(pace.shortest_rest_ms(0), 0.0)
