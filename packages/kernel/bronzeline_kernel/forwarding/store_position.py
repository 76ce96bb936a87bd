"""Locate states of the platform's store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StorePosition"]


@dataclass(frozen=True, order=True)
class StorePosition:
    """Locate a state of the store by its era, and by the revision within it.

    A later era comes after all revisions of an earlier one.
    """

    era: int = 0
    revision: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.revision}"

    @classmethod
    def parse(cls, text: str) -> StorePosition | None:
        """Return the position that `str` wrote, None for any other text."""
        era, _, revision = text.partition(".")
        if not (era.isdecimal() and revision.isdecimal()):
            return None
        return cls(int(era), int(revision))
