"""Keep the latest upstream changes for transmission to peers."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["ChangeLog", "UpstreamChange"]

# Losing a zone of the largest site changes 40 entries twice.
MAX_CHANGES = 400


@dataclass(frozen=True)
class UpstreamChange:
    """Hold one upstream's new entry, or None if it was removed."""

    upstream_id: str
    entry: ListedUpstream | None


@dataclass
class ChangeLog:
    """Hold the latest changes with the store revision of each."""

    revision: int = 0
    _first_revision: int = 0
    _changes: deque[tuple[int, UpstreamChange]] = field(default_factory=deque)

    def restart(self, revision: int) -> None:
        """Clear the log after a full list was read at a revision."""
        self._changes.clear()
        self._first_revision = self.revision = revision

    def add(self, changes: tuple[UpstreamChange, ...], revision: int) -> None:
        """Append the changes that led up to a revision."""
        self.revision = max(self.revision, revision)
        self._changes.extend((revision, change) for change in changes)
        while len(self._changes) > MAX_CHANGES:
            self._first_revision = self._changes.popleft()[0]

    def since(self, revision: int) -> tuple[UpstreamChange, ...] | None:
        """Return the changes after a revision, None if the log does not cover it."""
        if revision < self._first_revision or revision > self.revision:
            return None
        return tuple(
            change for at_revision, change in self._changes if at_revision > revision
        )
