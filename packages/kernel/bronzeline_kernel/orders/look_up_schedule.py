"""Schedule the look-ups that ask a service whether an order ran."""

from __future__ import annotations

from bronzeline_kernel.orders.claim import Outcome
from bronzeline_kernel.orders.messages import Action, LookUp, SetTimer, Timer

__all__ = ["LookUpSchedule"]

FIRST_INTERVAL_MS = 500.0
MAX_INTERVAL_MS = 8_000.0


class LookUpSchedule:
    """Run one look-up at a time, with exponential backoff, until one finds a result."""

    def __init__(self, has_look_up: bool) -> None:
        self.found: Outcome | None = None
        self.has_look_up = has_look_up
        self._is_running = False
        self._interval_ms = FIRST_INTERVAL_MS

    def begin(self) -> list[Action]:
        """Start a look-up, unless one is running or the service has none."""
        if self._is_running or not self.has_look_up:
            return []
        self._is_running = True
        return [LookUp()]

    def end(self, outcome: Outcome | None, now_ms: float) -> list[Action]:
        """Record the result of a look-up; schedule the next if nothing was found."""
        self._is_running = False
        self.found = outcome or self.found
        if outcome is not None:
            return []
        at_ms = now_ms + self._interval_ms
        self._interval_ms = min(2 * self._interval_ms, MAX_INTERVAL_MS)
        return [SetTimer(Timer.LOOK_UP, at_ms)]
