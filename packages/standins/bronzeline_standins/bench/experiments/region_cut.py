"""Measure latency and losses while one region is cut off from the others."""

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
    """Cut the first region off from the others for a time under load."""
    cut_at_s = float(scenario.options["cut_at_ms"]) / 1000.0
    cut_for_s = float(scenario.options["cut_for_ms"]) / 1000.0

    async def script(fleet: EmbeddedFleet) -> None:
        first, *others = fleet.topology.regions
        await asyncio.sleep(cut_at_s)
        for other in others:
            fleet.cut(first, other)
        await asyncio.sleep(cut_for_s)
        fleet.heal()

    return await measure_policies(
        replace(swing_run(scenario, seed), script=script), seed
    )
