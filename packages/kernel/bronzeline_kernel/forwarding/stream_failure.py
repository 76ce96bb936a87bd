"""Decide which error the caller of a stream gets, and when to come back."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import Fail, Failure
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["StreamFailure"]


@dataclass(frozen=True)
class StreamFailure:
    """Describe the end of a stream that is not served whole.

    `may_have_run` tells whether an attempt may have run, or the caller has events.
    """

    service: str
    placement: Placement
    options: StreamOptions
    deadline_ms: float
    may_have_run: bool

    def not_served(
        self, reason: str, tried: Collection[Incarnation], now_ms: float
    ) -> Fail:
        """End a stream that no upstream takes now; another time one may."""
        if self.may_have_run:
            return Fail(Failure.UNKNOWN_OUTCOME, reason)
        interval_ms = self.placement.pace(self.service).usual_prompt_ms
        closure = self.placement.permission.find_closure(
            self.service, tried, self.deadline_ms, interval_ms, now_ms
        )
        if closure is None:
            return Fail(Failure.NOT_RUN, reason, self.options.retry_after_ms)
        return Fail(Failure.NOT_RUN, closure.reason, closure.return_ms)

    def lost(self, reason: str) -> Fail:
        """End a stream that can't go on; it is no use to come back."""
        failure = Failure.UNKNOWN_OUTCOME if self.may_have_run else Failure.NOT_RUN
        return Fail(failure, reason)

    def unproven(self, binding: StreamBinding) -> Fail:
        """End a stream that no upstream is certain to continue."""
        if binding.has_moved:
            return self.lost("its service has left the route")
        return self.lost("software version unknown")

    def blocked(self, *, is_sent: bool) -> Fail:
        """End a request that was blocked meanwhile; it may crash another engine."""
        failure = Failure.UNKNOWN_OUTCOME if is_sent else Failure.NOT_RUN
        return Fail(failure, "quarantined")

    def too_late(self, reason: str, now_ms: float) -> Fail:
        """Refuse the request; before its deadline a retry would have less time."""
        return Fail(Failure.NOT_RUN, reason, max(0.0, self.deadline_ms - now_ms))
