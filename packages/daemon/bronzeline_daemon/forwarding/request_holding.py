"""Hold a request's reservation for as long as an attempt may need its body."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from bronzeline_kernel.forwarding import Reservation

__all__ = ["RequestHolding"]


class RequestHolding:
    """Share a reservation until the request and all of its attempts have ended."""

    def __init__(self, reservation: Reservation) -> None:
        self._reservation = reservation
        self._n_running = 0
        reservation.share()

    def end(self, tasks: Iterable[asyncio.Task[None] | None]) -> None:
        """Release the share, at once or when the tasks of all attempts are done."""
        running = [task for task in tasks if task is not None and not task.done()]
        self._n_running = len(running)
        if not running:
            self._reservation.release()
        for task in running:
            task.add_done_callback(self._on_done)

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._n_running -= 1
        if not self._n_running:
            self._reservation.release()
