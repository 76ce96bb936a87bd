"""Check what callers are told while all upstreams of a service leave or rest."""

import unittest
from itertools import pairwise

from nose2.tools import params

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import (
    CallRun,
    Fail,
    Failure,
    Fault,
    RequestRoute,
    Send,
    StreamRun,
    UpstreamNotice,
    WorkKind,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    binding,
    fleet,
    placement,
    request,
    route,
    upstream,
)

LEAVING = UpstreamNotice(is_leaving=True, leaving_value="1")


def resting(rest_ms):
    return UpstreamNotice(rest_ms=rest_ms, rest_value="1")


class ClosureTests(unittest.TestCase):
    def setUp(self):
        self.placement = placement(fleet(1))

    def say(self, notice, *names, now_ms=0.0):
        for item in list(self.placement.upstreams.listed()):
            if not names or item.upstream_id in names:
                notices = self.placement.upstreams.notices
                notices.record(item.incarnation, notice, now_ms)

    def start(self, now_ms, left_ms=25_000.0, kind=WorkKind.STREAM):
        budget = RetryBudget(0.5, 50.0)
        deadline_ms = now_ms + left_ms
        if kind is WorkKind.STREAM:
            drafts = route(timeout_ms=left_ms)
            run = StreamRun(
                binding(request(), drafts, self.placement),
                ENGINES,
                self.placement,
                budget,
                deadline_ms,
            )
        else:
            run = CallRun(route(kind), ENGINES, self.placement, budget, deadline_ms)
        return run, run.start(now_ms)

    @params(
        (WorkKind.STREAM, 25_000.0),
        (WorkKind.STREAM, 5_000.0),
        (WorkKind.NON_IDEMPOTENT, 1_200.0),
        (WorkKind.IDEMPOTENT, 1_200.0),
        (WorkKind.NON_IDEMPOTENT, 20_000.0),
    )
    def test_callers_are_told_the_end_of_the_first_rest(self, kind, left_ms):
        """A caller with less time is told the same, and at once."""
        self.say(resting(9_000.0), "zone-a-0")
        self.say(resting(3_000.0), "zone-b-0")
        self.say(resting(20_000.0), "zone-c-0")
        for at_ms in (100.0, 1_000.0, 2_900.0):
            # The first of them; others are told later times.
            self.placement._returns.open(ENGINES)
            _, (fail,) = self.start(at_ms, left_ms, kind)
            self.assertEqual(fail.failure, Failure.NOT_RUN)
            self.assertEqual(fail.reason, "all upstreams rest")
            returns_at_ms = at_ms + fail.retry_after_ms
            self.assertGreaterEqual(returns_at_ms, 3_000.0)
            self.assertLessEqual(returns_at_ms, 3_500.0)
            _, (send,) = self.start(returns_at_ms, left_ms, kind)
            self.assertEqual(send.upstream.upstream_id, "zone-b-0")

    @params((WorkKind.STREAM, 25_000.0, 500.0), (WorkKind.IDEMPOTENT, 20_000.0, 8.0))
    def test_callers_return_one_after_the_other(self, kind, left_ms, interval_ms):
        self.say(resting(1_000.0))
        self.placement.limits.n_routers = 3
        times_ms = []
        for at_ms in range(0, 200, 10):
            _, (fail,) = self.start(float(at_ms), left_ms, kind)
            times_ms.append(at_ms + fail.retry_after_ms)
        gaps_ms = [b - a for a, b in pairwise(times_ms)]
        self.assertGreaterEqual(min(times_ms), 1_000.0)
        self.assertGreaterEqual(min(gaps_ms), 0.0)
        self.assertGreater(gaps_ms[0], interval_ms)
        self.assertLessEqual(max(times_ms), 13_500.0)

    def test_returns_are_not_later_than_is_useful_to_a_caller(self):
        self.say(resting(1_000.0))
        for _ in range(50):
            _, (fail,) = self.start(0.0, 5_000.0)
            self.assertLessEqual(fail.retry_after_ms, 3_500.0)

    @params((0.0, 250.0), (1_000.0, 1_000.0), (30_000.0, 5_000.0))
    def test_callers_return_after_about_as_long_as_all_have_been_leaving(
        self, lasted_ms, expected_ms
    ):
        self.say(LEAVING)
        self.start(0.0)
        for entry in fleet(1):
            self.placement.upstreams.remove(entry.upstream_id, 1.0)
        _, actions = self.start(lasted_ms)
        expected = Fail(Failure.NOT_RUN, "all upstreams leave", expected_ms)
        self.assertEqual(actions, [expected])
        self.placement.upstreams.put(upstream("new"))
        _, (send,) = self.start(lasted_ms + expected_ms)
        self.assertIsInstance(send, Send)

    def test_one_upstream_that_neither_leaves_nor_rests_serves_all(self):
        self.say(LEAVING, "zone-a-0")
        self.say(resting(5_000.0), "zone-b-0")
        for at_ms in range(30):
            _, (send,) = self.start(float(at_ms))
            self.assertEqual(send.upstream.upstream_id, "zone-c-0")

    def test_the_earlier_of_a_limit_and_a_rest_counts(self):
        self.say(resting(800.0), "zone-a-0", "zone-b-0")
        limited = self.placement.upstreams.get("zone-c-0").incarnation
        self.placement.limits.record_response(limited, 0.1, 0.0)
        _, (fail,) = self.start(10.0)
        self.assertLess(fail.retry_after_ms, 1_100.0)

    @params(WorkKind.STREAM, WorkKind.IDEMPOTENT)
    def test_a_request_turned_away_by_the_last_upstream_is_told_when_it_is_back(
        self, kind
    ):
        self.say(resting(5_000.0), "zone-a-0", "zone-b-0")
        run, (send,) = self.start(0.0, kind=kind)
        self.say(resting(2_000.0), "zone-c-0", now_ms=20.0)
        (fail,) = run.lost(send.number, Fault.FULL, 20.0)
        self.assertGreaterEqual(fail.retry_after_ms, 2_000.0)
        self.assertLess(fail.retry_after_ms, 2_600.0)

    @params((1, 500.0, 500.0), (2, 2_000.0, 2_600.0), (3, 2_000.0, 2_600.0))
    def test_rests_of_most_upstreams_tell_when_to_come_back(
        self, n_known, earliest_ms, latest_ms
    ):
        """All rest; of most of them this router knows from itself or a peer."""
        run, (send,) = self.start(0.0)
        entries = [send.upstream]
        others = [x for x in fleet(1) if x.address != send.upstream.address]
        entries += others
        notices = self.placement.upstreams.notices
        notices.record(entries[0].incarnation, resting(2_000.0), 20.0)
        for entry in entries[1:n_known]:
            notices.receive_rest(entry.incarnation, "1", 2_000.0, 20.0)
        run.counts.n_rejected = run.options.max_rejections
        (fail,) = run.lost(send.number, Fault.FULL, 20.0)
        self.assertGreaterEqual(fail.retry_after_ms, earliest_ms)
        self.assertLessEqual(fail.retry_after_ms, latest_ms)

    def test_limits_of_most_upstreams_do_not_delay_who_finds_the_others_full(self):
        for name in ("zone-a-0", "zone-b-0"):
            limited = self.placement.upstreams.get(name).incarnation
            self.placement.limits.record_response(limited, 0.1, 0.0)
        run, (send,) = self.start(0.0)
        self.assertEqual(send.upstream.upstream_id, "zone-c-0")
        run.counts.n_rejected = run.options.max_rejections
        (fail,) = run.lost(send.number, Fault.FULL, 20.0)
        self.assertEqual(fail.retry_after_ms, run.options.retry_after_ms)

    @params(WorkKind.STREAM, WorkKind.NON_IDEMPOTENT)
    def test_rests_of_the_others_do_not_delay_who_finds_an_upstream_full(self, kind):
        self.say(resting(30_000.0), "zone-a-0", "zone-b-0")
        run, (send,) = self.start(0.0, kind=kind)
        once = route(kind, max_attempts=1)
        if kind is WorkKind.STREAM:
            run.binding.route = RequestRoute(once)
        else:
            run.route = once
        (fail,) = run.lost(send.number, Fault.FULL, 20.0)
        self.assertEqual(fail.retry_after_ms, run.options.retry_after_ms)

    def test_a_call_without_attempts_left_is_told_when_an_upstream_is_back(self):
        run, (send,) = self.start(0.0, 1_200.0, WorkKind.NON_IDEMPOTENT)
        run.route = route(WorkKind.NON_IDEMPOTENT, max_attempts=1)
        self.say(resting(600.0), now_ms=20.0)
        (fail,) = run.lost(send.number, Fault.FULL, 20.0)
        self.assertGreaterEqual(fail.retry_after_ms, 600.0)

    def test_a_stream_that_has_events_is_not_told_that_it_did_not_run(self):
        run, (send,) = self.start(0.0)
        run.accept_event(send.number, 1, 1_000.0)
        self.say(resting(2_000.0), now_ms=1_000.0)
        (fail,) = run.lost(send.number, Fault.BROKEN, 1_010.0)
        self.assertEqual(fail.failure, Failure.UNKNOWN_OUTCOME)
