"""Track the demand of the other routers."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from bronzeline_kernel.admission.queue import QueueKey, WaiterOrder
from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.routing.messages import DemandRow

__all__ = ["DemandTable", "PeerDemand"]

MAX_AGE_MS = 1_000.0


@dataclass
class PeerDemand:
    """Represent the waiting tickets of one kind at a peer."""

    router_id: str
    key: QueueKey
    n_waiting: int
    enqueued_at_ms: float
    received_at_ms: float


class DemandTable:
    """Keep the latest demand that each peer announced."""

    def __init__(self, order_of: Callable[[QueueKey, float], WaiterOrder]) -> None:
        self._order_of = order_of
        self._rows: dict[str, list[PeerDemand]] = {}

    def update(
        self, router_id: str, rows: tuple[DemandRow, ...], now_ms: float
    ) -> None:
        """Replace the demand of a peer with its latest announcement."""
        self._rows[router_id] = [
            PeerDemand(
                router_id, _key(row), row.n_waiting, now_ms - row.oldest_wait_ms, now_ms
            )
            for row in rows
        ]

    def keep_only(self, router_ids: frozenset[str]) -> None:
        """Drop the demand of all other routers."""
        for router_id in [item for item in self._rows if item not in router_ids]:
            del self._rows[router_id]

    def best(
        self, upstream: Upstream, now_ms: float, min_wait_ms: float = 0.0
    ) -> tuple[WaiterOrder, PeerDemand] | None:
        """Return the peer demand that is first in order for an upstream's slot.

        Only demand that has waited for at least `min_wait_ms` is considered.
        """
        found: tuple[WaiterOrder, PeerDemand] | None = None
        for row in self._fresh(now_ms):
            if not _fits(row.key, upstream):
                continue
            if now_ms - row.enqueued_at_ms < min_wait_ms:
                continue
            order = self._order_of(row.key, row.enqueued_at_ms)
            if found is None or order < found[0]:
                found = (order, row)
        return found

    def n_ahead(self, order: WaiterOrder, key: QueueKey, now_ms: float) -> int:
        """Return how many tickets of peers are ahead of a waiter with this order."""
        return sum(
            row.n_waiting
            for row in self._fresh(now_ms)
            if row.key.service == key.service
            and self._order_of(row.key, row.enqueued_at_ms) < order
        )

    def _fresh(self, now_ms: float) -> Iterator[PeerDemand]:
        for rows in self._rows.values():
            for row in rows:
                if row.n_waiting > 0 and now_ms - row.received_at_ms <= MAX_AGE_MS:
                    yield row


def _key(row: DemandRow) -> QueueKey:
    return QueueKey(row.service, row.model, row.version, row.workspace, row.work_class)


def _fits(key: QueueKey, upstream: Upstream) -> bool:
    has_service = key.service == upstream.service
    has_model = not key.model or key.model == upstream.model
    has_version = not key.version or key.version == upstream.version
    return has_service and has_model and has_version
