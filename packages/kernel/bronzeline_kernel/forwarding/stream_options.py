"""Set when a stream probes, abandons and copies its upstream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["TRIAL_OPTIONS", "StreamOptions"]


@dataclass(frozen=True)
class StreamOptions:
    """Set the intervals and bounds of a stream that do not depend on engines.

    Its time limits follow from `stream_limits`.
    """

    # A probe is a connection attempt and costs almost nothing.
    probe_interval_ms: float = 250.0
    # Probes before the first event are less urgent: the caller sees no gap yet.
    prompt_probe_interval_ms: float = 600.0
    # An upstream that responded or accepted a connection within this time is alive.
    recently_alive_ms: float = 1_500.0
    # Prompts that take this many times as long as usual make an upstream slow.
    slow_prompt_ratio: float = 2.0
    # The source frees a copy made on request after 4 s; refresh it well before.
    copy_refresh_ms: float = 2_500.0
    copy_retry_ms: float = 500.0
    # A request with less than this share of its route's time-out left was sent
    # before: callers start with 0.85 of it or more.
    resent_time_share: float = 0.75
    # Peers answer within 30 ms, engines list their cached prompts within 90 ms;
    # dead ones never do.
    search_timeout_ms: float = 150.0
    # Without a proof of its version a stream ends. Engines under load answered after
    # 209 to 325 ms, and calls to them end after 1,000 ms. Where no peer answers, a
    # newer list of upstreams comes within this time: the store is read twice a second.
    proof_timeout_ms: float = 1_500.0
    # After all upstreams rejected a request, slots become free within this time.
    retry_after_ms: float = 500.0
    # After three upstreams crashed in a row while running a stream, it either crashes
    # engines or was unlucky; retrying is not worth the risk to another engine.
    max_crashes: int = 3
    # A request that was quarantined may crash one engine at most, so it waits for the
    # probe of each upstream that it lost.
    is_trial: bool = False
    # An engine that goes on for this long after the first event has answered the
    # prompt: one that the prompt ends dies at once.
    answered_after_ms: float = 300.0
    # Keeps one request from trying every upstream of a large fleet.
    max_rejections: int = 4


TRIAL_OPTIONS = StreamOptions(max_crashes=1, is_trial=True)
