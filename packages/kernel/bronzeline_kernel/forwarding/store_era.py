"""Track how often the platform's store was restored from a copy."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["StoreEra"]

# Called with the era that was the latest one before, and the new one.
OnRestored = Callable[[int, int], None]


class StoreEra:
    """Hold the latest era of the store that this router has heard of.

    The store begins an era when it is restored from a copy. What it acknowledged
    after the copy was taken is gone, and its revisions are given out again.
    """

    def __init__(self) -> None:
        self._latest: int | None = None
        self._listeners: list[OnRestored] = []

    @property
    def number(self) -> int:
        """Return the latest era, 0 if none was named."""
        return self._latest or 0

    def listen(self, listener: OnRestored) -> None:
        """Call a listener whenever the store turns out to have been restored."""
        self._listeners.append(listener)

    def observe(self, era: int) -> bool:
        """Take in an era that was named; return whether it is the latest one.

        The first one says nothing of a restoration.
        """
        former = self._latest
        if former is not None and era <= former:
            return era == former
        self._latest = era
        if former is not None:
            for listener in self._listeners:
                listener(former, era)
        return True
