"""Read scenario files: load, faults, measures and bounds."""

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
    """Say how large or small a measure may be, from a stated target."""

    kind: Literal["at_most", "at_least"]
    value: float

    def allows(self, value: float) -> bool:
        """Say whether a value keeps the bound."""
        return value <= self.value if self.kind == "at_most" else value >= self.value


@dataclass(frozen=True, config=STRICT)
class Scenario:
    """Hold one scenario file."""

    scenario: Name
    experiment: Name
    topology: Literal["guild", "bitna"] = "guild"
    seed: int = 1
    limit_ms: DurationMs = 55_000.0
    options: dict[str, Any] = Field(default_factory=dict)
    bounds: dict[str, Bound] = Field(default_factory=dict)


def load_scenarios(folder: Path = SCENARIO_FOLDER) -> list[Scenario]:
    """Read every scenario file; raises `SettingsError`."""
    return [load_file(Scenario, path) for path in sorted(folder.glob("*.json"))]
