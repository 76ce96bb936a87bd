"""Keep requests and copies of streams in their region while it has capacity.

Addresses the load of a region of three or more zones that lose engines one after the
other while demand moves between zones, with little bandwidth between regions.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol, TypeVar

from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["Distance", "RegionChange", "RegionExit", "RegionOptions", "Regions"]

# With fewer zones, all copies of a zone's streams would be in one other zone, and a
# second loss would remove them all together.
MIN_ZONES = 3
# A service whose requests have not been placed for this long no longer counts as
# leaving the region.
EXIT_RETENTION_MS = 10_000.0
# Other regions get one load report in so many: at most two per second, which is more
# often than a report expires. All of them would take half of the bandwidth.
OTHER_REGION_EVERY_N_REPORTS = 5


class HasZone(Protocol):
    """Represent a VM of a known availability zone."""

    @property
    def availability_zone(self) -> str:
        """Return the availability zone."""


_Placed = TypeVar("_Placed", bound=HasZone)
_CostFunction = Callable[[ListedUpstream], float]


class Distance(Enum):
    """Classify the path from this router to an upstream."""

    SAME_ZONE = "zone"
    SAME_REGION = "region"
    OTHER_REGION = "other_region"


class RegionExit(Enum):
    """Name the cause for which a request is sent to another region."""

    WAIT = "wait"
    NO_UPSTREAM = "no_upstream"


@dataclass(frozen=True)
class RegionChange:
    """Report that requests of a service begin or cease to leave the region."""

    service: str
    target_ms: float
    is_leaving: bool
    wait_ms: float
    wait_elsewhere_ms: float


@dataclass(frozen=True)
class RegionOptions:
    """Set when requests leave their region, in shares of the route's target."""

    # The rest of the target is left for reading the prompt and for the path. With 0.4,
    # two to three times as many requests leave, and no more are in time.
    leave_share: float = 0.6
    # Lower than `leave_share`, so that one request more or less doesn't change it.
    return_share: float = 0.4
    # A request takes two one-way latencies of 20 ms, and its bytes share 30 Mbit/s
    # with all other traffic between two regions.
    path_ms: float = 60.0
    # Resumes after a loss are spread over upstreams whose cost is higher by this share
    # of a usual prompt at most: another zone of the region, or one more stream.
    resume_spread_share: float = 1.0


@dataclass
class Regions:
    """Decide whether a request or a copy may be placed in another region."""

    own_zone: str
    region_by_zone: Mapping[str, str] = field(default_factory=dict)
    options: RegionOptions = field(default_factory=RegionOptions)
    on_change: Callable[[RegionChange], None] = lambda change: None
    _n_reports: int = 0
    _left_at_ms: dict[tuple[str, float], float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._n_zones = Counter(self.region_by_zone.values())

    def __len__(self) -> int:
        """Return the number of services and targets whose requests leave the region."""
        return len(self._left_at_ms)

    @property
    def is_active(self) -> bool:
        """Return whether the router's own region is known and large enough."""
        return self._is_large(self.own_zone)

    def distance(self, zone: str) -> Distance:
        """Return the distance of a zone; one that is not listed is in this region."""
        if zone == self.own_zone:
            return Distance.SAME_ZONE
        if self._is_other_region(self.own_zone, zone):
            return Distance.OTHER_REGION
        return Distance.SAME_REGION

    def resume_spread_ms(self, prompt_ms: float) -> float:
        """Return by how much the cost of a resume may exceed the lowest cost."""
        return self.options.resume_spread_share * prompt_ms if self.is_active else 0.0

    def select(
        self,
        service: str,
        upstreams: Sequence[ListedUpstream],
        cost_ms: _CostFunction,
        target_ms: float,
        now_ms: float,
    ) -> tuple[Sequence[ListedUpstream], RegionExit | None]:
        """Return the upstreams of the region that gets a request, and why it leaves."""
        if not self.is_active:
            return upstreams, None
        home: list[ListedUpstream] = []
        elsewhere: list[ListedUpstream] = []
        for item in upstreams:
            is_other = self._is_other_region(self.own_zone, item.availability_zone)
            (elsewhere if is_other else home).append(item)
        if not elsewhere:
            return home, None
        if not home:
            return elsewhere, RegionExit.NO_UPSTREAM
        wait_ms = min(map(cost_ms, home))
        wait_elsewhere_ms = min(map(cost_ms, elsewhere))
        change = (wait_ms, wait_elsewhere_ms)
        if not self._may_leave(service, target_ms, change, now_ms):
            return home, None
        if wait_elsewhere_ms + self.options.path_ms >= wait_ms:
            return home, None
        return elsewhere, RegionExit.WAIT

    def holders(
        self,
        primary: ListedUpstream,
        upstreams: Sequence[ListedUpstream],
        is_suspect: Callable[[ListedUpstream], bool],
    ) -> list[ListedUpstream] | None:
        """Return the possible holders of a copy in the stream's region.

        Those in another zone that is not suspect are preferred; the zone of the stream
        is used if the region has no other. The result is None if the stream's region
        doesn't restrict the choice.
        """
        zone = primary.availability_zone
        if not self.is_active or not self._is_large(zone):
            return None
        in_region = [
            item
            for item in upstreams
            if not self._is_other_region(zone, item.availability_zone)
        ]
        in_other_zones = [x for x in in_region if x.availability_zone != zone]
        trusted = [item for item in in_other_zones if not is_suspect(item)]
        return trusted or in_other_zones or in_region

    def load_report_peers(self, peers: Sequence[_Placed]) -> Sequence[_Placed]:
        """Return the peers of other zones that get the next load report."""
        self._n_reports += 1
        if self._n_reports % OTHER_REGION_EVERY_N_REPORTS == 0:
            return peers
        return self.peers_in_region(peers)

    def peers_in_region(self, peers: Sequence[_Placed]) -> Sequence[_Placed]:
        """Return the peers of this region; all of them where regions don't matter."""
        if not self.is_active:
            return peers
        own = self.own_zone
        return [x for x in peers if not self._is_other_region(own, x.availability_zone)]

    def prune(self, now_ms: float) -> None:
        """Forget services whose requests have not been placed for some time."""
        for key, at_ms in list(self._left_at_ms.items()):
            if now_ms - at_ms >= EXIT_RETENTION_MS:
                del self._left_at_ms[key]
                self.on_change(RegionChange(*key, False, 0.0, 0.0))

    def _may_leave(
        self,
        service: str,
        target_ms: float,
        waits_ms: tuple[float, float],
        now_ms: float,
    ) -> bool:
        """Return whether the wait in the region is too long, with hysteresis."""
        key = service, target_ms
        was_leaving = key in self._left_at_ms
        options = self.options
        share = options.return_share if was_leaving else options.leave_share
        is_leaving = waits_ms[0] > share * target_ms
        if is_leaving:
            self._left_at_ms[key] = now_ms
        else:
            self._left_at_ms.pop(key, None)
        if is_leaving != was_leaving:
            self.on_change(RegionChange(service, target_ms, is_leaving, *waits_ms))
        return is_leaving

    def _is_large(self, zone: str) -> bool:
        region = self.region_by_zone.get(zone)
        return region is not None and self._n_zones[region] >= MIN_ZONES

    def _is_other_region(self, zone: str, other: str) -> bool:
        regions = self.region_by_zone
        own = regions.get(zone)
        return own is not None and regions.get(other, own) != own
