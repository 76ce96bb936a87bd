"""Probe whether silent upstreams still accept connections."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_daemon.forwarding.connection_pool import (
    CONNECT_TIMEOUT_MS,
    accepts_connection,
)
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_kernel.forwarding import Incarnation, ListedUpstream

__all__ = ["Prober"]

OnResult = Callable[[Incarnation, bool], None]


class Prober:
    """Probe each upstream once at a time, however many requests wait for it."""

    def __init__(self) -> None:
        self._callbacks: dict[Incarnation, list[OnResult]] = {}
        self._tasks = BackgroundTasks()

    def probe(self, upstream: ListedUpstream, on_result: OnResult) -> None:
        """Call back with the upstream and whether it accepts connections."""
        callbacks = self._callbacks.get(upstream.incarnation)
        if callbacks is not None:
            callbacks.append(on_result)
            return
        self._callbacks[upstream.incarnation] = [on_result]
        self._tasks.start(self._probe(upstream))

    async def _probe(self, upstream: ListedUpstream) -> None:
        is_alive = await accepts_connection(upstream.address, CONNECT_TIMEOUT_MS)
        for on_result in self._callbacks.pop(upstream.incarnation):
            on_result(upstream.incarnation, is_alive)
