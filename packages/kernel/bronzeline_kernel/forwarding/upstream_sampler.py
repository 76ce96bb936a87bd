"""Sample the upstreams that a choice compares."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bronzeline_kernel.forwarding.placement_options import PlacementOptions
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream, UpstreamSet

__all__ = ["UpstreamSampler"]


@dataclass(frozen=True)
class UpstreamSampler:
    """Sample the usable upstreams of a service."""

    own_zone: str
    upstreams: UpstreamSet
    random: Random
    options: PlacementOptions

    def candidates(
        self,
        service: str,
        now_ms: float,
        may_run: Callable[[ListedUpstream], bool] | None,
    ) -> list[ListedUpstream]:
        """Return a sample of the usable upstreams at which a request may run."""
        if may_run is None:
            return self.sample(service, now_ms)
        usable = self.upstreams.usable(service, now_ms)
        return self._shorten([item for item in usable if may_run(item)])

    def of_version(
        self, upstream: ListedUpstream, now_ms: float
    ) -> list[ListedUpstream]:
        """Return usable upstreams of an upstream's version, if that is known."""
        if not upstream.version:
            return []
        sample = self.sample(upstream.service, now_ms)
        found = [item for item in sample if item.version == upstream.version]
        if len(found) > 1:
            return found
        usable = self.upstreams.usable(upstream.service, now_ms)
        return self._shorten([x for x in usable if x.version == upstream.version])

    def sample(self, service: str, now_ms: float) -> list[ListedUpstream]:
        """Return a sample of the usable upstreams, half of it in this router's zone.

        Sampling bounds the cost of a choice, and keeps routers with the same
        stale reports from choosing the same upstream. Short lists are returned
        whole.
        """
        options = self.options
        usable = self.upstreams.usable(service, now_ms)
        if len(usable) <= options.max_own_zone + options.max_other_zones:
            return usable
        by_zone = self.upstreams.usable_by_zone(service, now_ms)
        in_own_zone = by_zone.get(self.own_zone, [])
        other_zones = [zone for zone in by_zone if zone != self.own_zone]
        chosen = self.random.sample(
            in_own_zone, min(len(in_own_zone), options.max_own_zone)
        )
        for zone in self.random.choices(
            other_zones, k=options.max_other_zones if other_zones else 0
        ):
            chosen.append(self.random.choice(by_zone[zone]))
        return chosen

    def _shorten(self, upstreams: list[ListedUpstream]) -> list[ListedUpstream]:
        """Return a random sample if there are too many upstreams to compare."""
        n_compared = self.options.max_own_zone + self.options.max_other_zones
        if len(upstreams) <= n_compared:
            return upstreams
        return self.random.sample(upstreams, n_compared)
