"""Track each workspace's use of the fleet, as known to this router."""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["Usage", "WorkspaceShare", "WorkspaceUsage"]

MAX_REPORT_AGE_MS = 3_000.0


@dataclass(frozen=True)
class WorkspaceShare:
    """Hold a workspace's weight and its limit across the fleet."""

    weight: float = 1.0
    max_running: int = 10_000


DEFAULT_SHARE = WorkspaceShare()


@dataclass(frozen=True)
class Usage:
    """Hold how much work of a workspace runs and waits."""

    n_running: int = 0
    n_waiting: int = 0


NO_USAGE = Usage()


@dataclass(frozen=True)
class PeerUsage:
    """Hold the usage that a peer reported, and when."""

    usage: Mapping[str, Usage]
    received_at_ms: float


class WorkspaceUsage:
    """Combine exact local usage with the usage that peers report."""

    def __init__(self) -> None:
        self.shares: Mapping[str, WorkspaceShare] = {}
        self.n_routers = 1
        self._n_running: Counter[str] = Counter()
        self._peers: dict[str, PeerUsage] = {}

    def started(self, workspace: str) -> None:
        """Count a grant that this router started."""
        self._n_running[workspace] += 1

    def ended(self, workspace: str) -> None:
        """Count a grant that this router ended."""
        self._n_running[workspace] -= 1
        if not self._n_running[workspace]:
            del self._n_running[workspace]

    def update_peer(
        self, router_id: str, usage: Mapping[str, Usage], now_ms: float
    ) -> None:
        """Replace the usage reported by a peer."""
        self._peers[router_id] = PeerUsage(usage, now_ms)

    def keep_only(self, router_ids: frozenset[str], now_ms: float) -> None:
        """Drop outdated reports and those of all other routers."""
        self._peers = {
            router_id: item
            for router_id, item in self._peers.items()
            if router_id in router_ids
            and now_ms - item.received_at_ms <= MAX_REPORT_AGE_MS
        }

    def local_running(self) -> dict[str, int]:
        """Return the number of grants that this router runs for each workspace."""
        return dict(self._n_running)

    def n_running(self, workspace: str) -> int:
        """Return the number of grants that the fleet runs for a workspace."""
        others = sum(
            item.usage.get(workspace, NO_USAGE).n_running
            for item in self._peers.values()
        )
        return self._n_running[workspace] + others

    def running_per_weight(self, workspace: str) -> float:
        """Return the grants that the fleet runs for a workspace, per unit of weight."""
        return self.n_running(workspace) / self._share(workspace).weight

    def is_at_limit(self, workspace: str) -> bool:
        """Return whether this router has reached its part of a workspace's limit."""
        n_local = self._n_running[workspace]
        return n_local >= self._local_limit(workspace)

    def is_borrowing(self, workspace: str) -> bool:
        """Return whether this router runs its equal share of a limit or more."""
        equal_share = self._share(workspace).max_running / self.n_routers
        return self._n_running[workspace] >= equal_share

    def _local_limit(self, workspace: str) -> float:
        """Return this router's part of a limit on the whole fleet.

        Every router, even an unreachable one, has an equal share, so the sides of
        a partition together stay within the limit. The unused shares of visible
        peers are divided among the routers that need more.
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
