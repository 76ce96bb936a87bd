"""Choose the neighbours that a router keeps connections to."""

from __future__ import annotations

from bisect import bisect_left, insort
from collections.abc import Iterable
from functools import lru_cache

from xxhash import xxh64_intdigest

__all__ = ["Overlay"]

MAX_FULL_MESH = 12
N_RINGS = 4


class Overlay:
    """Order the routers on several hash rings; ring neighbours stay connected.

    A router has at most two neighbours per ring, whatever the size of the fleet,
    and a router that joins or leaves moves two connections per ring. Up to 12
    routers form a full mesh.
    """

    def __init__(self, own_id: str) -> None:
        self._own_id = own_id
        self._ids: set[str] = set()
        self._rings: list[list[tuple[int, str]]] = [[] for _ in range(N_RINGS)]
        self._neighbours: frozenset[str] | None = None
        self.add_all([own_id])

    def __len__(self) -> int:
        return len(self._ids)

    def add(self, router_id: str) -> None:
        """Add a router to the rings."""
        if router_id in self._ids:
            return
        self._ids.add(router_id)
        self._neighbours = None
        for number, ring in enumerate(self._rings):
            insort(ring, _ring_point(number, router_id))

    def add_all(self, router_ids: Iterable[str]) -> None:
        """Add many routers to the rings at once."""
        self._ids.update(router_ids)
        self._neighbours = None
        self._rings = [
            sorted(_ring_point(number, router_id) for router_id in self._ids)
            for number in range(N_RINGS)
        ]

    def discard(self, router_id: str) -> None:
        """Remove a router from the rings; this router itself is kept."""
        if router_id not in self._ids or router_id == self._own_id:
            return
        self._ids.discard(router_id)
        self._neighbours = None
        for number, ring in enumerate(self._rings):
            del ring[bisect_left(ring, _ring_point(number, router_id))]

    def neighbours(self) -> frozenset[str]:
        """Return the ids of the routers that this one keeps connections to."""
        if self._neighbours is None:
            self._neighbours = self._find_neighbours()
        return self._neighbours

    def successor(self) -> str:
        """Return the id of the next router on the first ring."""
        ring = self._rings[0]
        index = bisect_left(ring, _ring_point(0, self._own_id))
        return ring[(index + 1) % len(ring)][1]

    def _find_neighbours(self) -> frozenset[str]:
        if len(self._ids) <= MAX_FULL_MESH:
            return frozenset(self._ids - {self._own_id})
        found: set[str] = set()
        for number, ring in enumerate(self._rings):
            index = bisect_left(ring, _ring_point(number, self._own_id))
            found.add(ring[index - 1][1])
            found.add(ring[(index + 1) % len(ring)][1])
        return frozenset(found - {self._own_id})


@lru_cache(maxsize=16_384)
def _ring_point(number: int, router_id: str) -> tuple[int, str]:
    return (xxh64_intdigest(router_id.encode(), seed=number), router_id)
