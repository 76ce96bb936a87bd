"""Keep in the platform's store which software versions each service had lately."""

from __future__ import annotations

import asyncio

from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import StoreUnavailableError
from bronzeline_kernel.forwarding import DirectoryStore, ProofSource, ServiceVersions
from bronzeline_kernel.protocols import Clock

__all__ = ["VersionDirectory"]

TICK_S = 0.5
RETRY_S = 0.6
# The store may never take the object.
MAX_RETRY_S = 3.0


class VersionDirectory:
    """Read the versions at the start; the root of the tree of routers writes them.

    They outlast all routers, so that a stream that is taken up after the loss of all
    goes on if its service has had one version only.
    """

    def __init__(
        self,
        store: DirectoryStore,
        versions: ServiceVersions,
        proof_source: ProofSource,
        clock: Clock,
    ) -> None:
        self._store = store
        self._versions = versions
        self._proof_source = proof_source
        self._clock = clock
        # What is stored, by service, as far as this router knows.
        self._stored: dict[str, tuple[str, ...]] = {}
        self._must_read = True
        self._timeout = StoreTimeout()
        self._is_unsure = True
        self._task: asyncio.Task[None] | None = None
        store.era.listen(lambda former_era, era: self._forget())

    def start(self) -> None:
        """Start to read, and to write what changes."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        retry_s = RETRY_S
        while True:
            try:
                await self._synchronize()
            except StoreUnavailableError as error:
                log_event("versions_not_stored", error=str(error))
                self._is_unsure = True
                await asyncio.sleep(retry_s)
                retry_s = min(MAX_RETRY_S, 2.0 * retry_s)
            else:
                self._is_unsure = False
                retry_s = RETRY_S
                await asyncio.sleep(TICK_S)

    async def _synchronize(self) -> None:
        if not self._versions.is_complete:
            await self._read()
        if not self._proof_source.is_root(self._clock.now_ms()):
            # Another router writes now.
            self._forget()
            return
        if self._must_read:
            await self._read()
        for record in self._versions.records(self._clock.now_ms()):
            if self._stored.get(record.service) == record.versions:
                continue
            await self._timeout.call(
                self._store.write_versions(record), is_unsure=self._is_unsure
            )
            self._stored[record.service] = record.versions
            versions = ",".join(record.versions)
            log_event("versions_stored", service=record.service, versions=versions)

    async def _read(self) -> None:
        records = await self._timeout.call(
            self._store.list_versions(), is_unsure=self._is_unsure
        )
        self._must_read = False
        self._stored = {item.service: item.versions for item in records}
        if not self._versions.is_complete:
            self._versions.learn(records, self._clock.now_ms())

    def _forget(self) -> None:
        self._must_read = True
