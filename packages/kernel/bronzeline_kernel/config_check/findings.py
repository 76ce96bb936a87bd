"""Define what a check of a configuration finds."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["Finding", "Issue", "Location", "Severity"]

# Field names of `ForwardingConfig` and positions in its lists, from the outermost.
Location = tuple[str | int, ...]


class Severity(StrEnum):
    """Tell whether a finding alone makes a configuration unfit to be sent."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True)
class Issue:
    """Hold what a rule found, at a location in the typed configuration."""

    rule: str
    location: Location
    message: str


@dataclass(frozen=True)
class Finding:
    """Hold what was found, at a location in the spelling of the document."""

    severity: Severity
    rule: str
    location: str
    message: str

    def __str__(self) -> str:
        return f"{self.location}: {self.severity}: {self.message}"
