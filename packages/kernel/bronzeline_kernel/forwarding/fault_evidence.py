"""Record failed attempts as evidence on the health of their upstreams."""

from __future__ import annotations

from bronzeline_kernel.forwarding.messages import Fault
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["record_fault"]


def record_fault(
    placement: Placement, upstream: ListedUpstream, fault: Fault, now_ms: float
) -> None:
    """Update the health of an upstream, and of its zone, after a failed attempt.

    A broken connection alone says little about the zone: the upstream is probed. One
    that left says nothing about it.
    """
    is_staying = placement.upstreams.is_staying(upstream)
    if is_staying and fault in {Fault.UNREACHABLE, Fault.SILENT}:
        placement.health.record_zone_loss(upstream.zone, now_ms)
    if fault is Fault.FULL:
        placement.health.record_full(upstream.incarnation, now_ms)
    elif fault is Fault.REPLACED:
        placement.health.record_replaced(upstream.incarnation, now_ms)
    else:
        placement.health.record_failure(upstream.incarnation, now_ms)
