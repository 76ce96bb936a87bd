"""Decide how long an upstream of a stream may be silent."""

from __future__ import annotations

from bronzeline_kernel.forwarding.health import UpstreamHealth
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_options import StreamOptions

__all__ = ["has_responded", "is_probe_due", "probe_interval_ms", "silence_limit_ms"]


def silence_limit_ms(
    attempt: Attempt,
    health: UpstreamHealth,
    options: StreamOptions,
    now_ms: float,
    *,
    has_copy: bool,
) -> float:
    """Return after which silence a stream leaves its upstream."""
    limits = attempt.limits
    if attempt.has_events:
        if has_copy:
            return limits.silence_limit_ms
        return limits.silence_limit_without_copy_ms
    if attempt.is_from_copy:
        return limits.copy_first_event_ms
    alive_at_ms = health.last_alive_at_ms(attempt.upstream.incarnation)
    if now_ms - alive_at_ms < options.recently_alive_ms:
        return limits.first_event_busy_ms
    return limits.first_event_ms


def has_responded(attempt: Attempt, health: UpstreamHealth) -> bool:
    """Return whether an upstream has responded to others since it has been silent.

    It then runs and can be reached, however long it is silent.
    """
    silent_from_ms = attempt.progress_at_ms + attempt.limits.probe_after_ms
    return health.last_alive_at_ms(attempt.upstream.incarnation) >= silent_from_ms


def probe_interval_ms(attempt: Attempt, options: StreamOptions) -> float:
    """Return how often a silent upstream is probed."""
    if attempt.has_events or attempt.is_from_copy:
        return options.probe_interval_ms
    return options.prompt_probe_interval_ms


def is_probe_due(attempt: Attempt, options: StreamOptions, now_ms: float) -> bool:
    """Return whether to probe a silent upstream now, and record that it is probed."""
    if now_ms - attempt.probed_at_ms < probe_interval_ms(attempt, options):
        return False
    attempt.probed_at_ms = now_ms
    return True
