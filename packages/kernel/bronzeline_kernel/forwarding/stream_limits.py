"""Derive a stream's time limits from its route's targets and the engines' pace."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.engine_pace import EnginePace

__all__ = ["StreamLimits", "stream_limits"]

# Shares of the longest gap that the route allows.
PROBE_SHARE = 0.31
MAX_PROBE_SHARE = 0.6
# Leaves time to resume from a copy.
SILENCE_SHARE = 0.74
RESUME_SHARE = 0.57
WITHOUT_COPY_SHARE = 3.5
# Shares of the time in which the first event is wanted.
FIRST_EVENT_SHARE = 2 / 3
FIRST_EVENT_BUSY_SHARE = 2.0
# How many times as long as usual a prompt may take, on an upstream of which nothing
# was heard and on one that is alive.
SLOW_PROMPT_RATIO = 1.8
SLOW_PROMPT_BUSY_RATIO = 4.0
# How many times as long as the longest usual gap an upstream must be silent before
# the stream leaves it.
SILENT_RATIO = 1.5
# How many times as long as usual a resume may take.
RESUME_RATIO = 2.2


@dataclass(frozen=True)
class StreamLimits:
    """Set after which silence a stream probes or leaves its upstream."""

    probe_after_ms: float
    # With a copy to resume from, the gap stays within what the route allows.
    silence_limit_ms: float
    # Without a copy the prompt is read again, which exceeds that gap anyway.
    silence_limit_without_copy_ms: float
    # A resume from a copy that has sent no event by then has failed.
    copy_first_event_ms: float
    # Silence before the first event is normal: the prompt is read after others.
    # From an upstream that is not known to be alive, the stream moves while another
    # one can still send the first event in time.
    first_event_ms: float
    # An upstream that is alive is busy, and reading the prompt a second time costs
    # more than the stream.
    first_event_busy_ms: float


def stream_limits(route: Route, n_prompt_tokens: int, pace: EnginePace) -> StreamLimits:
    """Return the limits for a stream, wider where engines are slower than wanted."""
    gap_ms, first_ms = route.max_gap_ms, route.target_latency_ms
    usual_gap_ms = pace.longest_gap_ms()
    resume_ms = pace.longest_resume_ms()
    prompt_ms = pace.prompt_ms(n_prompt_tokens)
    probe_after_ms = max(PROBE_SHARE * gap_ms, usual_gap_ms)
    silence_limit_ms = max(SILENCE_SHARE * gap_ms, SILENT_RATIO * usual_gap_ms)
    return StreamLimits(
        probe_after_ms=min(probe_after_ms, MAX_PROBE_SHARE * silence_limit_ms),
        silence_limit_ms=silence_limit_ms,
        silence_limit_without_copy_ms=max(
            WITHOUT_COPY_SHARE * gap_ms, 2.0 * silence_limit_ms
        ),
        copy_first_event_ms=max(RESUME_SHARE * gap_ms, RESUME_RATIO * resume_ms),
        first_event_ms=max(FIRST_EVENT_SHARE * first_ms, SLOW_PROMPT_RATIO * prompt_ms),
        first_event_busy_ms=max(
            FIRST_EVENT_BUSY_SHARE * first_ms, SLOW_PROMPT_BUSY_RATIO * prompt_ms
        ),
    )
