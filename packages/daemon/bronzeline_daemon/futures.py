"""Handle futures and tasks that nothing awaits."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any

__all__ = ["BackgroundTasks", "consume_exception"]


def consume_exception(future: asyncio.Future[Any]) -> None:
    """Mark a future's exception as retrieved, since it is handled elsewhere."""
    if not future.cancelled():
        future.exception()


class BackgroundTasks:
    """Keep references to tasks until they end, since the loop does not."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a background task."""
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def cancel(self) -> None:
        """Cancel the tasks that are still running."""
        for task in self._tasks:
            task.cancel()
