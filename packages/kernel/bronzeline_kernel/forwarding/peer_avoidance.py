"""Remember which peers are not asked for proofs, and until when."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["PeerAvoidance"]


@dataclass
class PeerAvoidance:
    """Avoid peers that do not respond, for longer each time in a row.

    The entry of a VM that was replaced under another name stays in the list of
    routers; it must not cost a request in vain every few seconds forever.
    """

    first_ms: float
    max_ms: float
    _until_ms: dict[str, float] = field(default_factory=dict)
    _n_in_row: dict[str, int] = field(default_factory=dict)

    def avoid(self, router_id: str, now_ms: float) -> None:
        """Avoid a peer for some time."""
        n_in_row = self._n_in_row.get(router_id, 0)
        self._n_in_row[router_id] = n_in_row + 1
        avoid_ms = min(self.max_ms, self.first_ms * 2.0**n_in_row)
        self._until_ms[router_id] = now_ms + avoid_ms

    def heard_from(self, router_id: str, now_ms: float) -> None:
        """Shorten the avoidance of a peer that is alive after all."""
        if self._n_in_row.pop(router_id, None) is None:
            return
        until_ms = self._until_ms.get(router_id)
        if until_ms is not None:
            self._until_ms[router_id] = min(until_ms, now_ms + self.first_ms)

    def keep_only(self, router_ids: set[str]) -> None:
        """Forget peers that are no longer listed."""
        for router_id in self._n_in_row.keys() - router_ids:
            del self._n_in_row[router_id]
        for router_id in self._until_ms.keys() - router_ids:
            del self._until_ms[router_id]

    def drop_expired(self, now_ms: float) -> bool:
        """End the avoidances whose time is over; return whether there were any."""
        expired = [
            key for key, until_ms in self._until_ms.items() if until_ms <= now_ms
        ]
        for router_id in expired:
            del self._until_ms[router_id]
        return bool(expired)

    def is_avoided(self, router_id: str) -> bool:
        """Return whether a peer is avoided."""
        return router_id in self._until_ms
