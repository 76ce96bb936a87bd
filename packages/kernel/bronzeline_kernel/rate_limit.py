"""Limit rates with token buckets."""

from __future__ import annotations

__all__ = ["TokenBucket"]

MS_PER_S = 1_000.0


class TokenBucket:
    """Limit calls to a rate per second, with bursts."""

    def __init__(self, rate_per_s: float, burst: float) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._n_tokens = burst
        self._filled_at_ms = 0.0

    def set_rate(self, rate_per_s: float, burst: float, now_ms: float) -> None:
        """Change the rate and burst; keep the available tokens up to the new burst."""
        self._fill(now_ms)
        self.rate_per_s = rate_per_s
        self.burst = burst
        self._n_tokens = min(self._n_tokens, burst)

    def fill_ratio(self, now_ms: float) -> float:
        """Return the available tokens as a share of the burst."""
        self._fill(now_ms)
        return self._n_tokens / self.burst

    def reserve(self, now_ms: float, max_wait_ms: float) -> float | None:
        """Take a token and return the wait in ms, or None if that is too long."""
        self._fill(now_ms)
        wait_ms = max(0.0, (1.0 - self._n_tokens) / self.rate_per_s * MS_PER_S)
        if wait_ms > max_wait_ms:
            return None
        self._n_tokens -= 1.0
        return wait_ms

    def _fill(self, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - self._filled_at_ms)
        self._filled_at_ms = max(now_ms, self._filled_at_ms)
        n_added = elapsed_ms / MS_PER_S * self.rate_per_s
        self._n_tokens = min(self.burst, self._n_tokens + n_added)
