"""Decide the attempts of one call that may be repeated."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from math import ceil

from bronzeline_kernel.orders.claim import Outcome
from bronzeline_kernel.orders.messages import OrderResult, OrderStatus

__all__ = [
    "AttemptEnded",
    "AttemptRefused",
    "AttemptStarted",
    "CallDeadlinePassed",
    "CallTimerFired",
    "DeliverResult",
    "LatencyWindow",
    "RepeatBudget",
    "RepeatableCall",
    "SetCallTimer",
    "StartAttempt",
]

MAX_ATTEMPTS = 4
REFUSED_RETRY_MS = 100.0
FAILED_STATUSES = (502, 503, 504)
N_LATENCIES = 200
MIN_LATENCIES = 20
FIRST_HEDGE_MS = 250.0
MIN_HEDGE_MS = 10.0
HEDGE_QUANTILE = 0.95


class LatencyWindow:
    """Hold the latest durations and tell when a call is slow."""

    def __init__(self) -> None:
        self._durations_ms: deque[float] = deque(maxlen=N_LATENCIES)

    def add(self, duration_ms: float) -> None:
        """Take in the duration of one attempt."""
        self._durations_ms.append(duration_ms)

    def hedge_after_ms(self) -> float:
        """Return the age at which a call is slower than nearly all."""
        durations = sorted(self._durations_ms)
        if len(durations) < MIN_LATENCIES:
            return FIRST_HEDGE_MS
        index = ceil(HEDGE_QUANTILE * len(durations)) - 1
        return max(MIN_HEDGE_MS, 2 * durations[index])


class RepeatBudget:
    """Pay for further attempts with a share of the first ones."""

    def __init__(self, ratio: float, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self._reserve = reserve
        self._n_tokens = reserve

    def earn(self) -> None:
        """Count a first attempt."""
        self._n_tokens = min(self._reserve, self._n_tokens + self.ratio)

    def spend(self) -> bool:
        """Take the price of a further attempt, if there is so much."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


@dataclass(frozen=True)
class AttemptStarted:
    """Tell which upstream an attempt was sent to."""

    attempt: int
    upstream_id: str


@dataclass(frozen=True)
class AttemptRefused:
    """Tell that no upstream took the attempt."""

    attempt: int
    code: str
    retry_after_ms: float


@dataclass(frozen=True)
class AttemptEnded:
    """Tell an attempt's answer; None when it broke."""

    attempt: int
    outcome: Outcome | None


@dataclass(frozen=True)
class CallTimerFired:
    """Tell that it is time for a hedge or a retry."""


@dataclass(frozen=True)
class CallDeadlinePassed:
    """Tell that the caller waits no longer."""


@dataclass(frozen=True)
class StartAttempt:
    """Ask for an upstream and send the call to it."""

    attempt: int
    deadline_at_ms: float
    excluded_ids: tuple[str, ...]


@dataclass(frozen=True)
class SetCallTimer:
    """Fire `CallTimer` at a time."""

    at_ms: float


@dataclass(frozen=True)
class DeliverResult:
    """Give the caller its result and drop the other attempts."""

    result: OrderResult


CallMessage = (
    AttemptStarted | AttemptRefused | AttemptEnded | CallTimerFired | CallDeadlinePassed
)
CallAction = StartAttempt | SetCallTimer | DeliverResult


class RepeatableCall:
    """Try one call on several upstreams until one answers in time."""

    def __init__(
        self, deadline_at_ms: float, hedge_after_ms: float, budget: RepeatBudget
    ) -> None:
        self.is_ended = False
        self._deadline_at_ms = deadline_at_ms
        self._hedge_after_ms = hedge_after_ms
        self._budget = budget
        self._n_attempts = 0
        self._n_running = 0
        self._tried_ids: tuple[str, ...] = ()
        self._failure = OrderResult(OrderStatus.IN_DOUBT, "no_upstream_answered")

    def start(self, now_ms: float) -> list[CallAction]:
        """Return the first attempt."""
        self._budget.earn()
        return self._attempt(now_ms)

    def handle(self, message: CallMessage, now_ms: float) -> list[CallAction]:
        """Take a message in and return what to do."""
        if self.is_ended:
            return []
        match message:
            case AttemptStarted(_, upstream_id):
                self._tried_ids = (*self._tried_ids, upstream_id)
                return []
            case AttemptEnded(_, outcome):
                return self._on_ended(outcome, now_ms)
            case AttemptRefused(_, code, retry_after_ms):
                return self._on_refused(code, retry_after_ms, now_ms)
            case CallTimerFired():
                return self._repeat(now_ms)
            case CallDeadlinePassed():
                return self._deliver(self._failure)

    def _attempt(self, now_ms: float) -> list[CallAction]:
        self._n_attempts += 1
        self._n_running += 1
        start = StartAttempt(self._n_attempts, self._deadline_at_ms, self._tried_ids)
        return [start, SetCallTimer(now_ms + self._hedge_after_ms)]

    def _repeat(self, now_ms: float) -> list[CallAction]:
        if self._n_attempts >= MAX_ATTEMPTS or not self._budget.spend():
            return [] if self._n_running else self._deliver(self._failure)
        return self._attempt(now_ms)

    def _on_ended(self, outcome: Outcome | None, now_ms: float) -> list[CallAction]:
        self._n_running -= 1
        if outcome is not None:
            result = OrderResult(OrderStatus.ANSWERED, outcome=outcome)
            if outcome.status not in FAILED_STATUSES:
                return self._deliver(result)
            self._failure = result
        return self._repeat(now_ms)

    def _on_refused(
        self, code: str, retry_after_ms: float, now_ms: float
    ) -> list[CallAction]:
        self._n_running -= 1
        if self._n_running:
            return []
        if not self._tried_ids:
            result = OrderResult(OrderStatus.NOT_RUN, code, None, retry_after_ms)
            return self._deliver(result)
        # Nobody else is left: those that failed before are worth another try.
        self._tried_ids = ()
        return [SetCallTimer(now_ms + REFUSED_RETRY_MS)]

    def _deliver(self, result: OrderResult) -> list[CallAction]:
        self.is_ended = True
        return [DeliverResult(result)]
