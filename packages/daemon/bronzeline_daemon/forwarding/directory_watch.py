"""Follow configuration and upstreams in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import HistoryLostError, StoreUnavailableError
from bronzeline_kernel.forwarding import (
    ConfigReading,
    DirectoryStore,
    ForwardingView,
    UpstreamChanges,
    UpstreamListing,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["DirectoryWatch"]

# A call proves the configuration current as of its sending, so a lease of
# 5,000 ms bears two of these and the time of an answer.
CONFIG_WAIT_MS = 1_600.0
# Upstreams' changes arrive at once; the wait only bounds how long a silent
# connection goes unnoticed, within the time allowed for leaving upstreams.
UPSTREAM_WAIT_MS = 4_000.0
# Changes come in groups when a zone fails: one call takes them together.
GROUPING_MS = 120.0
RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 450.0

OnConfig = Callable[[], None]


class DirectoryWatch:
    """Keep a view up to date; a loop for each of the two kinds."""

    def __init__(
        self,
        store: DirectoryStore,
        view: ForwardingView,
        clock: Clock,
        random: Random,
        on_config: OnConfig,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._random = random
        self._on_config = on_config
        self._is_away: dict[str, bool] = {}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to watch."""
        self._tasks = [
            asyncio.create_task(self._run("config", self._follow_config)),
            asyncio.create_task(self._run("upstreams", self._follow_upstreams)),
        ]

    def stop(self) -> None:
        """Stop watching."""
        for task in self._tasks:
            task.cancel()

    async def _run(
        self, what: str, follow: Callable[[int | None], Awaitable[int]]
    ) -> None:
        revision: int | None = None
        while True:
            try:
                revision = await follow(revision)
            except HistoryLostError:
                log_event("history_lost", what=what, revision=revision)
                revision = None
            except StoreUnavailableError as error:
                self._note_away(what, str(error))
                wait_ms = self._random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
                await asyncio.sleep(wait_ms / 1000.0)
            else:
                self._note_back(what)

    async def _follow_config(self, revision: int | None) -> int:
        sent_at_ms = self._clock.now_ms()
        if revision is None:
            reading = await self._store.read_config()
        else:
            reading = await self._store.watch_config(revision, CONFIG_WAIT_MS)
        self._take_config(reading)
        if self._view.table is not None:
            self._view.lease.prove(sent_at_ms)
        return reading.revision

    def _take_config(self, reading: ConfigReading) -> None:
        if reading.config is None:
            return
        is_taken = self._view.take_config(reading.config)
        log_event(
            "configuration_taken" if is_taken else "configuration_declined",
            version=reading.config.version,
            in_force=self._view.version,
            revision=reading.revision,
        )
        if is_taken:
            self._on_config()

    async def _follow_upstreams(self, revision: int | None) -> int:
        if revision is None:
            listing = await self._store.list_upstreams()
            self._take_listing(listing)
            return listing.revision
        changes = await self._store.watch_upstreams(revision, UPSTREAM_WAIT_MS)
        self._take_changes(changes)
        if changes.changes:
            await asyncio.sleep(GROUPING_MS / 1000.0)
        return changes.revision

    def _take_listing(self, listing: UpstreamListing) -> None:
        now_ms = self._clock.now_ms()
        self._view.upstreams.replace_all(listing.upstreams, now_ms)
        log_event(
            "upstreams_listed",
            n_upstreams=len(listing.upstreams),
            revision=listing.revision,
        )

    def _take_changes(self, changes: UpstreamChanges) -> None:
        now_ms = self._clock.now_ms()
        for change in changes.changes:
            entry = change.entry
            if entry is None:
                self._view.upstreams.remove(change.upstream_id, now_ms)
            else:
                self._view.upstreams.put(entry)
            log_event(
                "upstream_changed",
                upstream_id=change.upstream_id,
                state="gone" if entry is None else _state(entry.is_leaving),
                revision=changes.revision,
            )

    def _note_away(self, what: str, error: str) -> None:
        if not self._is_away.get(what):
            log_event("store_lost", what=what, error=error)
        self._is_away[what] = True

    def _note_back(self, what: str) -> None:
        if self._is_away.get(what):
            self._view.upstreams.store_was_away(self._clock.now_ms())
            log_event("store_regained", what=what)
        self._is_away[what] = False


def _state(is_leaving: bool) -> str:
    return "leaving" if is_leaving else "ready"
