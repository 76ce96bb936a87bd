"""Measure latency and refusals at the peak of a demand swing."""

from __future__ import annotations

from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.policy_run import measure_policies
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.swing import swing_run

__all__ = ["run"]


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Raise the load within 2 s to the scenario's share of the engines' capacity."""
    return await measure_policies(swing_run(scenario, seed), seed)
