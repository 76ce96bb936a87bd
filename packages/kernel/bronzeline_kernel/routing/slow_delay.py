"""Delay the use of slow upstreams."""

from __future__ import annotations

from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.health import SLOW_RATIO

__all__ = ["slow_delay_ms"]

SLOW_DELAY_MS = 150.0
MAX_SLOW_DELAY_RATIO = 0.6


def slow_delay_ms(state: DispatchState, upstream_id: str, *, may_probe: bool) -> float:
    """Return the delay in ms after which waiting work may use a slow upstream.

    Returns 0 for an upstream that is not slow or is due for a probe.
    """
    ratio = state.health.ratio(upstream_id, state.now_ms)
    if ratio < SLOW_RATIO or may_probe:
        return 0.0
    max_delay_ms = MAX_SLOW_DELAY_RATIO * state.options.first_token_target_ms
    return min(max_delay_ms, (ratio - 1.0) * SLOW_DELAY_MS)
