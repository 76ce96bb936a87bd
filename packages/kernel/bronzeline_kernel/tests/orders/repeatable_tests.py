import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.orders import OrderStatus, Outcome
from bronzeline_kernel.orders.repeatable import (
    AttemptEnded,
    AttemptRefused,
    AttemptStarted,
    CallDeadlinePassed,
    CallTimerFired,
    DeliverResult,
    LatencyWindow,
    RepeatableCall,
    RepeatBudget,
    SetCallTimer,
    StartAttempt,
)

OK = Outcome(200, {}, b"placed")
BUSY = Outcome(503, {}, b"busy")


def started_call(budget=None):
    call = RepeatableCall(4_000.0, 250.0, budget or RepeatBudget(0.1))
    return call, call.start(0.0)


def delivered_results(actions):
    return [item.result for item in actions if isinstance(item, DeliverResult)]


def started_attempts(actions):
    return [item for item in actions if isinstance(item, StartAttempt)]


class RepeatableCallTests(unittest.TestCase):
    def test_first_response_is_delivered(self):
        call, actions = started_call()
        self.assertEqual(actions[0], StartAttempt(1, 4_000.0, ()))
        result = delivered_results(call.handle(AttemptEnded(1, OK), 5.0))
        self.assertEqual(result[0].outcome, OK)
        self.assertEqual(call.handle(AttemptEnded(1, OK), 6.0), [])

    @params((None,), (BUSY,))
    def test_failed_attempt_is_retried_on_another_upstream(self, outcome):
        call, _ = started_call()
        call.handle(AttemptStarted(1, "plain-0"), 1.0)
        actions = call.handle(AttemptEnded(1, outcome), 5.0)
        self.assertEqual(started_attempts(actions)[0].excluded_ids, ("plain-0",))

    def test_slow_attempt_is_hedged_and_the_first_response_wins(self):
        call, _ = started_call()
        call.handle(AttemptStarted(1, "plain-0"), 1.0)
        self.assertEqual(len(started_attempts(call.handle(CallTimerFired(), 250.0))), 1)
        call.handle(AttemptStarted(2, "plain-1"), 251.0)
        self.assertEqual(call.handle(AttemptRefused(3, "no_upstream", 1.0), 252.0), [])
        self.assertEqual(
            delivered_results(call.handle(AttemptEnded(2, OK), 260.0))[0].outcome, OK
        )

    def test_retries_stop_with_the_budget_but_running_attempts_continue(self):
        budget = RepeatBudget(0.0, reserve=1.0)
        call, _ = started_call(budget)
        call.handle(CallTimerFired(), 250.0)
        self.assertEqual(call.handle(CallTimerFired(), 500.0), [])
        self.assertEqual(call.handle(AttemptEnded(1, None), 600.0), [])
        result = delivered_results(call.handle(AttemptEnded(2, None), 700.0))[0]
        self.assertEqual(result.status, OrderStatus.IN_DOUBT)

    def test_failed_upstreams_are_retried_when_no_other_is_left(self):
        call, _ = started_call()
        call.handle(AttemptStarted(1, "plain-0"), 1.0)
        call.handle(AttemptEnded(1, None), 2.0)
        actions = call.handle(AttemptRefused(2, "no_upstream", 1.0), 3.0)
        self.assertEqual(actions, [SetCallTimer(103.0)])
        self.assertEqual(
            started_attempts(call.handle(CallTimerFired(), 103.0))[0].excluded_ids, ()
        )

    @params((None, OrderStatus.IN_DOUBT), (BUSY, OrderStatus.ANSWERED))
    def test_a_sent_call_that_is_then_refused_is_not_told_not_run(
        self, outcome, status
    ):
        call, _ = started_call()
        call.handle(AttemptStarted(1, "plain-0"), 1.0)
        call.handle(AttemptEnded(1, outcome), 2.0)
        results = []
        for attempt in (2, 3, 4):
            refusal = AttemptRefused(attempt, "overloaded", 1.0)
            results += delivered_results(call.handle(refusal, 100.0 * attempt))
            results += delivered_results(call.handle(CallTimerFired(), 100.0 * attempt))
        self.assertEqual([result.status for result in results], [status])

    def test_only_a_call_that_no_attempt_sent_is_told_not_run(self):
        for seed in range(2_000):
            random = Random(seed)
            call, actions = started_call()
            results, waiting, running, n_sent = [], [], [], 0
            while not call.is_ended:
                waiting += [item.attempt for item in started_attempts(actions)]
                if waiting and random.random() < 0.5:
                    attempt = waiting.pop()
                    message = AttemptRefused(attempt, "full", 1.0)
                    if random.random() < 0.5:
                        message = AttemptStarted(attempt, f"plain-{attempt}")
                        running.append(attempt)
                        n_sent += 1
                elif running and random.random() < 0.5:
                    message = AttemptEnded(running.pop(), random.choice((BUSY, None)))
                else:
                    message = random.choice((CallTimerFired(), CallDeadlinePassed()))
                actions = call.handle(message, 1.0)
                results += delivered_results(actions)
            is_not_run = results[0].status is OrderStatus.NOT_RUN
            self.assertFalse(is_not_run and n_sent, f"seed {seed}")

    def test_caller_gets_exactly_one_result_by_its_deadline(self):
        for seed in range(200):
            random = Random(seed)
            call, actions = started_call()
            results, now_ms = delivered_results(actions), 0.0
            while now_ms < 4_000.0:
                now_ms += random.uniform(1.0, 900.0)
                attempt = random.randrange(1, 5)
                message = random.choice(
                    (
                        AttemptEnded(attempt, random.choice((OK, BUSY, None))),
                        AttemptRefused(attempt, "full", 1.0),
                        AttemptStarted(attempt, f"plain-{attempt}"),
                        CallTimerFired(),
                    )
                )
                results += delivered_results(call.handle(message, now_ms))
            results += delivered_results(call.handle(CallDeadlinePassed(), 4_000.0))
            self.assertEqual(len(results), 1, f"seed {seed}")

    def test_hedge_delay_is_twice_the_95th_percentile(self):
        window = LatencyWindow()
        self.assertEqual(window.hedge_after_ms(), 250.0)
        for number in range(100):
            window.add(float(number + 1))
        self.assertEqual(window.hedge_after_ms(), 190.0)
