"""Measure latency and refusals when an availability zone fails at peak load."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.policy_run import measure_policies
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.swing import swing_run
from bronzeline_standins.embedded import EmbeddedFleet

__all__ = ["run"]


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Kill the engines of one zone under load and start them again later."""
    options = scenario.options
    lost_at_s = float(options["lost_at_ms"]) / 1000.0
    lost_for_s = float(options["lost_for_ms"]) / 1000.0

    async def script(fleet: EmbeddedFleet) -> None:
        region = fleet.topology.regions[0]
        await asyncio.sleep(lost_at_s)
        lost = [
            engine
            for number, engine in enumerate(fleet.engines)
            if fleet.topology.region_of(number) == region
        ]
        for engine in lost:
            engine.die()
        await asyncio.sleep(lost_for_s)
        for engine in lost:
            engine.start()

    return await measure_policies(
        replace(swing_run(scenario, seed), script=script), seed
    )
