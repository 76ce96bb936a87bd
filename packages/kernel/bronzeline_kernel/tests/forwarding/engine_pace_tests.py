import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import EnginePace, stream_limits
from bronzeline_kernel.tests.forwarding.load_player import EngineSpeed, LoadPlayer
from bronzeline_kernel.tests.forwarding.samples import route

N_TOKENS = 5_000
SLOWER, SAME, FASTER = 1 / 3, 1.0, 3.0


def learned_pace(factor, n_prompts=40):
    """Return the pace learned from engines of this speed."""
    pace = EnginePace()
    for _ in range(n_prompts):
        pace.record_prompt(N_TOKENS, 1_000.0 / factor)
        for _ in range(40):
            pace.record_gap(45.0 / factor)
    return pace


class EnginePaceTests(unittest.TestCase):
    @params(SLOWER, SAME, FASTER)
    def test_follows_the_engines(self, factor):
        pace = learned_pace(factor)
        read_ms = 1_000.0 / factor
        self.assertAlmostEqual(pace.prompt_ms(N_TOKENS) / read_ms, 1.0, delta=0.1)
        self.assertAlmostEqual(pace.usual_prompt_ms / read_ms, 1.0, delta=0.1)
        fastest_ms = pace.fastest_prompt_ms(N_TOKENS)
        self.assertLessEqual(fastest_ms, read_ms * 1.01)
        self.assertGreater(fastest_ms, 0.4 * read_ms)

    def test_one_stuck_engine_does_not_change_the_pace_of_all(self):
        pace = learned_pace(SAME)
        before_ms = pace.prompt_ms(N_TOKENS)
        pace.record_prompt(N_TOKENS, 60_000.0)
        self.assertLess(pace.prompt_ms(N_TOKENS), 1.5 * before_ms)

    @params((0, 100.0), (N_TOKENS, 0.0), (N_TOKENS, -5.0))
    def test_unusable_values_are_ignored(self, n_tokens, took_ms):
        pace = EnginePace()
        pace.record_prompt(n_tokens, took_ms)
        self.assertEqual(pace, EnginePace())


class StreamLimitsTests(unittest.TestCase):
    @params(SLOWER, SAME, FASTER)
    def test_an_engine_is_silent_for_longer_than_usual_before_it_is_left(self, factor):
        limits = stream_limits(route(), N_TOKENS, learned_pace(factor))
        gap_ms, read_ms = 45.0 / factor, 1_000.0 / factor
        self.assertGreater(limits.probe_after_ms, 1.5 * gap_ms)
        self.assertGreater(limits.silence_limit_ms, 2.0 * gap_ms)
        self.assertLess(limits.probe_after_ms, limits.silence_limit_ms)
        self.assertGreater(limits.first_event_ms, 1.7 * read_ms)
        self.assertGreater(limits.first_event_busy_ms, limits.first_event_ms)

    @params((700.0, 518.0), (2_000.0, 1_480.0))
    def test_a_resume_fits_into_the_gap_that_the_route_allows(self, gap_ms, limit_ms):
        limits = stream_limits(route(max_gap_ms=gap_ms), N_TOKENS, EnginePace())
        self.assertAlmostEqual(limits.silence_limit_ms, limit_ms)


class EngineSpeedTests(unittest.TestCase):
    """Play engines of other speeds than the first values of the pace."""

    @params(SLOWER, SAME, FASTER)
    def test_streams_are_served_and_no_prompt_is_read_in_vain(self, factor):
        speed = EngineSpeed().times(factor)
        player = LoadPlayer(speed)
        callers = player.play(40, interval_ms=400.0 / factor)
        self.assertEqual({caller.outcome for caller in callers}, {"served"})
        self.assertEqual({caller.n_sent for caller in callers}, {1})
        limit_ms = 4_500.0 / min(1.0, factor)
        self.assertLess(max(caller.first_event_ms for caller in callers), limit_ms)

    @params(
        (SLOWER, 2_000.0, False),
        (SAME, 1_500.0, False),
        (SAME, 4_500.0, True),
        (FASTER, 600.0, False),
        (FASTER, 1_600.0, True),
    )
    def test_a_request_is_refused_at_once_if_its_answer_can_not_end_in_time(
        self, factor, budget_ms, is_served
    ):
        player = LoadPlayer(EngineSpeed().times(factor))
        player.play(40, interval_ms=400.0 / factor)
        late = player.send(budget_ms=budget_ms)
        if not is_served:
            self.assertEqual(late.outcome, "not_run")
            self.assertEqual(late.ended_at_ms, late.sent_at_ms)
            self.assertEqual(late.retry_after_ms, budget_ms)
            return
        player.wait(budget_ms)
        self.assertEqual(late.outcome, "served")

    @params((500.0, False), (1_500.0, True))
    def test_without_known_answers_only_the_prompt_must_be_read_in_time(
        self, budget_ms, is_sent
    ):
        player = LoadPlayer(EngineSpeed())
        late = player.send(budget_ms=budget_ms)
        self.assertEqual(late.outcome != "not_run", is_sent)
        player.wait(budget_ms)
        self.assertEqual(late.first_event_ms > 0.0, is_sent)
