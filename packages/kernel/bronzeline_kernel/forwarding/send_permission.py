"""Decide which upstreams may be sent requests."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.upstream_limits import UpstreamLimits
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream, UpstreamSet

__all__ = ["SendPermission"]


@dataclass(frozen=True)
class SendPermission:
    """Combine the list, the limits and the notices of upstreams."""

    upstreams: UpstreamSet
    limits: UpstreamLimits

    def may_send(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether a request may be sent to an upstream now."""
        if not self.takes_requests(upstream, now_ms):
            return False
        return self.limits.may_send(upstream.incarnation, now_ms)

    def may_send_ahead(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether a stream may resume on an upstream now."""
        if not self.takes_requests(upstream, now_ms):
            return False
        return self.limits.may_send_ahead(upstream.incarnation, now_ms)

    def takes_requests(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether an upstream stays and wants requests now."""
        is_staying = self.upstreams.is_staying(upstream)
        return is_staying and self.may_call(upstream, now_ms)

    def may_call(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether a control request may be sent, also to a leaving upstream."""
        return not self.upstreams.notices.is_resting(upstream.incarnation, now_ms)

    def return_after_ms(self, service: str, now_ms: float) -> float | None:
        """Return when a caller should come back that no limit leaves room for.

        None means that limits are not the reason.
        """
        usable = self.upstreams.usable(service, now_ms)
        if any(self.may_send(item, now_ms) for item in usable):
            return None
        return self.limits.return_after_ms(service, usable, now_ms)
