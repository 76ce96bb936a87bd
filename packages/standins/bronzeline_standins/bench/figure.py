"""Define the result record of one measure in a benchmark run."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Figure"]


@dataclass(frozen=True)
class Figure:
    """Hold a measured value with its baseline, its bound and the comparison."""

    scenario: str
    measure: str
    unit: str
    seed: int
    baseline: float | None
    value: float
    ratio: float | None
    bound: float | None
    within: bool | None
