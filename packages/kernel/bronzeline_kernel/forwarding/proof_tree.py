"""Arrange routers in a tree, along which data from the store is passed on."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Sequence

from bronzeline_kernel.forwarding.peer_messages import RouterEntry

__all__ = ["FAN_OUT", "find_parent"]

# The number of routers that ask one router. More would load it further; fewer
# would deepen the tree, and each level adds up to the interval between requests
# to the age of the data.
FAN_OUT = 8


def find_parent(own: RouterEntry, peers: Iterable[RouterEntry]) -> RouterEntry | None:
    """Return the router to ask for data, None for the root, which reads the store.

    The first router of each availability zone, by id, asks the first router of a
    zone before it; the others ask a router of their zone.
    """
    by_zone: defaultdict[str, list[RouterEntry]] = defaultdict(list)
    for router in (own, *peers):
        by_zone[router.availability_zone].append(router)
    in_zone = sorted(by_zone[own.availability_zone], key=_router_id)
    parent = _parent_in(in_zone, own)
    if parent is not None:
        return parent
    first_of_each_zone = [
        min(by_zone[zone], key=_router_id) for zone in sorted(by_zone)
    ]
    return _parent_in(first_of_each_zone, own)


def _parent_in(routers: Sequence[RouterEntry], own: RouterEntry) -> RouterEntry | None:
    """Return the parent in a tree of ordered routers, None for the first one."""
    rank = routers.index(own)
    return routers[(rank - 1) // FAN_OUT] if rank else None


def _router_id(router: RouterEntry) -> str:
    return router.router_id
