"""Set when a stream asks, leaves and copies its upstream."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StreamOptions"]


@dataclass(frozen=True)
class StreamOptions:
    """Set when a silent upstream is asked, and when it is left."""

    # Events come every 30 to 60 ms; chunks of other prompts hold them back
    # by 25 ms each. A connection attempt costs next to nothing.
    probe_after_ms: float = 220.0
    probe_interval_ms: float = 250.0
    # A copy goes on within 140 ms, and a gap may last 700 ms.
    silence_limit_ms: float = 520.0
    # Without a copy the prompt is read anew, which breaks the gap anyway.
    silence_limit_without_copy_ms: float = 2_500.0
    # A copy that gives nothing by then is not going to.
    copy_first_event_ms: float = 400.0
    # Before the first event silence is normal: the prompt is read, behind
    # others. An upstream that gave a sign of life within this time is busy,
    # not dead, and reading the prompt twice costs more than the stream.
    sign_of_life_ms: float = 1_500.0
    # Without such a sign the stream is moved while another upstream could
    # still give the first event within the objective of 4,500 ms.
    first_event_ms: float = 3_000.0
    first_event_busy_ms: float = 9_000.0
    # Engines read 5 tokens in a millisecond, and take 1.2 to 2.3 times as long
    # between the steps of running streams.
    prompt_tokens_per_ms: float = 5.0
    usual_prompt_factor: float = 1.8
    # A connection attempt before the first event can wait: no gap is open.
    prompt_probe_interval_ms: float = 600.0
    # A copy made on request is freed by its source after 4 s, well exceeded.
    copy_refresh_ms: float = 2_500.0
    copy_retry_ms: float = 500.0
    # A request that came back has less time left than this share of its
    # route's time: callers begin with 0.85 of it or more.
    resent_time_share: float = 0.75
    # Peers answer within 30 ms, engines list what they keep within 90; a dead
    # one never does.
    search_timeout_ms: float = 150.0
    # All upstreams turned the request away: they free slots within this.
    retry_after_ms: float = 500.0
    # After three upstreams died under a stream in a row it is a killer or out
    # of luck; either way another prompt is not worth another engine.
    max_deaths: int = 3
    # One request may not knock at every door of a large fleet.
    max_rejections: int = 4
