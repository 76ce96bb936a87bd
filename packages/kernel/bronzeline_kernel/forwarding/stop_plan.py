"""Decide what a stopping router still takes, and when it ends."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.config import Route, WorkKind

__all__ = ["StopPlan"]

# The balancer asks once a second and takes a router out after two misses.
BALANCER_DELAY_MS = 2_600.0
# Of the grace period, what remains for the process to end by itself.
GRACE_SHARE = 0.975
# A short call is answered within this, with a slow upstream and a repeat.
MAX_CALL_MS = 1_300.0


@dataclass(frozen=True)
class StopPlan:
    """Hold when a router was told to stop, and how long it has."""

    began_at_ms: float
    grace_ms: float

    @property
    def ends_at_ms(self) -> float:
        """Return when the router ends whatever still runs."""
        return self.began_at_ms + GRACE_SHARE * self.grace_ms

    @property
    def idle_end_at_ms(self) -> float:
        """Return from when on a router that has no work may end."""
        return min(self.began_at_ms + BALANCER_DELAY_MS, self.ends_at_ms)

    def accepts(self, route: Route, now_ms: float) -> bool:
        """Say whether a request that arrives now should still run here.

        A stream that the balancer could have sent elsewhere would be cut at
        the end; another router can run it whole.
        """
        if route.kind is WorkKind.STREAM:
            return now_ms < self.idle_end_at_ms
        return now_ms + MAX_CALL_MS < self.ends_at_ms
