"""Load scenario files: experiment, options and bounds of the measures."""

from __future__ import annotations

from pathlib import Path
from typing import Any, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from bronzeline_kernel.config import load_file
from bronzeline_kernel.config.option_types import STRICT, DurationMs, Name

__all__ = ["Bound", "Scenario", "load_scenarios"]

SCENARIO_FOLDER = Path(__file__).resolve().parent.parent / "scenarios"


@dataclass(frozen=True, config=STRICT)
class Bound:
    """Hold the largest or smallest value of a measure that meets its target."""

    kind: Literal["at_most", "at_least"]
    value: float

    def allows(self, value: float) -> bool:
        """Return whether a value is within the bound."""
        return value <= self.value if self.kind == "at_most" else value >= self.value


@dataclass(frozen=True, config=STRICT)
class Scenario:
    """Hold the content of one scenario file."""

    scenario: Name
    experiment: Name
    topology: Literal["guild", "bitna"] = "guild"
    seed: int = 1
    limit_ms: DurationMs = 55_000.0
    options: dict[str, Any] = Field(default_factory=dict)
    bounds: dict[str, Bound] = Field(default_factory=dict)


def load_scenarios(folder: Path = SCENARIO_FOLDER) -> list[Scenario]:
    """Load every scenario file in the folder; raises `SettingsError`."""
    return [load_file(Scenario, path) for path in sorted(folder.glob("*.json"))]
