"""Queue the tickets that wait for an upstream, by class and workspace."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzeline_kernel.routing.dispatch import Ticket, WorkClass

__all__ = ["AdmissionQueue", "QueueKey", "Waiter", "WaiterOrder"]

MAX_LOOK_AHEAD = 16


@dataclass(frozen=True)
class Waiter:
    """Represent a waiting ticket and the time at which it expires.

    `is_over_budget` marks a retry beyond the retry budget, which ranks as long work.
    """

    ticket: Ticket
    enqueued_at_ms: float
    expires_at_ms: float
    is_over_budget: bool = False


@dataclass(frozen=True, order=True)
class WaiterOrder:
    """Order the waiters of all routers; the least is served first."""

    rank: int
    usage: float
    enqueued_at_ms: float


@dataclass(frozen=True)
class QueueKey:
    """Identify the queue of a waiter."""

    service: str
    model: str
    version: str
    workspace: str
    work_class: WorkClass


class AdmissionQueue:
    """Queue waiters first in, first out for each key."""

    def __init__(self, order_of: Callable[[QueueKey, Waiter], WaiterOrder]) -> None:
        self._order_of = order_of
        self._queues: dict[QueueKey, deque[Waiter]] = {}
        self._keys: dict[str, QueueKey] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._keys

    def put(self, waiter: Waiter) -> None:
        """Add a waiter to the queue of its key."""
        key = key_of(waiter.ticket)
        self._keys[waiter.ticket.ticket_id] = key
        self._queues.setdefault(key, deque()).append(waiter)

    def remove(self, ticket_id: str) -> Waiter | None:
        """Remove a ticket from any position; return None if it does not wait."""
        key = self._keys.pop(ticket_id, None)
        if key is None:
            return None
        queue = self._queues[key]
        waiter = next(item for item in queue if item.ticket.ticket_id == ticket_id)
        queue.remove(waiter)
        if not queue:
            del self._queues[key]
        return waiter

    def best(self, fits: Callable[[Waiter], bool]) -> tuple[WaiterOrder, Waiter] | None:
        """Return the waiter that is served next among those that fit.

        Only the first `MAX_LOOK_AHEAD` waiters of each key are considered.
        """
        found: tuple[WaiterOrder, Waiter] | None = None
        for key, queue in self._queues.items():
            waiter = _first_fitting(queue, fits)
            if waiter is None:
                continue
            order = self._order_of(key, waiter)
            if found is None or order < found[0]:
                found = (order, waiter)
        return found

    def n_ahead(self, order: WaiterOrder) -> int:
        """Return the number of waiters that are served before the given order."""
        return sum(
            len(queue)
            for key, queue in self._queues.items()
            if self._order_of(key, queue[0]) < order
        )

    def groups(self) -> Iterator[tuple[QueueKey, Waiter, int]]:
        """Yield each key with its oldest waiter and its number of waiters."""
        for key, queue in self._queues.items():
            yield key, queue[0], len(queue)

    def waiters(self) -> list[Waiter]:
        """Return all waiters."""
        return [item for queue in self._queues.values() for item in queue]


def key_of(ticket: Ticket) -> QueueKey:
    """Return the queue key of a ticket."""
    return QueueKey(
        ticket.service,
        ticket.model,
        ticket.version,
        ticket.workspace,
        ticket.work_class,
    )


def _first_fitting(
    queue: deque[Waiter], fits: Callable[[Waiter], bool]
) -> Waiter | None:
    for index, waiter in enumerate(queue):
        if index >= MAX_LOOK_AHEAD:
            return None
        if fits(waiter):
            return waiter
    return None
