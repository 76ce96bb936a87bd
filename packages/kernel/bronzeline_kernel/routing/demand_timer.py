"""Limit how often a router announces its waiting work to a group of peers."""

from __future__ import annotations

from bronzeline_kernel.routing.messages import DemandRow

__all__ = ["DemandBroadcastTimer"]

CLEAR_INTERVAL_MS = 100.0
REFRESH_INTERVAL_MS = 400.0


class DemandBroadcastTimer:
    """Decide when the demand of a router is announced to its peers.

    Demand beyond what the peers know is announced at the urgent interval. Other
    demand is refreshed less often, and its end is announced once.
    """

    def __init__(self, urgent_interval_ms: float) -> None:
        self._urgent_interval_ms = urgent_interval_ms
        self._sent_at_ms = float("-inf")
        self._n_announced = 0
        self._is_clear = True

    def record_slots(self, n_slots: int) -> None:
        """Record received slots, which their sender subtracts from the known demand."""
        self._n_announced = max(0, self._n_announced - n_slots)

    def is_due(self, rows: tuple[DemandRow, ...], now_ms: float) -> bool:
        """Return whether an announcement is due."""
        if not rows and self._is_clear:
            return False
        n_waiting = sum(row.n_waiting for row in rows)
        interval_ms = REFRESH_INTERVAL_MS
        if n_waiting > self._n_announced:
            interval_ms = self._urgent_interval_ms
        elif not rows:
            interval_ms = CLEAR_INTERVAL_MS
        return now_ms - self._sent_at_ms >= interval_ms

    def record_sent(self, rows: tuple[DemandRow, ...], now_ms: float) -> None:
        """Record an announcement that was sent."""
        self._sent_at_ms = now_ms
        self._n_announced = sum(row.n_waiting for row in rows)
        self._is_clear = not rows
