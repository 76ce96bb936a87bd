"""Describe a router's view of its upstreams for operators."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.health import SLOW_RATIO

__all__ = ["UpstreamView", "describe_upstreams"]


@dataclass(frozen=True)
class UpstreamView:
    """Describe this router's view of one upstream."""

    upstream_id: str
    n_running: int
    n_slots_held: int
    slow_ratio: float
    is_leaving: bool
    is_down: bool
    reason: str


def describe_upstreams(state: DispatchState) -> list[UpstreamView]:
    """Describe each upstream and why it gets more or less work."""
    return [_view(state, item) for item in state.upstreams.all()]


def _view(state: DispatchState, upstream: Upstream) -> UpstreamView:
    upstream_id = upstream.upstream_id
    now_ms = state.now_ms
    ratio = state.health.ratio(upstream_id, now_ms)
    is_down = state.health.is_down(upstream_id, now_ms)
    is_leaving = state.upstreams.is_leaving(upstream_id)
    ledger = state.ledger
    return UpstreamView(
        upstream_id,
        ledger.n_used(upstream_id),
        ledger.n_held(upstream_id),
        round(ratio, 2),
        is_leaving,
        is_down,
        _reason(is_leaving, is_down, ratio),
    )


def _reason(is_leaving: bool, is_down: bool, ratio: float) -> str:
    if is_leaving:
        return "leaving: gets no new work"
    if is_down:
        return "failed of late: left alone until it answers"
    if ratio >= SLOW_RATIO:
        return f"{ratio:.1f} times slower than its peers: passed over while others can"
    return "gets its share"
