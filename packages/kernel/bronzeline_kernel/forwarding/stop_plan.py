"""Decide which requests a stopping router still accepts, and when it exits."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.config import Route, WorkKind

__all__ = ["StopPlan"]

# The load balancer checks readiness once a second and removes a router after
# two failed checks.
BALANCER_DELAY_MS = 2_600.0
# Share of the grace period after which running requests are ended; the rest is
# left for the process to exit before it is killed.
GRACE_SHARE = 0.975
# Calls that still run are answered this long before the exit.
ANSWER_MARGIN_MS = 150.0


@dataclass(frozen=True)
class StopPlan:
    """Hold when a router was asked to stop, and its grace period."""

    began_at_ms: float
    grace_ms: float

    @property
    def ends_at_ms(self) -> float:
        """Return when the router ends the requests that still run."""
        return self.began_at_ms + GRACE_SHARE * self.grace_ms

    @property
    def answer_by_ms(self) -> float:
        """Return when the last calls are answered, whether they have ended or not."""
        return self.ends_at_ms - ANSWER_MARGIN_MS

    @property
    def idle_end_at_ms(self) -> float:
        """Return the earliest time at which an idle router may exit."""
        return min(self.began_at_ms + BALANCER_DELAY_MS, self.ends_at_ms)

    def accepts(self, route: Route, allowed_ms: float, now_ms: float) -> bool:
        """Return whether a request that arrives now should still run here.

        A call may take all of the time that it is allowed. Streams are refused once
        the load balancer has had time to remove this router: they would be cut off
        at its exit, while another router can complete them.
        """
        if route.kind is WorkKind.STREAM:
            return now_ms < self.idle_end_at_ms
        return now_ms + allowed_ms <= self.answer_by_ms
