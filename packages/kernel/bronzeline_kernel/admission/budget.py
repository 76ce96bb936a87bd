"""Limit retries and billed bytes."""

from __future__ import annotations

__all__ = ["ByteBudget", "RetryBudget"]


class RetryBudget:
    """Limit retries to a share of first-time work plus a reserve."""

    def __init__(self, ratio: float, n_reserve: float) -> None:
        self.ratio = ratio
        self._n_reserve = n_reserve
        self._n_left = n_reserve

    @property
    def n_left(self) -> float:
        """Return how many retries may start now."""
        return self._n_left

    @property
    def has_any(self) -> bool:
        """Return whether a retry may start now."""
        return self._n_left >= 1.0

    def resize(self, n_reserve: float) -> None:
        """Replace the reserve and cap the remaining budget at it."""
        self._n_reserve = n_reserve
        self._n_left = min(self._n_left, n_reserve)

    def earn(self) -> None:
        """Add the share of one first-time grant to the budget."""
        self._n_left = min(self._n_reserve, self._n_left + self.ratio)

    def spend(self) -> bool:
        """Spend one retry; return False if the budget has none left."""
        if not self.has_any:
            return False
        self._n_left -= 1.0
        return True


class ByteBudget:
    """Limit billed bytes to a rate, with a burst of some seconds of that rate."""

    def __init__(self, max_bytes_per_s: float, burst_s: float = 5.0) -> None:
        self._max_bytes_per_s = max_bytes_per_s
        self._burst_bytes = max_bytes_per_s * burst_s
        self._n_left = self._burst_bytes
        self._filled_at_ms: float | None = None
        self.n_bytes_spent = 0.0

    def set_rate(self, max_bytes_per_s: float, burst_s: float = 5.0) -> None:
        """Replace the rate and the burst."""
        self._max_bytes_per_s = max_bytes_per_s
        self._burst_bytes = max_bytes_per_s * burst_s

    def has_any(self, now_ms: float) -> bool:
        """Refill the budget and return whether billed bytes may be sent now."""
        if self._filled_at_ms is not None:
            elapsed_s = max(0.0, now_ms - self._filled_at_ms) / 1000.0
            filled = self._n_left + elapsed_s * self._max_bytes_per_s
            self._n_left = min(self._burst_bytes, filled)
        self._filled_at_ms = now_ms
        return self._n_left > 0.0

    def spend(self, n_bytes: float) -> None:
        """Spend billed bytes; the budget may become negative until it refills."""
        self._n_left -= n_bytes
        self.n_bytes_spent += n_bytes
