"""Decide which upstreams may be sent requests."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass

from bronzeline_kernel.forwarding.return_queue import Closure, ReturnQueue
from bronzeline_kernel.forwarding.return_times import LIMITED, useful_return_ms
from bronzeline_kernel.forwarding.upstream_limits import UpstreamLimits
from bronzeline_kernel.forwarding.upstream_set import (
    Incarnation,
    ListedUpstream,
    UpstreamSet,
)

__all__ = ["SendPermission"]

# A request that only resting upstreams turned away is told when a rest ends if at least
# this share of the upstreams rests: what is not known yet mostly rests too.
MIN_RESTING_SHARE = 0.5


@dataclass(frozen=True)
class SendPermission:
    """Combine the list, the limits and the notices of upstreams."""

    upstreams: UpstreamSet
    limits: UpstreamLimits
    returns: ReturnQueue

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

    def find_closure(
        self,
        service: str,
        tried: Collection[Incarnation],
        deadline_ms: float,
        interval_ms: float,
        now_ms: float,
    ) -> Closure | None:
        """Return why a service takes no request, None if enough of its upstreams do.

        `tried` are the upstreams that turned the request away.
        `interval_ms` is how long one request usually keeps an upstream from the next.
        """
        usable = self.upstreams.usable(service, now_ms)
        left_ms = deadline_ms - now_ms
        has_open = any(self._is_open(item, now_ms) for item in usable)
        if has_open and not self._is_mostly_resting(usable, tried, now_ms):
            self.returns.open(service)
            return None
        if not usable:
            return self._closure_without_upstream(service, left_ms, now_ms)
        closures = self._closures(service, usable, interval_ms, left_ms, now_ms)
        return min(closures, key=lambda item: item.return_ms, default=None)

    def _is_mostly_resting(
        self,
        usable: Sequence[ListedUpstream],
        tried: Collection[Incarnation],
        now_ms: float,
    ) -> bool:
        resting = {x.incarnation for x in usable if self._is_closed(x, now_ms)}
        has_share = len(resting) >= MIN_RESTING_SHARE * len(usable)
        return has_share and resting.issuperset(tried)

    def _is_open(self, upstream: ListedUpstream, now_ms: float) -> bool:
        return self.may_send(upstream, now_ms) and not self._is_closed(upstream, now_ms)

    def _is_closed(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether an upstream turned away this router or a peer."""
        return now_ms < self.upstreams.notices.closed_until_ms(upstream.incarnation)

    def _closure_without_upstream(
        self, service: str, left_ms: float, now_ms: float
    ) -> Closure | None:
        if not self.upstreams.has_any(service) and not self.returns.is_empty(service):
            return None
        return self.returns.after_leaving(service, left_ms, now_ms)

    def _closures(
        self,
        service: str,
        usable: Sequence[ListedUpstream],
        interval_ms: float,
        left_ms: float,
        now_ms: float,
    ) -> list[Closure]:
        notices = self.upstreams.notices
        # A caller may come back to any router.
        ends_at_ms = [
            notices.open_everywhere_at_ms(item.incarnation)
            for item in usable
            if self._is_closed(item, now_ms)
        ]
        limited = [item for item in usable if not self._is_closed(item, now_ms)]
        closures = []
        limit_ms = self.limits.return_after_ms(service, limited, now_ms)
        if limit_ms is not None:
            closures.append(Closure(LIMITED, useful_return_ms(limit_ms, left_ms)))
        if ends_at_ms:
            interval_of_all_ms = self.limits.n_routers * interval_ms
            closures.append(
                self.returns.after_rests(
                    service, ends_at_ms, interval_of_all_ms, left_ms, now_ms
                )
            )
        return closures
