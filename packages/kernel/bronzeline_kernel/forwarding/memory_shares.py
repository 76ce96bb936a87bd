"""Divide what a router may hold for bodies among workspaces and their connections.

The load addressed: callers of one workspace whose bodies take the whole account, so
that the others are refused.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Set
from dataclasses import dataclass, field

__all__ = ["HeldShare", "MemoryShares", "SharedPart"]

# Below this part of what bodies may take, nobody is limited to a share.
SHORT_RATIO = 0.5
# Callers that are refused come back after 1 s; until then their workspace counts as
# active, so that the others make room for them.
ACTIVE_MS = 2_500.0


@dataclass
class SharedPart:
    """Count what requests hold by workspace, and by connection within it."""

    by_workspace: Counter[str] = field(default_factory=Counter)
    by_connection: dict[str, Counter[int]] = field(default_factory=dict)

    def count(self, share: HeldShare, n_bytes: int) -> None:
        """Count bytes that a request holds more, or fewer if negative."""
        held = self.by_connection.setdefault(share.workspace, Counter())
        held[share.connection] += n_bytes
        self.by_workspace[share.workspace] += n_bytes
        if not held[share.connection]:
            del held[share.connection]
        if not held:
            del self.by_connection[share.workspace]
            del self.by_workspace[share.workspace]


@dataclass
class MemoryShares:
    """Divide the account among the active workspaces.

    Large bodies are divided apart from all else, so that callers with small bodies
    are served beside large ones of their own workspace.
    """

    large: SharedPart = field(default_factory=SharedPart)
    small: SharedPart = field(default_factory=SharedPart)
    # The time of each workspace's latest request; removed once it is no more active.
    _seen_ms: dict[str, float] = field(default_factory=dict)

    def open(self, workspace: str, connection: int, now_ms: float) -> HeldShare:
        """Return the share of a new request."""
        self._seen_ms[workspace] = now_ms
        for name in [x for x, at in self._seen_ms.items() if now_ms - at > ACTIVE_MS]:
            del self._seen_ms[name]
        return HeldShare(self, workspace, connection)

    def part(self, *, is_large: bool) -> SharedPart:
        """Return what is held of large bodies, or of all else."""
        return self.large if is_large else self.small

    def may_grow(
        self,
        share: HeldShare,
        n_bytes: int,
        n_held: int,
        ceiling: int,
        *,
        is_large: bool,
    ) -> bool:
        """Return whether a body may grow while so much is held in all.

        The request itself is not counted: each workspace and each connection may have
        one body of any size that the account has room for.
        """
        if n_held + n_bytes <= SHORT_RATIO * ceiling:
            return True
        part, n_own = self.part(is_large=is_large), share.n_bytes[is_large]
        workspace_bytes = self._workspace_bytes(part, n_held, ceiling)
        if part.by_workspace[share.workspace] - n_own > workspace_bytes:
            return False
        held = part.by_connection.get(share.workspace, Counter())
        n_connections = len(held.keys() | {share.connection})
        n_earlier_bytes = held[share.connection] - n_own
        return n_earlier_bytes <= workspace_bytes / n_connections

    def over(self, n_held: int, ceiling: int) -> Set[str]:
        """Return the workspaces whose large bodies exceed their share."""
        workspace_bytes = self._workspace_bytes(self.large, n_held, ceiling)
        held = self.large.by_workspace
        return {name for name in held if held[name] > workspace_bytes}

    def _workspace_bytes(self, part: SharedPart, n_held: int, ceiling: int) -> float:
        """Return how many bytes of a part each active workspace may hold."""
        n_others = n_held - part.by_workspace.total()
        active = (
            self._seen_ms.keys()
            | self.large.by_connection.keys()
            | self.small.by_connection.keys()
        )
        return max(0, ceiling - n_others) / max(1, len(active))


@dataclass
class HeldShare:
    """Hold what one request counts toward its workspace and its connection."""

    shares: MemoryShares
    workspace: str
    connection: int
    # By whether it is a large body.
    n_bytes: Counter[bool] = field(default_factory=Counter)

    def count(self, n_bytes: int, *, is_large: bool) -> None:
        """Count bytes that the request holds more, or fewer if negative."""
        if n_bytes:
            self.n_bytes[is_large] += n_bytes
            self.shares.part(is_large=is_large).count(self, n_bytes)
