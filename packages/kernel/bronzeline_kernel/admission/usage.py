"""Add up what each workspace uses of the fleet, from this router's view."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Usage", "WorkspaceShare", "WorkspaceUsage"]

MAX_REPORT_AGE_MS = 3_000.0


@dataclass(frozen=True)
class WorkspaceShare:
    """Hold a workspace's weight and its limit over the fleet."""

    weight: float = 1.0
    max_running: int = 10_000


DEFAULT_SHARE = WorkspaceShare()


@dataclass(frozen=True)
class Usage:
    """Hold how much of a workspace's work runs and waits."""

    n_running: int = 0
    n_waiting: int = 0


NO_USAGE = Usage()


@dataclass(frozen=True)
class PeerUsage:
    """Hold what a peer said that it runs, and when."""

    usage: Mapping[str, Usage]
    received_at_ms: float


class WorkspaceUsage:
    """Know own work exactly and the peers' from their reports."""

    def __init__(self) -> None:
        self.shares: Mapping[str, WorkspaceShare] = {}
        self.n_routers = 1
        self._n_running: Counter[str] = Counter()
        self._peers: dict[str, PeerUsage] = {}

    def started(self, workspace: str) -> None:
        """Count a grant of this router."""
        self._n_running[workspace] += 1

    def ended(self, workspace: str) -> None:
        """Count the end of a grant of this router."""
        self._n_running[workspace] -= 1
        if not self._n_running[workspace]:
            del self._n_running[workspace]

    def update_peer(
        self, router_id: str, usage: Mapping[str, Usage], now_ms: float
    ) -> None:
        """Take a peer's report in place of its last one."""
        self._peers[router_id] = PeerUsage(usage, now_ms)

    def keep_only(self, router_ids: frozenset[str], now_ms: float) -> None:
        """Drop the reports of routers that are gone or silent."""
        self._peers = {
            router_id: item
            for router_id, item in self._peers.items()
            if router_id in router_ids
            and now_ms - item.received_at_ms <= MAX_REPORT_AGE_MS
        }

    def local_running(self) -> dict[str, int]:
        """Return what this router runs for each workspace."""
        return dict(self._n_running)

    def n_running(self, workspace: str) -> int:
        """Return what the fleet runs for a workspace."""
        others = sum(
            item.usage.get(workspace, NO_USAGE).n_running
            for item in self._peers.values()
        )
        return self._n_running[workspace] + others

    def running_per_weight(self, workspace: str) -> float:
        """Return what the fleet runs for a workspace, for each unit of weight."""
        return self.n_running(workspace) / self._share(workspace).weight

    def is_at_limit(self, workspace: str) -> bool:
        """Say whether this router runs all that it may for a workspace."""
        n_local = self._n_running[workspace]
        return n_local >= self._local_limit(workspace)

    def is_borrowing(self, workspace: str) -> bool:
        """Say whether this router runs its own part of a limit or more."""
        equal_share = self._share(workspace).max_running / self.n_routers
        return self._n_running[workspace] >= equal_share

    def _local_limit(self, workspace: str) -> float:
        """Return this router's part of a limit over the whole fleet.

        Every router has an equal part, also those that are out of sight, so
        the sides of a partition stay within the limit together. What visible
        peers leave unused is divided among the routers that need more.
        """
        limit = float(self._share(workspace).max_running)
        equal_share = limit / self.n_routers
        n_unused = 0.0
        n_borrowers = 1
        n_others = 0
        for peer in self._peers.values():
            usage = peer.usage.get(workspace, NO_USAGE)
            n_others += usage.n_running
            n_unused += max(0.0, equal_share - usage.n_running - usage.n_waiting)
            n_borrowers += usage.n_running + usage.n_waiting > equal_share
        floor = 1.0 if n_others < limit else 0.0
        return max(floor, float(int(equal_share + n_unused / n_borrowers)))

    def _share(self, workspace: str) -> WorkspaceShare:
        return self.shares.get(workspace, DEFAULT_SHARE)
