"""Judge a stream's silence against the gaps that it showed before."""

from __future__ import annotations

__all__ = ["SilenceJudge"]

GAIN = 0.125
DEVIATION_GAIN = 0.25
N_DEVIATIONS = 6.0
MIN_PROBE_AFTER_MS = 400.0
BEHIND_MS = 150.0
PROBE_SHARE = 0.5


class SilenceJudge:
    """Say after how long a silence to probe and to move.

    The expected gap is a moving mean with its mean deviation. Before the
    first token of an attempt no gap is known, and the limit is given.
    """

    def __init__(self, stall_timeout_ms: float, first_token_timeout_ms: float) -> None:
        self._stall_timeout_ms = stall_timeout_ms
        self._first_token_timeout_ms = first_token_timeout_ms
        self._last_ms = 0.0
        self._mean_ms: float | None = None
        self._deviation_ms = 0.0
        self._has_token = False

    def restart(self, now_ms: float, *, is_streaming: bool = False) -> None:
        """Begin an attempt, or follow one that has tokens already."""
        self._last_ms = now_ms
        self._has_token = is_streaming

    def on_token(self, now_ms: float) -> None:
        """Take in the time of a token."""
        gap_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if not self._has_token:
            self._has_token = True
            return
        if self._mean_ms is None:
            self._mean_ms = gap_ms
            self._deviation_ms = gap_ms / 2.0
            return
        error_ms = gap_ms - self._mean_ms
        self._mean_ms += GAIN * error_ms
        self._deviation_ms += DEVIATION_GAIN * (abs(error_ms) - self._deviation_ms)

    def probe_at_ms(self, engine_active_at_ms: float = 0.0) -> float:
        """Return when to probe if nothing comes before.

        A stream that falls behind others on the same engine is probed sooner:
        the connection may be lost while the engine goes on.
        """
        if not self._has_token:
            return self._last_ms + self._first_token_timeout_ms * PROBE_SHARE
        expected_ms = (self._mean_ms or 0.0) + N_DEVIATIONS * self._deviation_ms
        latest_ms = self._stall_timeout_ms * PROBE_SHARE
        behind_at_ms = self._last_ms + min(latest_ms, max(BEHIND_MS, expected_ms))
        if engine_active_at_ms > behind_at_ms:
            return behind_at_ms
        return self._last_ms + min(latest_ms, max(MIN_PROBE_AFTER_MS, expected_ms))

    def move_at_ms(self) -> float:
        """Return when to go to another engine if nothing comes before."""
        limit_ms = self._stall_timeout_ms
        if not self._has_token:
            limit_ms = self._first_token_timeout_ms
        return self._last_ms + limit_ms
