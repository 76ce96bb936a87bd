"""Keep in the platform's store where streams began, while versions are mixed."""

from __future__ import annotations

import asyncio
import contextlib

from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import StoreUnavailableError
from bronzeline_kernel.forwarding import (
    DirectoryStore,
    OwnOrigins,
    ServiceVersions,
    StreamOrigin,
    StreamOrigins,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["OriginDirectory"]

TICK_S = 0.1
RETRY_S = 0.6
# The store may never take the object.
MAX_RETRY_S = 3.0


class OriginDirectory:
    """Write this router's origins; read those of all routers at its start."""

    def __init__(
        self,
        store: DirectoryStore,
        origins: StreamOrigins,
        versions: ServiceVersions,
        peers: ForwardingPeers,
        clock: Clock,
    ) -> None:
        self._store = store
        self._origins = origins
        self._versions = versions
        self._peers = peers
        self._clock = clock
        self._own = OwnOrigins()
        self._was_read = False
        self._timeout = StoreTimeout()
        self._is_unsure = True
        self._task: asyncio.Task[None] | None = None
        store.era.listen(lambda former_era, era: self._own.forget_stored())
        self._has_begun = asyncio.Event()
        origins.on_began = self._on_began

    def start(self) -> None:
        """Start to read and write."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        retry_s = RETRY_S
        while True:
            await self._wait()
            try:
                await self._synchronize()
            except StoreUnavailableError as error:
                log_event("origins_not_stored", error=str(error))
                self._is_unsure = True
                self._own.forget_stored()
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)
            else:
                self._is_unsure = False
                retry_s = RETRY_S

    def _on_began(self, origin: StreamOrigin, now_ms: float) -> None:
        self._own.add(origin, now_ms)
        self._has_begun.set()

    async def _wait(self) -> None:
        """Wait for a tick or a stream's beginning, which a crash would lose."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(TICK_S):
                await self._has_begun.wait()
        self._has_begun.clear()

    async def _synchronize(self) -> None:
        now_ms = self._clock.now_ms()
        is_mixed = self._versions.is_mixed(now_ms)
        if not self._versions.is_complete or (not is_mixed and not self._was_read):
            return
        if not self._was_read:
            await self._read()
        stored = self._own.to_store(is_mixed, self._peers.n_routers, now_ms)
        if stored is not None:
            await self._timeout.call(
                self._store.write_origins(self._peers.own.router_id, stored),
                is_unsure=self._is_unsure,
            )

    async def _read(self) -> None:
        """Learn the origins of all routers, the former self of this one included."""
        by_router = await self._timeout.call(
            self._store.list_origins(), is_unsure=self._is_unsure
        )
        now_ms = self._clock.now_ms()
        self._was_read = True
        for router_id, origins in by_router.items():
            for origin in origins:
                self._origins.put(origin, now_ms)
                if router_id == self._peers.own.router_id:
                    self._own.add(origin, now_ms)
        n_origins = sum(len(item) for item in by_router.values())
        log_event("origins_read", n_routers=len(by_router), n_origins=n_origins)
