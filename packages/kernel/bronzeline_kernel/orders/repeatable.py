"""Implement retries and hedging of idempotent calls."""

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
    """Hold the latest durations and derive the hedging delay from them."""

    def __init__(self) -> None:
        self._durations_ms: deque[float] = deque(maxlen=N_LATENCIES)

    def add(self, duration_ms: float) -> None:
        """Add the duration of one attempt."""
        self._durations_ms.append(duration_ms)

    def hedge_after_ms(self) -> float:
        """Return the delay in ms after which a call is hedged."""
        durations = sorted(self._durations_ms)
        if len(durations) < MIN_LATENCIES:
            return FIRST_HEDGE_MS
        index = ceil(HEDGE_QUANTILE * len(durations)) - 1
        return max(MIN_HEDGE_MS, 2 * durations[index])


class RepeatBudget:
    """Limit repeated attempts to a ratio of the first attempts, plus a reserve."""

    def __init__(self, ratio: float, reserve: float = 10.0) -> None:
        self.ratio = ratio
        self._reserve = reserve
        self._n_tokens = reserve

    def earn(self) -> None:
        """Add the share of one first attempt to the budget, up to the reserve."""
        self._n_tokens = min(self._reserve, self._n_tokens + self.ratio)

    def spend(self) -> bool:
        """Deduct one repeated attempt; return False if the budget is spent."""
        if self._n_tokens < 1.0:
            return False
        self._n_tokens -= 1.0
        return True


@dataclass(frozen=True)
class AttemptStarted:
    """Report which upstream an attempt was sent to."""

    attempt: int
    upstream_id: str


@dataclass(frozen=True)
class AttemptRefused:
    """Report that no upstream accepted the attempt."""

    attempt: int
    code: str
    retry_after_ms: float


@dataclass(frozen=True)
class AttemptEnded:
    """Report the outcome of an attempt; None if its connection broke."""

    attempt: int
    outcome: Outcome | None


@dataclass(frozen=True)
class CallTimerFired:
    """Report that a hedge or a retry is due."""


@dataclass(frozen=True)
class CallDeadlinePassed:
    """Report that the caller's deadline has passed."""


@dataclass(frozen=True)
class StartAttempt:
    """Request an upstream, other than the excluded ones, and send the call to it."""

    attempt: int
    deadline_at_ms: float
    excluded_ids: tuple[str, ...]


@dataclass(frozen=True)
class SetCallTimer:
    """Set a timer that sends `CallTimerFired` at a time in ms."""

    at_ms: float


@dataclass(frozen=True)
class DeliverResult:
    """Deliver the result to the caller and cancel the other attempts."""

    result: OrderResult


CallMessage = (
    AttemptStarted | AttemptRefused | AttemptEnded | CallTimerFired | CallDeadlinePassed
)
CallAction = StartAttempt | SetCallTimer | DeliverResult


class RepeatableCall:
    """Run one idempotent call with retries and hedges until one succeeds in time."""

    def __init__(
        self, deadline_at_ms: float, hedge_after_ms: float, budget: RepeatBudget
    ) -> None:
        self.is_ended = False
        self._deadline_at_ms = deadline_at_ms
        self._hedge_after_ms = hedge_after_ms
        self._budget = budget
        self._n_attempts = 0
        self._n_running = 0
        self._was_sent = False
        self._tried_ids: tuple[str, ...] = ()
        self._failure = OrderResult(OrderStatus.IN_DOUBT, "no_upstream_answered")

    def start(self, now_ms: float) -> list[CallAction]:
        """Start the first attempt."""
        self._budget.earn()
        return self._start_attempt(now_ms)

    def handle(self, message: CallMessage, now_ms: float) -> list[CallAction]:
        """Process one message and return the resulting actions."""
        if self.is_ended:
            return []
        match message:
            case AttemptStarted(_, upstream_id):
                self._was_sent = True
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

    def _start_attempt(self, now_ms: float) -> list[CallAction]:
        self._n_attempts += 1
        self._n_running += 1
        start = StartAttempt(self._n_attempts, self._deadline_at_ms, self._tried_ids)
        return [start, SetCallTimer(now_ms + self._hedge_after_ms)]

    def _repeat(self, now_ms: float) -> list[CallAction]:
        if self._n_attempts >= MAX_ATTEMPTS or not self._budget.spend():
            return [] if self._n_running else self._deliver(self._failure)
        return self._start_attempt(now_ms)

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
        if not self._was_sent:
            result = OrderResult(OrderStatus.NOT_RUN, code, None, retry_after_ms)
            return self._deliver(result)
        # No untried upstream is left, so those that failed are tried again.
        self._tried_ids = ()
        return [SetCallTimer(now_ms + REFUSED_RETRY_MS)]

    def _deliver(self, result: OrderResult) -> list[CallAction]:
        self.is_ended = True
        return [DeliverResult(result)]
