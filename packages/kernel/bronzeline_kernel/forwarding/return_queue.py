"""Tell callers of a service that is closed when to come back, one after the other."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.return_times import (
    return_after_outage_ms,
    useful_return_ms,
)
from bronzeline_kernel.forwarding.upstream_notices import MAX_REST_SPREAD_MS

__all__ = ["ALL_LEAVE", "ALL_REST", "Closure", "ReturnQueue"]

ALL_LEAVE = "all upstreams leave"
ALL_REST = "all upstreams rest"

# Callers are told to come back within this time after the first rest ends.
MAX_QUEUE_MS = 12_000.0
# Callers whose time hardly outlasts the first rest return within this share of what
# is left after its end, so that they don't come all at once.
SHORT_QUEUE_SHARE = 1 / 3


@dataclass(frozen=True)
class Closure:
    """Hold why a service takes no request now, and when a caller should come back."""

    reason: str
    return_ms: float


@dataclass
class ReturnQueue:
    """Hold which returns are due, and since when services have had no upstream."""

    _due_ms: dict[str, float] = field(default_factory=dict)
    _empty_since_ms: dict[str, float] = field(default_factory=dict)

    def is_empty(self, service: str) -> bool:
        """Return whether all upstreams of a service left, and none came since."""
        return service in self._empty_since_ms

    def open(self, service: str) -> None:
        """Record that a service takes requests."""
        self._due_ms.pop(service, None)
        self._empty_since_ms.pop(service, None)

    def after_leaving(self, service: str, left_ms: float, now_ms: float) -> Closure:
        """Return the closure of a service whose upstreams all leave.

        When others start is not known: expect it to last as long as it has lasted.
        """
        lasted_ms = now_ms - self._empty_since_ms.setdefault(service, now_ms)
        return Closure(ALL_LEAVE, return_after_outage_ms(lasted_ms, left_ms))

    def after_rests(
        self,
        service: str,
        ends_at_ms: Sequence[float],
        interval_ms: float,
        left_ms: float,
        now_ms: float,
    ) -> Closure:
        """Return the closure of a service whose upstreams rest until these times.

        One caller returns each interval for each upstream whose rest ends by about
        then, but none before the first end, also if its own time ends before. One
        whose time ends in the queue returns while enough of it is left.
        """
        first_ms = min(ends_at_ms)
        due_ms = max(first_ms, self._due_ms.get(service, 0.0))
        n_open = sum(end_ms <= due_ms + MAX_REST_SPREAD_MS for end_ms in ends_at_ms)
        next_due_ms = due_ms + interval_ms / n_open
        self._due_ms[service] = min(next_due_ms, first_ms + MAX_QUEUE_MS)
        queued_ms = _bounded_ms(due_ms - now_ms, first_ms - now_ms, left_ms)
        return Closure(ALL_REST, queued_ms)


def _bounded_ms(due_ms: float, wait_ms: float, left_ms: float) -> float:
    """Return when a caller is due, bounded so that it has time left to be served.

    `wait_ms` is the time until the first end. One whose time ends before keeps its
    place: at no time could it be served.
    """
    if left_ms <= wait_ms:
        return due_ms
    after_first_end_ms = wait_ms + SHORT_QUEUE_SHARE * (left_ms - wait_ms)
    return max(useful_return_ms(due_ms, left_ms), min(due_ms, after_first_end_ms))
