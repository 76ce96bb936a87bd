"""Measure how long a caller waits for events."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EventTimes"]


@dataclass
class EventTimes:
    """Hold the time to a request's first event, and the longest gap after it."""

    started_at_ms: float
    first_event_ms: float = 0.0
    longest_gap_ms: float = 0.0
    _event_at_ms: float = 0.0

    def record(self, now_ms: float) -> None:
        """Record an event sent to the caller."""
        if self._event_at_ms:
            gap_ms = now_ms - self._event_at_ms
            self.longest_gap_ms = max(self.longest_gap_ms, gap_ms)
        else:
            self.first_event_ms = now_ms - self.started_at_ms
        self._event_at_ms = now_ms

    def silent_ms(self, now_ms: float) -> int:
        """Return the time since the last event, or since the request."""
        return round(now_ms - (self._event_at_ms or self.started_at_ms))
