"""Choose the routers that hold replicas of this router's generations."""

from __future__ import annotations

from collections.abc import Iterable

from xxhash import xxh64_intdigest

from bronzeline_kernel.fleet import RouterInfo

__all__ = ["rank_holders"]


def rank_holders(
    own_id: str, zone: str, region: str, routers: Iterable[RouterInfo]
) -> list[str]:
    """Rank routers as replica holders, best first.

    Routers in another availability zone of the same region come first, then
    those in other regions, then those in the router's own zone. Each group is
    ordered by rendezvous hash, so that a membership change moves few replicas.
    """

    def preference(router: RouterInfo) -> tuple[int, int]:
        is_own_zone = router.availability_zone == zone
        is_other_region = router.region != region
        rank = 2 if is_own_zone else int(is_other_region)
        return rank, -xxh64_intdigest(f"{own_id}/{router.router_id}".encode())

    return [router.router_id for router in sorted(routers, key=preference)]
