"""Bound rates with token buckets."""

from __future__ import annotations

__all__ = ["TokenBucket"]

MS_PER_S = 1_000.0


class TokenBucket:
    """Let so many calls through a second, with a burst."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._n_tokens = burst
        self._filled_at_ms = 0.0

    def set_rate(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Go on at another rate with the tokens at hand."""
        self._fill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._n_tokens = min(self._n_tokens, burst)

    def fill_ratio(self, now_ms: float) -> float:
        """Return which share of the burst is at hand."""
        self._fill(now_ms)
        return self._n_tokens / self.burst

    def reserve(self, now_ms: float, max_wait_ms: float) -> float | None:
        """Take a token and return the wait for it, or None if that is too long."""
        self._fill(now_ms)
        wait_ms = max(0.0, (1.0 - self._n_tokens) / self.rate_per_s * MS_PER_S)
        if wait_ms > max_wait_ms:
            return None
        self._n_tokens -= 1.0
        return wait_ms

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_at_ms)
        self._filled_at_ms = max(now_ms, self._filled_at_ms)
        gained = elapsed_ms / MS_PER_S * self.rate_per_s
        self._n_tokens = min(self.burst, self._n_tokens + gained)
