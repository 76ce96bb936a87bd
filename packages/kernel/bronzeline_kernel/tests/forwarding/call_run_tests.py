import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import (
    Abandon,
    CallRun,
    Fail,
    Failure,
    Fault,
    Finish,
    Send,
    WorkKind,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ORDERS,
    fleet,
    placement,
    route,
    upstream,
)

DEADLINE_MS = 1_200.0
ORDER = route(WorkKind.NON_IDEMPOTENT, max_attempts=1, target_latency_ms=250.0)
STATUS = route(WorkKind.IDEMPOTENT, max_attempts=2, target_latency_ms=250.0)


def call(call_route, budget=10.0, per_zone=1):
    call_placement = placement(fleet(per_zone, ORDERS))
    run = CallRun(
        call_route, ORDERS, call_placement, RetryBudget(0.5, budget), DEADLINE_MS
    )
    return run, run.start(0.0)


class CallTests(unittest.TestCase):
    @params(ORDER, STATUS)
    def test_first_complete_response_goes_to_the_caller(self, call_route):
        run, actions = call(call_route)
        self.assertEqual(actions[0].upstream.availability_zone, "zone-a")
        self.assertEqual(run.answered(1, 50.0), [Finish(1)])
        self.assertEqual(run.tick(9e9), [])

    @params(
        (ORDER, Fault.UNREACHABLE, Send, None),
        (ORDER, Fault.FULL, Fail, Failure.NOT_RUN),
        (ORDER, Fault.REPLACED, Fail, Failure.NOT_RUN),
        (ORDER, Fault.BROKEN, Fail, Failure.UNKNOWN_OUTCOME),
        (ORDER, Fault.GARBLED, Fail, Failure.UNKNOWN_OUTCOME),
        (ORDER, Fault.UNPROVEN_REFUSAL, Fail, Failure.UNKNOWN_OUTCOME),
        (STATUS, Fault.UNREACHABLE, Send, None),
        (STATUS, Fault.FULL, Send, None),
        (STATUS, Fault.REPLACED, Send, None),
        (STATUS, Fault.BROKEN, Send, None),
        (STATUS, Fault.GARBLED, Send, None),
        (STATUS, Fault.UNPROVEN_REFUSAL, Send, None),
    )
    def test_failed_attempt_is_retried_only_where_allowed(
        self, call_route, fault, expected, failure
    ):
        run, first = call(call_route)
        action = run.lost(1, fault, 10.0)[0]
        self.assertIsInstance(action, expected)
        self.assertEqual(getattr(action, "failure", None), failure)
        if expected is Send:
            self.assertNotEqual(action.upstream, first[0].upstream)
        if failure is Failure.NOT_RUN:
            self.assertGreater(action.retry_after_ms, 0.0)

    @params(("retry", ORDER), ("hedge", STATUS))
    def test_a_second_attempt_follows_the_route(self, way, call_route):
        """It was sent to the service of the route at the call's arrival."""
        run, _ = call(call_route)
        other = upstream("other", service="other")
        run.placement.upstreams.put(other)
        run.next_service = lambda former: "other"
        if way == "retry":
            (sent,) = run.lost(1, Fault.UNREACHABLE, 10.0)
        else:
            (sent,) = run.tick(0.5 * call_route.target_latency_ms)
        self.assertEqual(sent.upstream, other)

    @given(st.lists(st.sampled_from(Fault), max_size=12), st.booleans())
    def test_non_idempotent_call_reaches_one_upstream_at_most(
        self, faults, is_answered
    ):
        run, actions = call(ORDER, per_zone=2)
        for fault in faults:
            sent = [item for item in actions if isinstance(item, Send)]
            actions += run.lost(sent[-1].number, fault, 10.0)
        if is_answered:
            sent = [item for item in actions if isinstance(item, Send)]
            actions += run.answered(sent[-1].number, 20.0)
        numbers = [item.number for item in actions if isinstance(item, Send)]
        reached = [
            number
            for number, fault in zip(numbers, faults, strict=False)
            if fault is not Fault.UNREACHABLE
        ]
        self.assertLessEqual(len(reached), 1)
        failures = [item for item in actions if isinstance(item, Fail)]
        if any(item.failure is Failure.NOT_RUN for item in failures):
            self.assertTrue(all(f.is_not_run for f in faults[: len(numbers)]))

    def test_route_limits_attempts(self):
        run, _ = call(STATUS, per_zone=3)
        run.lost(1, Fault.BROKEN, 10.0)
        end = run.lost(2, Fault.BROKEN, 20.0)[0]
        self.assertEqual(end.failure, Failure.UNKNOWN_OUTCOME)

    def test_failed_connections_are_limited(self):
        run, actions = call(STATUS, per_zone=3)
        while not run.is_over:
            actions = run.lost(actions[0].number, Fault.UNREACHABLE, 10.0)
        self.assertEqual(actions[0].failure, Failure.NOT_RUN)

    def test_retry_spends_budget(self):
        run, _ = call(STATUS, budget=0.0)
        self.assertEqual(run.lost(1, Fault.BROKEN, 10.0)[0].reason, "broken")


class FailureResponseTests(unittest.TestCase):
    """An upstream's own failure goes to the caller only if no other one does better."""

    @params((ORDER, [Finish(1)]), (STATUS, [Send]))
    def test_only_a_repeatable_call_is_tried_elsewhere(self, call_route, expected):
        run, first = call(call_route)
        actions = run.failed(1, 10.0)
        if expected == [Send]:
            self.assertNotEqual(actions[0].upstream, first[0].upstream)
            self.assertEqual(run.answered(2, 20.0), [Finish(2)])
        else:
            self.assertEqual(actions, expected)
        self.assertTrue(run.is_over)

    @params("failed", "lost", "deadline")
    def test_caller_gets_the_failure_when_the_retry_fails_too(self, end):
        run, _ = call(STATUS)
        run.failed(1, 10.0)
        actions = {
            "failed": lambda: run.failed(2, 20.0),
            "lost": lambda: run.lost(2, Fault.BROKEN, 20.0),
            "deadline": lambda: run.tick(DEADLINE_MS),
        }[end]()
        kept = Finish(2) if end == "failed" else Finish(1)
        self.assertEqual(actions[0], kept)
        self.assertEqual(actions[1:], [Abandon(2)] if end == "deadline" else [])

    def test_without_budget_the_failure_is_final(self):
        run, _ = call(STATUS, budget=0.0)
        self.assertEqual(run.failed(1, 10.0), [Finish(1)])

    def test_failure_of_one_of_two_attempts_leaves_the_other(self):
        run, _ = call(STATUS)
        run.tick(130.0)
        self.assertEqual(run.failed(1, 140.0), [])
        self.assertEqual(run.answered(2, 150.0), [Finish(2)])

    @params((STATUS, True), (STATUS, False))
    def test_caller_soon_gets_the_failure_if_the_other_attempt_is_silent(
        self, call_route, is_hedge
    ):
        """The answer of the other one may be lost, and the caller has time left."""
        run, _ = call(call_route)
        if is_hedge:
            run.tick(130.0)
            failed, silent = 2, 1
        else:
            failed, silent = 1, 2
        run.failed(failed, 140.0)
        self.assertEqual(run.tick(260.0), [])
        self.assertEqual(run.tick(270.0), [Finish(failed), Abandon(silent)])

    def test_the_failure_is_sent_while_the_caller_still_waits(self):
        run, _ = call(STATUS)
        run.failed(1, DEADLINE_MS - 110.0)
        self.assertEqual(run.tick(DEADLINE_MS - 101.0), [])
        self.assertEqual(run.tick(DEADLINE_MS - 100.0)[0], Finish(1))

    @params((0.0, 0), (0.4, 3))
    def test_calls_avoid_an_upstream_that_often_fails(self, failed_share, least):
        """Load: one upstream of three fails a share of its calls, and at once."""
        calls = placement(fleet(1, ORDERS))
        own = calls.choose_for_call(ORDERS, 0.0).upstream
        for number in range(20):
            is_failure = number < 20 * failed_share
            calls.health.record_response(own.incarnation, 0.0, is_failure=is_failure)
        chosen = [calls.choose_for_call(ORDERS, 1.0).upstream for _ in range(3)]
        self.assertGreaterEqual(sum(item != own for item in chosen), least)
        later = calls.choose_for_call(ORDERS, 30_000.0).upstream
        self.assertEqual(later, own)


class TimeTests(unittest.TestCase):
    @params((STATUS, 126.0, True), (STATUS, 123.0, False), (ORDER, 1_000.0, False))
    def test_slow_repeatable_call_is_hedged_once(self, call_route, now_ms, expected):
        run, _ = call(call_route)
        actions = run.tick(now_ms)
        self.assertEqual([type(item) for item in actions], [Send] if expected else [])
        self.assertEqual(run.tick(now_ms + 1.0), [])

    @params((1, 2), (2, 1))
    def test_slower_of_two_attempts_is_abandoned(self, finished, abandoned):
        run, _ = call(STATUS)
        run.tick(130.0)
        actions = run.answered(finished, 150.0)
        self.assertEqual(actions, [Finish(finished), Abandon(abandoned)])

    def test_call_continues_after_loss_of_one_of_two_attempts(self):
        run, _ = call(STATUS)
        run.tick(130.0)
        self.assertEqual(run.lost(1, Fault.BROKEN, 140.0), [])
        self.assertEqual(run.answered(2, 150.0)[0], Finish(2))

    @params((ORDER, [Fail]), (STATUS, [Abandon, Fail]))
    def test_deadline_abandons_only_repeatable_attempts(self, call_route, expected):
        run, _ = call(call_route)
        actions = run.tick(DEADLINE_MS)
        self.assertEqual([type(item) for item in actions], expected)
        self.assertEqual(actions[-1].failure, Failure.TIMED_OUT)

    @params((ORDER, []), (STATUS, [Abandon(1)]))
    def test_disconnect_abandons_only_repeatable_attempts(self, call_route, expected):
        run, _ = call(call_route)
        self.assertEqual(run.cancel(), expected)


class LimitTests(unittest.TestCase):
    """Upstreams name limits, of which nothing is left at first."""

    def limited(self, n_limited, limit_per_s=2.0):
        entries = fleet(1, ORDERS)
        call_placement = placement(entries)
        for item in entries[:n_limited]:
            call_placement.limits.record_response(item.incarnation, limit_per_s, 0.0)
        return call_placement

    def start(self, call_placement, now_ms):
        budget = RetryBudget(0.5, 10.0)
        run = CallRun(ORDER, ORDERS, call_placement, budget, now_ms + DEADLINE_MS)
        return run.start(now_ms)[0]

    def test_calls_go_to_upstreams_whose_limit_leaves_room(self):
        call_placement = self.limited(n_limited=2)
        sent = [self.start(call_placement, at_ms).upstream for at_ms in (0.0, 400.0)]
        self.assertEqual({item.availability_zone for item in sent}, {"zone-c"})
        near = [self.start(call_placement, 600.0).upstream for _ in range(2)]
        zones = [item.availability_zone for item in near]
        self.assertEqual(zones, ["zone-a", "zone-b"])

    def test_a_call_beyond_all_limits_is_refused_as_not_run_with_a_time(self):
        call_placement = self.limited(n_limited=3)
        failures = [self.start(call_placement, 0.0) for _ in range(8)]
        self.assertEqual({item.failure for item in failures}, {Failure.NOT_RUN})
        times = [item.retry_after_ms for item in failures]
        self.assertEqual(times[0], 500.0)
        self.assertEqual(times, sorted(times))
        self.assertEqual(max(times), 0.7 * DEADLINE_MS)
        self.assertIsInstance(self.start(call_placement, 500.0), Send)

    def test_a_second_attempt_keeps_to_the_limits_too(self):
        call_placement = self.limited(n_limited=3)
        budget = RetryBudget(0.5, 10.0)
        run = CallRun(STATUS, ORDERS, call_placement, budget, 500.0 + DEADLINE_MS)
        for item in fleet(1, ORDERS)[1:]:
            call_placement.limits.record_send(item.incarnation, 500.0)
        self.assertIsInstance(run.start(500.0)[0], Send)
        self.assertEqual(run.tick(700.0), [])
