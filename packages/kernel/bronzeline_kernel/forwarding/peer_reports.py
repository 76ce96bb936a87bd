"""Sum the load on upstreams that peers report."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["Load", "LoadByUpstream", "PeerLoads", "PeerReports"]

# Peers report each change in prompts; reading a prompt takes about this long.
MAX_REPORT_AGE_MS = 2_500.0
# A peer that had work when its reports stopped is assumed to have some for this long;
# streams end within their time-out.
MAX_SILENCE_MS = 25_000.0


@dataclass
class Load:
    """Count the work on one upstream by kind."""

    n_prompts: int = 0
    n_streams: int = 0
    n_copies: int = 0
    n_calls: int = 0


@dataclass(frozen=True)
class LoadByUpstream:
    """Count a router's work by upstream id; idle upstreams are left out."""

    prompts: Mapping[str, int] = field(default_factory=dict)
    streams: Mapping[str, int] = field(default_factory=dict)
    copies: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class ReportedLoad:
    """Hold the load that a peer reported, and when."""

    at_ms: float
    load: LoadByUpstream


@dataclass(frozen=True)
class PeerLoads:
    """Hold the sum of the peers' loads by upstream, and the oldest report's age."""

    by_upstream: Mapping[str, Load]
    age_ms: float | None


@dataclass(frozen=True)
class _KeptSum:
    """Hold a sum of reports that holds until another one comes or one is too old."""

    by_upstream: Mapping[str, Load]
    oldest_at_ms: float | None
    at_ms: float

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the same reports are recent."""
        oldest_at_ms = self.oldest_at_ms
        is_recent = oldest_at_ms is None or now_ms - oldest_at_ms < MAX_REPORT_AGE_MS
        return now_ms >= self.at_ms and is_recent


class PeerReports:
    """Hold the newest load report of each peer."""

    def __init__(self) -> None:
        self._by_router: dict[str, ReportedLoad] = {}
        # When the last report of each peer with streams came.
        self._busy_at_ms: dict[str, float] = {}
        # None after a change of the reports.
        self._kept_sum: _KeptSum | None = None

    def put(self, router_id: str, load: LoadByUpstream, now_ms: float) -> None:
        """Replace the report of a peer."""
        self._by_router[router_id] = ReportedLoad(now_ms, load)
        self._kept_sum = None
        if any(load.streams.values()):
            self._busy_at_ms[router_id] = now_ms
        else:
            self._busy_at_ms.pop(router_id, None)

    def prune(self, now_ms: float) -> None:
        """Drop old reports."""
        self._kept_sum = None
        self._by_router = {
            key: item
            for key, item in self._by_router.items()
            if now_ms - item.at_ms < MAX_REPORT_AGE_MS
        }
        self._busy_at_ms = {
            key: at_ms
            for key, at_ms in self._busy_at_ms.items()
            if now_ms - at_ms < MAX_SILENCE_MS
        }

    def n_silent(self, now_ms: float) -> int:
        """Return how many peers had streams when their reports stopped."""
        ages_ms = [now_ms - at_ms for at_ms in self._busy_at_ms.values()]
        return sum(MAX_REPORT_AGE_MS <= age < MAX_SILENCE_MS for age in ages_ms)

    def total(self, now_ms: float) -> PeerLoads:
        """Sum the recent reports by upstream."""
        kept = self._kept_sum
        if kept is None or not kept.is_valid(now_ms):
            kept = self._kept_sum = self._sum(now_ms)
        oldest_at_ms = kept.oldest_at_ms
        age_ms = None if oldest_at_ms is None else max(0.0, now_ms - oldest_at_ms)
        return PeerLoads(kept.by_upstream, age_ms)

    def _sum(self, now_ms: float) -> _KeptSum:
        loads: defaultdict[str, Load] = defaultdict(Load)
        recent = [
            item
            for item in self._by_router.values()
            if now_ms - item.at_ms < MAX_REPORT_AGE_MS
        ]
        for item in recent:
            for upstream_id, number in item.load.prompts.items():
                loads[upstream_id].n_prompts += number
            for upstream_id, number in item.load.streams.items():
                loads[upstream_id].n_streams += number
            for upstream_id, number in item.load.copies.items():
                loads[upstream_id].n_copies += number
        oldest_at_ms = min((item.at_ms for item in recent), default=None)
        return _KeptSum(loads, oldest_at_ms, now_ms)
