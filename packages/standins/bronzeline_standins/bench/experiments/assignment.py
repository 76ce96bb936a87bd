"""Measure how many upstreams each router manages and reaches at the planned size."""

from __future__ import annotations

from collections import Counter
from random import Random

from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.membership.overlay import Overlay
from bronzeline_kernel.routing.home import HomeRing
from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.load import percentile
from bronzeline_standins.bench.scenario import Scenario

__all__ = ["run"]

N_LEAVING = 20


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Assign home routers, remove some routers one by one and count the moves."""
    options = scenario.options
    regions = [f"region-{number}" for number in range(options["n_regions"])]
    routers = [_router(number, regions) for number in range(options["n_routers"])]
    upstreams = [_upstream(number, regions) for number in range(options["n_upstreams"])]
    ring = HomeRing()
    ring.update(routers)
    homes = {item.upstream_id: ring.home_of(item) for item in upstreams}
    counts = Counter(homes.values())
    n_homes = [float(counts[item.router_id]) for item in routers]
    reached = _reached(routers, counts)
    moved = _count_moves(ring, routers, upstreams, homes, Random(seed))
    mean = len(upstreams) / len(routers)
    return [
        Measurement("home_upstreams_mean", "upstreams", mean),
        Measurement("home_upstreams_p95", "upstreams", percentile(n_homes, 95.0)),
        Measurement("home_upstreams_most", "upstreams", max(n_homes)),
        Measurement("reached_upstreams_least", "upstreams", min(reached)),
        Measurement("reached_upstreams_p50", "upstreams", percentile(reached, 50.0)),
        Measurement("reached_upstreams_most", "upstreams", max(reached)),
        Measurement("moved_by_a_router_mean", "upstreams", moved),
        Measurement("moved_by_a_router_share", "share", moved / len(upstreams)),
    ]


def _reached(routers: list[RouterInfo], counts: Counter[str]) -> list[float]:
    """Count the upstreams whose home is a router itself or one of its neighbours.

    The router can get slots of these upstreams in at most one step. Only every tenth
    router of a region is counted.
    """
    by_region: dict[str, list[str]] = {}
    for item in routers:
        by_region.setdefault(item.region, []).append(item.router_id)
    reached = []
    for router_ids in by_region.values():
        for router_id in router_ids[::10]:
            overlay = Overlay(router_id)
            overlay.add_all(router_ids)
            near = overlay.neighbours() | {router_id}
            reached.append(float(sum(counts[item] for item in near)))
    return reached


def _count_moves(
    ring: HomeRing,
    routers: list[RouterInfo],
    upstreams: list[Upstream],
    homes: dict[str, str],
    random: Random,
) -> float:
    n_moved = 0
    for leaving in random.sample(routers, N_LEAVING):
        ring.update([item for item in routers if item is not leaving])
        n_moved += sum(
            ring.home_of(item) != homes[item.upstream_id] for item in upstreams
        )
        ring.update(routers)
    return n_moved / N_LEAVING


def _router(number: int, regions: list[str]) -> RouterInfo:
    region = regions[number % len(regions)]
    return RouterInfo(f"router-{number}", "10.0.0.1", 1, f"{region}-a", region)


def _upstream(number: int, regions: list[str]) -> Upstream:
    region = regions[number % len(regions)]
    return Upstream(
        f"engine-{number}",
        "pool",
        UpstreamKind.ENGINE,
        "10.0.0.1",
        1,
        f"{region}-a",
        region,
    )
