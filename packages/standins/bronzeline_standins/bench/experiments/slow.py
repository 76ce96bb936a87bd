"""Measure latency while some engines are slow."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.policy_run import measure_policies
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.swing import swing_run
from bronzeline_standins.embedded import EmbeddedFleet

__all__ = ["run"]


@dataclass(frozen=True)
class Turn:
    """Say how many engines are slow at once, by what factor and for how long."""

    n_engines: int
    slow_factor: float
    duration_ms: float


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Slow down engines in turns; each turn takes those after the previous ones."""
    turns = [Turn(**item) for item in scenario.options["turns"]]
    first_ms = float(scenario.options["base_ms"])

    async def script(fleet: EmbeddedFleet) -> None:
        await asyncio.sleep(first_ms / 1000.0)
        first = 0
        for turn in turns:
            slowed = [
                fleet.engines[(first + number) % len(fleet.engines)]
                for number in range(turn.n_engines)
            ]
            for engine in slowed:
                engine.set_faults(slow_factor=turn.slow_factor)
            await asyncio.sleep(turn.duration_ms / 1000.0)
            for engine in slowed:
                engine.set_faults(slow_factor=1.0)
            first += turn.n_engines

    return await measure_policies(
        replace(swing_run(scenario, seed), script=script), seed
    )
