"""Connect the regions of a fleet through links."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace

from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.protocols import VmListing
from bronzeline_standins.link import Link

__all__ = ["PLATFORM", "RegionLinks"]

PLATFORM = "platform"


@dataclass(frozen=True)
class LinkEnds:
    """Identify a link by its two regions and the port that it forwards to."""

    from_region: str
    to_region: str
    port: int


class RegionLinks:
    """Hold the links between the regions of one fleet."""

    def __init__(self, latency_ms: float) -> None:
        self.latency_ms = latency_ms
        self._links: dict[LinkEnds, Link] = {}

    def port_of(
        self, from_region: str, to_region: str, port: int, latency_ms: float = -1.0
    ) -> int:
        """Return the port that reaches a server: a link's if the server is remote."""
        if from_region == to_region:
            return port
        ends = LinkEnds(from_region, to_region, port)
        if ends not in self._links:
            one_way_ms = self.latency_ms if latency_ms < 0 else latency_ms
            self._links[ends] = Link(port, one_way_ms)
            self._links[ends].start_listening()
        return self._links[ends].port

    def rewrite_listing(self, region: str, listing: VmListing) -> VmListing:
        """Replace the ports of a VM list by those that a region connects to."""
        return VmListing(
            tuple(self._rewrite_upstream(region, item) for item in listing.upstreams),
            tuple(self._rewrite_router(region, item) for item in listing.routers),
        )

    def between(self, region_a: str, region_b: str) -> Iterator[Link]:
        """Yield the links between two regions, in both directions."""
        for ends, link in self._links.items():
            if {ends.from_region, ends.to_region} == {region_a, region_b}:
                yield link

    def links(self) -> Iterator[Link]:
        """Yield every link."""
        yield from self._links.values()

    def bytes_between_regions(self) -> dict[tuple[str, str], int]:
        """Return the bytes by calling and called region, the platform left out."""
        totals: dict[tuple[str, str], int] = {}
        for ends, link in self._links.items():
            pair = ends.from_region, ends.to_region
            if PLATFORM not in pair:
                totals[pair] = totals.get(pair, 0) + link.n_bytes_forwarded
        return totals

    def close(self) -> None:
        """Close every link."""
        for link in self._links.values():
            link.close()

    def _rewrite_upstream(self, region: str, item: Upstream) -> Upstream:
        return replace(item, port=self.port_of(region, item.region, item.port))

    def _rewrite_router(self, region: str, item: RouterInfo) -> RouterInfo:
        port = self.port_of(region, item.region, item.peer_port)
        return replace(item, peer_port=port)
