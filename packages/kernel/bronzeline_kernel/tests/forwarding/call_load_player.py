"""Play calls against three upstreams of which one fails."""

from __future__ import annotations

from collections import Counter
from random import Random

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import CallRun, Finish, Send, WorkKind
from bronzeline_kernel.tests.forwarding.samples import (
    ORDERS,
    fleet,
    placement,
    route,
)

ORDER = route(WorkKind.NON_IDEMPOTENT, max_attempts=1, target_latency_ms=250.0)
STATUS = route(WorkKind.IDEMPOTENT, max_attempts=2, target_latency_ms=250.0)
N_CALLS = 1_000
INTERVAL_MS = 20.0
SUCCESS_MS = 45.0
# Failing is faster than working, so the failing upstream has little load.
FAILURE_MS = 5.0
# The first calls find out which upstream fails.
N_FIRST_CALLS = 100


class FailingUpstreamPlayer:
    """Send calls at a steady rate to three upstreams; one fails a share of them."""

    def __init__(self, call_route, failing_id, failed_share, seed):
        self.route = call_route
        self.failing_id = failing_id
        self.failed_share = failed_share
        self.placement = placement(fleet(1, ORDERS))
        self.budget = RetryBudget(0.5, 50.0)
        self.random = Random(seed)
        self.outcomes = Counter()
        self.due = []

    def play(self):
        for number in range(N_CALLS):
            now_ms = number * INTERVAL_MS
            self.complete_until(now_ms)
            run = CallRun(
                self.route, ORDERS, self.placement, self.budget, now_ms + 2_000.0
            )
            self.perform(run, run.start(now_ms), now_ms, number >= N_FIRST_CALLS)
        self.complete_until(float("inf"))
        return self.outcomes

    def complete_until(self, end_ms):
        while self.due and min(self.due)[0] <= end_ms:
            item = min(self.due)
            self.due.remove(item)
            now_ms, _, run, number, is_failure, is_counted = item
            report = run.failed if is_failure else run.answered
            self.perform(run, report(number, now_ms), now_ms, is_counted, is_failure)

    def perform(self, run, actions, now_ms, is_counted, is_failure=False):
        for action in actions:
            match action:
                case Send(number, upstream):
                    fails = (
                        upstream.upstream_id == self.failing_id
                        and self.random.random() < self.failed_share
                    )
                    at_ms = now_ms + (FAILURE_MS if fails else SUCCESS_MS)
                    item = (at_ms, id(run), run, number, fails, is_counted)
                    self.due.append(item)
                case Finish() if is_counted:
                    self.outcomes["failed" if is_failure else "answered"] += 1
