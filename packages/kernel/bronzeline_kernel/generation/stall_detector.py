"""Detect stalled streams from the gaps between their earlier tokens."""

from __future__ import annotations

__all__ = ["StallDetector"]

MEAN_GAIN = 0.125
DEVIATION_GAIN = 0.25
N_DEVIATIONS = 6.0
MIN_PROBE_AFTER_MS = 400.0
MIN_LAG_MS = 150.0
PROBE_FRACTION = 0.5


class StallDetector:
    """Compute when a silent stream is probed and when it fails over.

    The expected gap is an exponentially weighted mean plus a multiple of the
    mean deviation. Before the first token of an attempt no gap is known, and the
    first-token timeout applies.
    """

    def __init__(self, stall_timeout_ms: float, first_token_timeout_ms: float) -> None:
        self._stall_timeout_ms = stall_timeout_ms
        self._first_token_timeout_ms = first_token_timeout_ms
        self._last_token_ms = 0.0
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0
        self._has_first_token = False

    def restart(self, now_ms: float, *, is_streaming: bool = False) -> None:
        """Start timing an attempt; `is_streaming` if it has already sent tokens."""
        self._last_token_ms = now_ms
        self._has_first_token = is_streaming

    def on_token(self, now_ms: float) -> None:
        """Update the expected gap with the arrival of a token."""
        gap_ms = now_ms - self._last_token_ms
        self._last_token_ms = now_ms
        if not self._has_first_token:
            self._has_first_token = True
            return
        if self._mean_ms is None:
            self._mean_ms = gap_ms
            self._deviation_ms = gap_ms / 2.0
            return
        error_ms = gap_ms - self._mean_ms
        self._mean_ms += MEAN_GAIN * error_ms
        self._deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self._deviation_ms)

    def probe_at_ms(self, engine_active_at_ms: float = 0.0) -> float:
        """Return when to probe the stream if no token arrives before then.

        A stream that lags behind others on the same engine is probed sooner,
        because its connection may be lost while the engine continues.
        """
        if not self._has_first_token:
            return self._last_token_ms + self._first_token_timeout_ms * PROBE_FRACTION
        expected_ms = (self._mean_ms or 0.0) + N_DEVIATIONS * self._deviation_ms
        latest_ms = self._stall_timeout_ms * PROBE_FRACTION
        lagging_at_ms = self._last_token_ms + min(
            latest_ms, max(MIN_LAG_MS, expected_ms)
        )
        if engine_active_at_ms > lagging_at_ms:
            return lagging_at_ms
        return self._last_token_ms + min(
            latest_ms, max(MIN_PROBE_AFTER_MS, expected_ms)
        )

    def failover_at_ms(self) -> float:
        """Return when to fail over to another engine unless a token arrives first."""
        limit_ms = self._stall_timeout_ms
        if not self._has_first_token:
            limit_ms = self._first_token_timeout_ms
        return self._last_token_ms + limit_ms
