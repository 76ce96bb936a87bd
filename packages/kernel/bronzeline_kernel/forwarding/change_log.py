"""Keep the latest upstream changes for transmission to peers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.store_position import StorePosition
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["ChangeLog", "UpstreamChange"]

# Losing a zone of the largest site changes 40 entries twice.
MAX_CHANGES = 400
# Before any state that the store may be read in.
START = StorePosition()


@dataclass(frozen=True)
class UpstreamChange:
    """Hold one upstream's new entry, or None if it was removed."""

    upstream_id: str
    entry: ListedUpstream | None


@dataclass
class ChangeLog:
    """Hold the latest changes with the store's position at each."""

    position: StorePosition = START
    _first_position: StorePosition = START
    _changes: deque[tuple[StorePosition, UpstreamChange]] = field(default_factory=deque)

    def restart(self, position: StorePosition) -> None:
        """Clear the log after a full list was read at a position."""
        self._changes.clear()
        self._first_position = self.position = position

    def add(self, changes: tuple[UpstreamChange, ...], position: StorePosition) -> None:
        """Append the changes that led up to a position."""
        self.position = max(self.position, position)
        self._changes.extend((position, change) for change in changes)
        while len(self._changes) > MAX_CHANGES:
            self._first_position = self._changes.popleft()[0]

    def since(self, position: StorePosition) -> tuple[UpstreamChange, ...] | None:
        """Return the changes after a position, None if the log does not cover it."""
        if not self._first_position <= position <= self.position:
            return None
        return tuple(
            change for changed_at, change in self._changes if changed_at > position
        )
