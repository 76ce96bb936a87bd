"""Know the other routers, and which of them to tell what."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from itertools import chain, islice
from zlib import crc32

from bronzeline_kernel.forwarding.peer_messages import RouterEntry
from bronzeline_kernel.forwarding.upstream_set import Address

__all__ = ["N_RUN_HOLDERS", "PeerList"]

# So many routers of a zone hold the record of a run, chosen by its hash: one
# of them may be lost with the run's own.
N_RUN_HOLDERS = 3


class PeerList:
    """Hold the listed routers but the own, by what they are looked up by."""

    def __init__(self, own: RouterEntry) -> None:
        self._own = own
        self._by_id: dict[str, RouterEntry] = {}
        self._by_address: dict[Address, RouterEntry] = {}
        self.in_zone: tuple[RouterEntry, ...] = ()
        self.in_other_zones: tuple[RouterEntry, ...] = ()
        # The zone's routers by the hash of their id, so that all routers
        # choose nearly the same ones for a hash.
        self._ring: list[tuple[int, RouterEntry]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def all(self) -> tuple[RouterEntry, ...]:
        """Return every peer."""
        return (*self.in_zone, *self.in_other_zones)

    def replace(self, entries: Iterable[RouterEntry]) -> None:
        """Take a new list; the own entry is left out."""
        peers = [item for item in entries if item.router_id != self._own.router_id]
        zone = self._own.availability_zone
        self._by_id = {item.router_id: item for item in peers}
        self._by_address = {(item.host, item.peer_port): item for item in peers}
        self.in_zone = tuple(x for x in peers if x.availability_zone == zone)
        self.in_other_zones = tuple(x for x in peers if x.availability_zone != zone)
        ring = [(crc32(item.router_id.encode()), item) for item in self.in_zone]
        self._ring = sorted(ring, key=lambda item: item[0])

    def get(self, router_id: str) -> RouterEntry | None:
        """Return a peer by its id."""
        return self._by_id.get(router_id)

    def find_by_address(self, address: Address) -> RouterEntry | None:
        """Return a peer by the address that it sends from."""
        return self._by_address.get(address)

    def run_holders(self, request_hash: str) -> list[RouterEntry]:
        """Return the peers of the zone that hold a run's record."""
        place = bisect(self._ring, crc32(request_hash.encode()), key=lambda x: x[0])
        following = chain(self._ring[place:], self._ring[:place])
        return [item for _, item in islice(following, N_RUN_HOLDERS)]
