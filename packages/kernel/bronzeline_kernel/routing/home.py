"""Determine the home router of an upstream, which tracks its slots."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Collection

from xxhash import xxh64_intdigest

from bronzeline_kernel.fleet import RouterInfo, Upstream

__all__ = ["HomeRing"]

N_POINTS = 32


class HomeRing:
    """Assign home routers by consistent hashing, with one ring for each region.

    A router that joins or leaves changes the home of only those upstreams that are
    next to its points.
    """

    def __init__(self) -> None:
        self._rings: dict[str, list[tuple[int, str]]] = {}
        self._router_regions: dict[str, str] = {}

    def update(self, routers: Collection[RouterInfo]) -> None:
        """Replace the routers on the rings."""
        wanted = {item.router_id: item.region for item in routers}
        for router_id in [item for item in self._router_regions if item not in wanted]:
            self._remove(router_id)
        for router_id, region in wanted.items():
            if router_id not in self._router_regions:
                self._add(router_id, region)

    def home_of(self, upstream: Upstream) -> str:
        """Return the home router of an upstream, or an empty string without routers."""
        ring = self._rings.get(upstream.region)
        if not ring:
            ring = self._fallback_ring(upstream)
        if not ring:
            return ""
        point = xxh64_intdigest(upstream.upstream_id.encode())
        return ring[bisect_left(ring, (point, "")) % len(ring)][1]

    def _fallback_ring(self, upstream: Upstream) -> list[tuple[int, str]]:
        rings = [ring for _, ring in sorted(self._rings.items()) if ring]
        if not rings:
            return []
        return rings[xxh64_intdigest(upstream.region.encode()) % len(rings)]

    def _add(self, router_id: str, region: str) -> None:
        self._router_regions[router_id] = region
        for point in _points(router_id):
            insort(self._rings.setdefault(region, []), (point, router_id))

    def _remove(self, router_id: str) -> None:
        ring = self._rings[self._router_regions.pop(router_id)]
        for point in _points(router_id):
            del ring[bisect_left(ring, (point, router_id))]


def _points(router_id: str) -> list[int]:
    encoded = router_id.encode()
    return [xxh64_intdigest(encoded, seed=number) for number in range(N_POINTS)]
