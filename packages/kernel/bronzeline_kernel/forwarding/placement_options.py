"""Set how upstreams are compared."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["PlacementOptions"]


@dataclass(frozen=True)
class PlacementOptions:
    """Set the costs and limits of a placement.

    Costs of streams are shares of the time in which engines read a usual prompt,
    and those of calls are milliseconds of expected delay.
    """

    # A prompt delays the running streams by about the time it takes to read, and
    # a longer stream is more likely to lose its engine.
    stream_share: float = 0.16
    # A copy takes memory that running streams may need.
    copy_share: float = 0.0125
    # Streaming from another zone is billed, but adds no significant delay, so
    # another zone is used once a second prompt would queue in this zone.
    other_zone_share: float = 0.75
    failure_share: float = 0.25
    # Reading a prompt a second time costs more than using another zone.
    suspect_zone_share: float = 2.5
    call_ms: float = 15.0
    # A short call to another region takes about 25 ms longer, and is billed.
    other_zone_call_ms: float = 60.0
    call_failure_ms: float = 400.0
    suspect_zone_call_ms: float = 4_000.0
    # Bounds the sample of a choice; comparing this many upstreams takes 0.1 ms.
    max_own_zone: int = 32
    max_other_zones: int = 32
