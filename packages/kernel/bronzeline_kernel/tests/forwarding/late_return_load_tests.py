"""Play the return of callers after all routers were lost, beside new callers."""

import unittest

from bronzeline_kernel.tests.forwarding.load_player import EngineSpeed, LoadPlayer

N_FIRST = 30
INTERVAL_MS = 400.0
# The returning callers' time left, and the events that they have of 60.
RETURNING = tuple((500.0 * number, 4 * number) for number in range(1, 11))


class LateReturnTests(unittest.TestCase):
    """Load: streams come back with little time left, and new ones arrive."""

    def setUp(self):
        self.player = LoadPlayer(EngineSpeed(), per_zone=1)
        self.player.play(N_FIRST, INTERVAL_MS)
        for engine in self.player.engines.values():
            engine.n_tokens_read = 0.0
        self.returned = [
            self.player.send(budget_ms=budget_ms, after_event=after_event)
            for budget_ms, after_event in RETURNING
        ]
        self.new = self.player.play(5, INTERVAL_MS)

    def test_a_returning_caller_is_served_or_told_at_once(self):
        for caller, (budget_ms, after_event) in zip(
            self.returned, RETURNING, strict=True
        ):
            speed = self.player.speed
            rest_ms = (speed.n_events - after_event) * speed.event_gap_ms
            read_ms = 5_000 / speed.prompt_tokens_per_ms
            if budget_ms < read_ms + 0.9 * rest_ms:
                self.assertEqual(caller.outcome, "not_run")
                self.assertEqual(caller.ended_at_ms, caller.sent_at_ms)
        outcomes = [caller.outcome for caller in self.returned]
        self.assertIn("served", outcomes)

    def test_prompts_of_refused_callers_are_not_read(self):
        n_refused = sum(caller.outcome == "not_run" for caller in self.returned)
        n_sent = len(self.returned) + len(self.new) - n_refused
        n_tokens = sum(item.n_tokens_read for item in self.player.engines.values())
        self.assertLessEqual(n_tokens, 5_000 * n_sent)

    def test_new_callers_get_their_first_event_in_time(self):
        self.assertEqual({caller.outcome for caller in self.new}, {"served"})
        latest_ms = max(caller.first_event_ms for caller in self.new)
        self.assertLess(latest_ms, 4_500.0)
