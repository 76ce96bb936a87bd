"""Declare what an experiment is and what it returns."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bronzeline_standins.bench.scenario import Scenario

__all__ = ["Experiment", "Measurement", "Measurements"]


@dataclass(frozen=True)
class Measurement:
    """Hold one measured value and, where one was run, its baseline."""

    measure: str
    unit: str
    value: float
    baseline: float | None = None


Measurements = list[Measurement]


class Experiment(Protocol):
    """Run a scenario once; one module a kind under `experiments`."""

    async def __call__(self, scenario: Scenario, seed: int) -> Measurements:
        """Run and return the measurements."""
