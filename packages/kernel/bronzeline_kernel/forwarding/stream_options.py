"""Set when a stream probes, abandons and copies its upstream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamOptions"]


@dataclass(frozen=True)
class StreamOptions:
    """Set the time limits and bounds of a stream.

    Silence is the time since the last event of the current attempt.
    """

    # Events arrive every 30 to 60 ms; each chunk of another prompt delays them
    # by 25 ms. A probe is a connection attempt and costs almost nothing.
    probe_after_ms: float = 220.0
    probe_interval_ms: float = 250.0
    # A stream resumes from its copy within 140 ms, and a gap may last 700 ms.
    silence_limit_ms: float = 520.0
    # Without a copy the prompt is read again, which exceeds that gap anyway.
    silence_limit_without_copy_ms: float = 2_500.0
    # A resume from a copy that has sent no event by then has failed.
    copy_first_event_ms: float = 400.0
    # Silence before the first event is normal: the prompt is read after others.
    # An upstream that responded or accepted a connection within this time is busy,
    # not dead, and reading the prompt a second time costs more than the stream.
    recently_alive_ms: float = 1_500.0
    # From an upstream that did neither, the stream moves while another upstream can
    # still send the first event within the latency target of 4,500 ms.
    first_event_ms: float = 3_000.0
    first_event_busy_ms: float = 9_000.0
    # Engines read 5 tokens per millisecond, and take 1.2 to 2.3 times as long
    # between the decoding steps of running streams.
    prompt_tokens_per_ms: float = 5.0
    usual_prompt_factor: float = 1.8
    # Probes before the first event are less urgent: the caller sees no gap yet.
    prompt_probe_interval_ms: float = 600.0
    # The source frees a copy made on request after 4 s; refresh it well before.
    copy_refresh_ms: float = 2_500.0
    copy_retry_ms: float = 500.0
    # A request with less than this share of its route's time-out left was sent
    # before: callers start with 0.85 of it or more.
    resent_time_share: float = 0.75
    # Peers answer within 30 ms, engines list their cached prompts within 90 ms;
    # dead ones never do.
    search_timeout_ms: float = 150.0
    # After all upstreams rejected a request, slots become free within this time.
    retry_after_ms: float = 500.0
    # After three upstreams died in a row while running a stream, it either crashes
    # engines or was unlucky; retrying is not worth the risk to another engine.
    max_deaths: int = 3
    # Keeps one request from trying every upstream of a large fleet.
    max_rejections: int = 4
