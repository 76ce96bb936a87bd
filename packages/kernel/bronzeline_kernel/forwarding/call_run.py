"""Run one short call to its response, at most once if it is not idempotent."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding.call_times import CallTimes
from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.fault_evidence import record_fault
from bronzeline_kernel.forwarding.messages import (
    Abandon,
    Action,
    Fail,
    Failure,
    Fault,
    Finish,
    Send,
)
from bronzeline_kernel.forwarding.placement import Choice, Placement
from bronzeline_kernel.forwarding.rollout import RequestVersions
from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = ["CallOptions", "CallRun"]


@dataclass(frozen=True)
class CallOptions:
    """Set when a call is hedged or retried, and the delay that refusals ask for."""

    # Share of the latency target after which a second attempt is sent; the rest
    # is enough for an upstream in another region to answer.
    hedge_after_share: float = 0.5
    # A full upstream frees a slot within one call of 45 ms; this is a few calls.
    retry_after_ms: float = 150.0
    # Callers return to an upstream after its rest at this interval; a call of 45 ms
    # keeps one of several slots.
    return_interval_ms: float = 10.0
    # A kept failure is sent this long before the deadline, to reach the caller in time.
    last_response_ms: float = 100.0
    # Each unreachable upstream costs one connection attempt.
    max_unreachable: int = 4


@dataclass
class CallRun:
    """Decide on which upstreams a call runs and what its caller gets."""

    route: Route
    service: str
    placement: Placement
    budget: RetryBudget
    deadline_ms: float
    options: CallOptions = field(default_factory=CallOptions)
    # Returns the service of the next attempt, given that of the last one.
    next_service: Callable[[str], str] = lambda former: former
    # Returns the urgency at a service, None to leave it to the upstream.
    find_urgency: Callable[[str], int | None] = lambda service: None
    # Decides between software versions, None where all may be used.
    versions: RequestVersions | None = None
    is_over: bool = False
    _times: CallTimes = field(init=False)
    started_at_ms: float = 0.0
    n_sent: int = 0
    n_reached: int = 0
    n_unreachable: int = 0
    may_have_run: bool = False
    # The attempt whose response, an upstream's own failure, the caller gets if no
    # other attempt does better.
    _failed_number: int | None = None
    _failed_at_ms: float = 0.0
    _open: dict[int, ListedUpstream] = field(default_factory=dict)
    _tried: set[Incarnation] = field(default_factory=set)

    def __post_init__(self) -> None:
        self._times = CallTimes(self.placement.capacity, self.placement.regions)

    def start(self, now_ms: float) -> list[Action]:
        """Send the call to its first upstream."""
        self.started_at_ms = now_ms
        self.budget.earn()
        return self._send(now_ms)

    def answered(self, number: int, now_ms: float) -> list[Action]:
        """Handle a complete response: pass it to the caller, abandon other attempts."""
        if self.is_over or number not in self._open:
            return []
        health = self.placement.health
        upstream = self._open[number]
        health.record_success(upstream.incarnation, now_ms)
        health.record_response(upstream.incarnation, now_ms, is_failure=False)
        self._times.answered(number, now_ms)
        return self._finish(number)

    def failed(self, number: int, now_ms: float) -> list[Action]:
        """Handle a complete response that reports the upstream's own failure.

        A call that may run again is tried elsewhere; its caller gets this response
        if no other attempt is answered soon.
        """
        if self.is_over or number not in self._open:
            return []
        health = self.placement.health
        upstream = self._open[number]
        health.record_success(upstream.incarnation, now_ms)
        health.record_response(upstream.incarnation, now_ms, is_failure=True)
        if not self.route.is_repeatable:
            return self._finish(number)
        self._failed_number = number
        self._failed_at_ms = now_ms
        self.may_have_run = True
        self._release(number)
        self._tried.add(upstream.incarnation)
        return self._go_on(Fault.FAILED, now_ms)

    def lost(self, number: int, fault: Fault, now_ms: float) -> list[Action]:
        """Handle a failed attempt: wait for the other one, retry or fail."""
        if self.is_over or number not in self._open:
            return []
        upstream = self._open[number]
        self._release(number)
        self._tried.add(upstream.incarnation)
        record_fault(self.placement, upstream, fault, now_ms)
        if fault is Fault.UNREACHABLE:
            self.n_reached -= 1
            self.n_unreachable += 1
        if not fault.is_not_run:
            self.may_have_run = True
        return self._go_on(fault, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Send a hedge or time out the call when either is due."""
        if self.is_over:
            return []
        if now_ms >= self.deadline_ms:
            return self._fail(Failure.TIMED_OUT, "deadline")
        self._times.check_late(now_ms)
        if self._failed_number is not None:
            if self._is_failure_due(now_ms):
                return self._finish(self._failed_number)
            return []
        if now_ms - self.started_at_ms < self._hedge_after_ms():
            return []
        if len(self._open) != 1:
            return []
        choice = self._hedge_choice(now_ms)
        return [] if choice is None else [self._send_to(choice, now_ms)]

    def cancel(self) -> list[Action]:
        """Handle the caller's disconnect; attempts that may not be repeated run on."""
        self.is_over = True
        return self._abandon_repeatable()

    def _go_on(self, fault: Fault, now_ms: float) -> list[Action]:
        """Wait for the other attempt, retry, or end the call."""
        if self._open:
            return []
        if self._may_retry(fault, now_ms):
            return self._send(now_ms)
        return self._fail_lost(fault, now_ms)

    def _finish(self, number: int) -> list[Action]:
        self._release(number)
        self.is_over = True
        return [Finish(number), *self._abandon_repeatable()]

    def _hedge_after_ms(self) -> float:
        return self.route.target_latency_ms * self.options.hedge_after_share

    def _is_failure_due(self, now_ms: float) -> bool:
        """Return whether a kept failure must be sent instead of waiting longer."""
        waited_ms = now_ms - self._failed_at_ms
        left_ms = self.deadline_ms - now_ms
        is_late = left_ms <= self.options.last_response_ms
        return is_late or waited_ms >= self._hedge_after_ms()

    def _hedge_choice(self, now_ms: float) -> Choice | None:
        """Choose an upstream for a second, concurrent attempt, if one is allowed."""
        if not self.route.is_repeatable or self.n_reached >= self.route.max_attempts:
            return None
        self.service = self.next_service(self.service)
        in_use = {item.incarnation for item in self._open.values()}
        choice = self._choose(self._tried | in_use, now_ms)
        if choice is None or not self.budget.spend():
            return None
        return choice

    def _may_retry(self, fault: Fault, now_ms: float) -> bool:
        if now_ms >= self.deadline_ms:
            return False
        if fault is Fault.UNREACHABLE:
            return self.n_unreachable <= self.options.max_unreachable
        if self.n_reached >= self.route.max_attempts:
            return False
        if not fault.is_not_run and not self.route.is_repeatable:
            return False
        return self.budget.spend()

    def _send(self, now_ms: float) -> list[Action]:
        """Send the call to an upstream not tried yet, or to any if all were tried."""
        self.service = self.next_service(self.service)
        choice = self._choose(self._tried, now_ms)
        if choice is None and self._tried:
            choice = self._choose((), now_ms)
        if choice is None:
            return self._fail_not_served("no upstream", now_ms)
        return [self._send_to(choice, now_ms)]

    def _choose(self, exclude: Collection[Incarnation], now_ms: float) -> Choice | None:
        """Choose an upstream of a software version that the call may use."""
        place = partial(
            self.placement.choose_for_call,
            self.service,
            now_ms,
            exclude,
            target_ms=self.route.target_latency_ms,
        )
        if self.versions is None:
            return place()
        return self.versions.choose(
            self.service,
            lambda may_run: place(may_run=may_run),
        )

    def _send_to(self, choice: Choice, now_ms: float) -> Send:
        upstream = choice.upstream
        self.n_sent += 1
        self.n_reached += 1
        self._open[self.n_sent] = upstream
        self._times.sent(self.n_sent, upstream, now_ms)
        self.placement.load(upstream.upstream_id).n_calls += 1
        self.placement.record_send(upstream, now_ms)
        budget_ms = max(0.0, self.deadline_ms - now_ms)
        urgency = self.find_urgency(self.service)
        return Send(self.n_sent, upstream, budget_ms, choice=choice, urgency=urgency)

    def _fail_lost(self, fault: Fault, now_ms: float) -> list[Action]:
        if fault.is_not_run:
            return self._fail_not_served(fault.value, now_ms)
        return self._fail(Failure.UNKNOWN_OUTCOME, fault.value)

    def _fail_not_served(self, reason: str, now_ms: float) -> list[Action]:
        if self.may_have_run:
            return self._fail(Failure.UNKNOWN_OUTCOME, reason)
        interval_ms = self.options.return_interval_ms
        closure = self.placement.permission.find_closure(
            self.service, self._tried, self.deadline_ms, interval_ms, now_ms
        )
        if closure is None:
            return self._fail(Failure.NOT_RUN, reason, self.options.retry_after_ms)
        return self._fail(Failure.NOT_RUN, closure.reason, closure.return_ms)

    def _fail(
        self, failure: Failure, reason: str, retry_after_ms: float = 0.0
    ) -> list[Action]:
        if self._failed_number is not None:
            return self._finish(self._failed_number)
        self.is_over = True
        return [*self._abandon_repeatable(), Fail(failure, reason, retry_after_ms)]

    def _abandon_repeatable(self) -> list[Action]:
        """Abandon repeatable attempts; others run on and their result is ignored."""
        abandoned = self._abandon_all()
        return abandoned if self.route.is_repeatable else []

    def _abandon_all(self) -> list[Action]:
        numbers = list(self._open)
        for number in numbers:
            self._release(number)
        return [Abandon(number) for number in numbers]

    def _release(self, number: int) -> None:
        upstream = self._open.pop(number, None)
        self._times.ended(number)
        if upstream is not None:
            self.placement.load(upstream.upstream_id).n_calls -= 1
