"""Index the other routers, and select those that hold the record of a run."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterable
from itertools import chain, islice
from zlib import crc32

from bronzeline_kernel.forwarding.peer_messages import RouterEntry, RouterListing
from bronzeline_kernel.forwarding.upstream_set import Address

__all__ = ["N_RUN_HOLDERS", "PeerList"]

# Number of routers of a zone that hold the record of a run, chosen by the run's
# hash: one of them may be lost together with the router that handles the run.
N_RUN_HOLDERS = 3
# Number of routers, of any zone, that hold the record of where a stream began. The
# caller may come back in another zone, and several routers may be lost at once.
N_ORIGIN_HOLDERS = 5


class PeerList:
    """Index the listed routers, except this one, by zone, id and address."""

    def __init__(self, own: RouterEntry) -> None:
        self._own = own
        self.digest = 0
        self.all: tuple[RouterEntry, ...] = ()
        self._by_id: dict[str, RouterEntry] = {}
        self._by_address: dict[Address, RouterEntry] = {}
        self.in_zone: tuple[RouterEntry, ...] = ()
        self.in_other_zones: tuple[RouterEntry, ...] = ()
        # The zone's routers ordered by the hash of their id (consistent hashing),
        # so that all routers choose nearly the same ones for a run.
        self._ring: list[tuple[int, RouterEntry]] = []
        self._ring_of_all: list[tuple[int, RouterEntry]] = []

    def __len__(self) -> int:
        return len(self._by_id)

    @property
    def is_listed(self) -> bool:
        """Return whether a list of routers was read."""
        return self.digest != 0

    def listing(self) -> RouterListing:
        """Return the list of all routers, for a peer."""
        return RouterListing((self._own, *self.all))

    def replace(self, entries: Iterable[RouterEntry]) -> bool:
        """Replace the list of routers; return whether it changed.

        This router is always part of the list.
        """
        by_id = {item.router_id: item for item in (*entries, self._own)}
        routers = [by_id[router_id] for router_id in sorted(by_id)]
        digest = _digest(routers)
        if digest == self.digest:
            return False
        self.digest = digest
        self._index(routers)
        return True

    def _index(self, routers: Iterable[RouterEntry]) -> None:
        peers = [item for item in routers if item.router_id != self._own.router_id]
        zone = self._own.availability_zone
        self.all = tuple(peers)
        self._by_id = {item.router_id: item for item in peers}
        self._by_address = {(item.host, item.peer_port): item for item in peers}
        self.in_zone = tuple(x for x in peers if x.availability_zone == zone)
        self.in_other_zones = tuple(x for x in peers if x.availability_zone != zone)
        self._ring = _ring(self.in_zone)
        self._ring_of_all = _ring(self.all)

    def get(self, router_id: str) -> RouterEntry | None:
        """Return the peer with this id."""
        return self._by_id.get(router_id)

    def find_by_address(self, address: Address) -> RouterEntry | None:
        """Return the peer that sends from this address."""
        return self._by_address.get(address)

    def run_holders(self, request_hash: str) -> list[RouterEntry]:
        """Return the peers in this zone that hold the record of a run."""
        return _following(self._ring, request_hash, N_RUN_HOLDERS)

    def origin_holders(self, request_hash: str) -> list[RouterEntry]:
        """Return the peers of all zones that hold where a stream began."""
        return _following(self._ring_of_all, request_hash, N_ORIGIN_HOLDERS)


def _ring(routers: Iterable[RouterEntry]) -> list[tuple[int, RouterEntry]]:
    ring = [(crc32(item.router_id.encode()), item) for item in routers]
    return sorted(ring, key=lambda item: item[0])


def _following(
    ring: list[tuple[int, RouterEntry]], request_hash: str, count: int
) -> list[RouterEntry]:
    start = bisect(ring, crc32(request_hash.encode()), key=lambda x: x[0])
    following = chain(ring[start:], ring[:start])
    return [item for _, item in islice(following, count)]


def _digest(routers: Iterable[RouterEntry]) -> int:
    """Return a checksum of a sorted list, never 0."""
    text = "\n".join(
        f"{item.router_id} {item.host} {item.peer_port} {item.availability_zone}"
        for item in routers
    )
    return crc32(text.encode()) or 1
