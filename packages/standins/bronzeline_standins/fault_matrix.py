"""Define which faults are tested at which steps."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

__all__ = ["FaultCell", "FaultMatrix"]


@dataclass(frozen=True)
class FaultCell:
    """Identify one fault at one step."""

    fault: str
    step: str


@dataclass(frozen=True)
class FaultMatrix:
    """Combine every fault with every step of one area.

    Each test module under `tests/matrix` defines one as `MATRIX` and runs its
    test `test_cell` once for each of `MATRIX.cells()`.
    """

    area: str
    faults: tuple[str, ...]
    steps: tuple[str, ...]
    impossible: Mapping[FaultCell, str] = field(default_factory=dict)

    def cells(self) -> Iterator[FaultCell]:
        """Yield the cells that can occur."""
        for fault in self.faults:
            for step in self.steps:
                cell = FaultCell(fault, step)
                if cell not in self.impossible:
                    yield cell
