"""Define a line of a router's log."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["LogLine"]


@dataclass(frozen=True)
class LogLine:
    """Represent one log line."""

    time: str
    router: str
    event: str
    fields: dict[str, str] = field(default_factory=dict)

    def __str__(self) -> str:
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return (
            f"{self.time} {self.router or '-'}: {self.event.replace('_', ' ')} {shown}"
        )
