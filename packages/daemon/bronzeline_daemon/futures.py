"""Handle futures and tasks whose outcome nobody waits for."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks", "consume_exception"]


def consume_exception(future: asyncio.Future[Any]) -> None:
    """Keep the loop from logging an error that was dealt with elsewhere."""
    if not future.cancelled():
        future.exception()


class BackgroundTasks:
    """Hold tasks until they end, as the loop itself does not."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Begin a piece of work."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Stop all that is not over."""
        for task in self._tasks:
            task.cancel()
