"""Measure what a rolling restart of the whole fleet interrupts."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.policy_run import measure_policies
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.swing import swing_run
from bronzeline_standins.embedded import EmbeddedFleet

__all__ = ["run"]

POLL_S = 0.02
DOWN_S = 0.6
MAX_DRAIN_S = 6.0


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Restart every router and every engine under load, one of each at a time."""
    options = scenario.options
    pause_s = float(options["pause_ms"]) / 1000.0
    late_requests: list[str] = []

    async def restart_routers(fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(float(options["base_ms"]) / 1000.0)
        for number in range(len(fleet.routers)):
            await _restart_router(fleet, number)
            await asyncio.sleep(pause_s)

    async def restart_engines(fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(float(options["base_ms"]) / 1000.0)
        for number in range(len(fleet.engines)):
            late_requests.extend(await _restart_engine(fleet, number))
            await asyncio.sleep(pause_s)

    async def both(fleet: EmbeddedFleet) -> None:
        await asyncio.gather(restart_routers(fleet), restart_engines(fleet))

    policy_run = replace(swing_run(scenario, seed), script=both)
    measurements = await measure_policies(policy_run, seed)
    n_late = float(len(late_requests))
    return [*measurements, Measurement("work_after_3_s_of_leaving", "requests", n_late)]


async def _restart_router(fleet: EmbeddedFleet, number: int) -> None:
    """Drain a router, give the balancer 0.3 s to notice, then restart it."""
    daemon = fleet.routers[number]
    daemon.drain()
    await asyncio.sleep(0.3)
    await fleet.stop_router(number)
    await fleet.start_router(number)


async def _restart_engine(fleet: EmbeddedFleet, number: int) -> list[str]:
    """List an engine as leaving, restart it when idle and return its late requests.

    Late requests are those that start more than 3 s after the engine was listed. An
    engine that is not idle after another 6 s is killed all the same.
    """
    engine = fleet.engines[number]
    fleet.set_leaving(engine.upstream_id)
    await asyncio.sleep(3.0)
    known = set(engine.model.streams)
    await _wait_until_idle(engine)
    late_requests = [item for item in engine.model.streams if item not in known]
    engine.die()
    await asyncio.sleep(DOWN_S)
    fleet.set_leaving()
    engine.start()
    return late_requests


async def _wait_until_idle(engine: object) -> None:
    model = engine.model  # type: ignore[attr-defined]
    waited_s = 0.0
    while (model.running or model.queued) and waited_s < MAX_DRAIN_S:
        await asyncio.sleep(POLL_S)
        waited_s += POLL_S
