"""Define the interface of an experiment and the measurements it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bronzeline_standins.bench.scenario import Scenario

__all__ = ["Experiment", "Measurement", "Measurements"]


@dataclass(frozen=True)
class Measurement:
    """Hold a measured value, and the value of the baseline if one was measured."""

    measure: str
    unit: str
    value: float
    baseline: float | None = None


Measurements = list[Measurement]


class Experiment(Protocol):
    """Describe the coroutine `run` that each module of `experiments` defines."""

    async def __call__(self, scenario: Scenario, seed: int) -> Measurements:
        """Run the scenario once with this seed and return the measurements."""
