"""Count a stream's attempt as load on its upstream and on the holder of its copy."""

from __future__ import annotations

from bronzeline_kernel.forwarding.fault_evidence import record_fault
from bronzeline_kernel.forwarding.messages import Fault
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.stream_attempt import Attempt

__all__ = ["add_load", "record_stream_fault", "remove_load"]


def add_load(placement: Placement, attempt: Attempt) -> None:
    """Count an attempt that is sent."""
    placement.record_send(attempt.upstream, attempt.sent_at_ms)
    load = placement.load(attempt.upstream.upstream_id)
    load.n_prompts += 1
    load.n_streams += 1
    if attempt.copy_to is not None:
        placement.load(attempt.copy_to.upstream_id).n_copies += 1


def remove_load(placement: Placement, attempt: Attempt) -> None:
    """Stop counting an attempt that has ended."""
    load = placement.load(attempt.upstream.upstream_id)
    load.n_streams -= 1
    if not attempt.has_events:
        load.n_prompts -= 1
    if attempt.copy_to is not None:
        placement.load(attempt.copy_to.upstream_id).n_copies -= 1


def record_stream_fault(
    placement: Placement, attempt: Attempt, fault: Fault, now_ms: float
) -> None:
    """Update the health of an attempt's upstream and its zone."""
    if attempt.is_from_copy and fault is Fault.FULL:
        return
    record_fault(placement, attempt.upstream, fault, now_ms)
    if fault is Fault.BROKEN and placement.upstreams.is_staying(attempt.upstream):
        # The next attempt starts before the probe is answered.
        placement.health.suspect_zone(attempt.upstream.zone, now_ms)
