"""Choose the routers that watch the configuration in the store."""

from __future__ import annotations

from collections.abc import Collection
from hashlib import blake2b

from bronzeline_kernel.fleet import RouterInfo

__all__ = ["is_watcher"]

N_SPARE_WATCHERS = 1


def is_watcher(own: RouterInfo, peers: Collection[RouterInfo]) -> bool:
    """Return whether a router ranks first in its region or is the spare watcher.

    Routers may disagree on the fleet. Too many watchers only cost extra store
    calls; too few are compensated by the slow polling of all other routers.
    """
    routers = sorted([own, *peers], key=_rank)
    first_ids: dict[str, str] = {}
    for router in routers:
        first_ids.setdefault(router.region, router.router_id)
    firsts = set(first_ids.values())
    spares = [item.router_id for item in routers if item.router_id not in firsts]
    return own.router_id in firsts or own.router_id in spares[:N_SPARE_WATCHERS]


def _rank(router: RouterInfo) -> tuple[bytes, str]:
    digest = blake2b(router.router_id.encode(), digest_size=8).digest()
    return digest, router.router_id
