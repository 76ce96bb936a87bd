"""Measure how fast slots are released, to estimate the wait of tickets."""

from __future__ import annotations

from collections import deque

__all__ = ["ReleaseRate"]

WINDOW_MS = 2_000.0
MIN_SPAN_MS = 250.0


class ReleaseRate:
    """Measure this router's slot releases over a short window."""

    def __init__(self) -> None:
        self._released_at_ms: deque[float] = deque()
        self._started_at_ms: float | None = None

    def count(self, now_ms: float) -> None:
        """Count a released slot."""
        self._released_at_ms.append(now_ms)

    def per_s(self, now_ms: float) -> float:
        """Return the releases per second within the window."""
        if self._started_at_ms is None:
            self._started_at_ms = now_ms
        while self._released_at_ms and self._released_at_ms[0] < now_ms - WINDOW_MS:
            self._released_at_ms.popleft()
        span_ms = min(WINDOW_MS, max(MIN_SPAN_MS, now_ms - self._started_at_ms))
        return len(self._released_at_ms) * 1000.0 / span_ms
