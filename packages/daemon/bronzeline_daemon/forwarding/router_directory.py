"""Keep the list of routers up to date, from the parent or from the store."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import StoreUnavailableError, UpstreamError
from bronzeline_kernel.forwarding import (
    DirectoryStore,
    ProofSource,
    RouterEntry,
    RouterListAsked,
    RouterListGiven,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["RouterDirectory"]

# When all routers start together, each lists them again after the others have
# written their entries.
ANNOUNCED_WAIT_S = 0.3
# The root lists routers more often at first, while many may be starting.
FIRST_LIST_INTERVALS_S = (0.5, 1.0, 2.0)
LIST_INTERVAL_S = 4.0
# Each level of the tree adds up to this interval until a new router is known.
ASK_INTERVAL_S = 2.0
# A router can't be ready before it knows the others, so its first retry is soon.
FIRST_RETRY_S = 0.25
RETRY_S = 0.75
# After this many requests without a response the store is read.
MAX_UNANSWERED = 3
# After a restoration all routers check their entries, at this rate together. The
# store takes several hundred writes a second.
MAX_CHECKS_PER_S = 200.0
# For this long after a restoration an entry that a list lacks may not be back yet.
# 1,300 routers write theirs within 6.5 s.
RETAIN_MS = 10_000.0


class RouterDirectory:
    """Announce this router, and keep the list of all routers up to date.

    The root of the tree of routers lists them from the store. The others ask
    their parent for the checksum of its list, and fetch the list if it differs.
    """

    def __init__(
        self,
        store: DirectoryStore,
        peers: ForwardingPeers,
        proof_source: ProofSource,
        documents: PeerDocuments,
        clock: Clock,
        random: Random,
    ) -> None:
        self._store = store
        self._peers = peers
        self._proof_source = proof_source
        self._documents = documents
        self._clock = clock
        self._random = random
        self._n_unanswered = 0
        self._timeout = StoreTimeout()
        # Until the store responds for the first time, and after each failed call.
        self._may_get_no_response = True
        self._task: asyncio.Task[None] | None = None
        self._fetches = BackgroundTasks()
        self._retain_until_ms = float("-inf")
        store.era.listen(self._on_restored)
        peers.listen(RouterListAsked, self._on_asked)
        peers.listen(RouterListGiven, self._on_given)

    def start(self) -> None:
        """Start to announce this router and to list the others."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the background tasks."""
        self._fetches.cancel()
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        await self._retry(self._announce)
        intervals_s = iter(FIRST_LIST_INTERVALS_S)
        while True:
            parent = self._proof_source.parent(self._clock.now_ms())
            if parent is not None and self._n_unanswered < MAX_UNANSWERED:
                self._n_unanswered += 1
                self._peers.send_to(
                    RouterListAsked(self._peers.peer_list.digest), parent
                )
                await self._pause(ASK_INTERVAL_S)
                continue
            await self._retry(self._list_routers)
            self._n_unanswered = 0
            await self._pause(next(intervals_s, LIST_INTERVAL_S))

    async def _announce(self) -> None:
        """Write this router's entry if the store doesn't have it; list the others.

        A restarted router finds its entry, and all others that were running.
        """
        own = self._peers.own
        entries = await self._read_entries()
        if own not in entries:
            await self._store.announce_router(own)
            await asyncio.sleep(ANNOUNCED_WAIT_S)
            entries = await self._read_entries()
        self._replace(entries)

    async def _list_routers(self) -> None:
        self._replace(await self._read_entries())

    async def _read_entries(self) -> tuple[RouterEntry, ...]:
        entries = await self._timeout.call(
            self._store.list_routers(), is_unsure=self._may_get_no_response
        )
        self._may_get_no_response = False
        return entries

    def _on_restored(self, former_era: int, era: int) -> None:
        """Write this router's entry again if the copy lacks it; keep the others."""
        self._retain_until_ms = self._clock.now_ms() + RETAIN_MS
        self._fetches.start(self._retry(self._check_entry))

    async def _check_entry(self) -> None:
        n_routers = len(self._peers.peer_list) + 1
        await asyncio.sleep(self._random.uniform(0.0, n_routers / MAX_CHECKS_PER_S))
        own = self._peers.own
        is_stored = await self._timeout.call(
            self._store.has_router(own), is_unsure=False
        )
        if not is_stored:
            await self._store.announce_router(own)
        log_event("router_entry_checked", was_stored=is_stored)

    def _replace(self, entries: tuple[RouterEntry, ...]) -> None:
        if self._clock.now_ms() < self._retain_until_ms:
            entries = (*self._peers.peer_list.all, *entries)
        if self._peers.peer_list.replace(entries):
            now_ms = self._clock.now_ms()
            self._proof_source.set_peers(self._peers.peer_list.all, now_ms)

    async def _retry(self, call: Callable[[], Awaitable[None]]) -> None:
        """Repeat a call until the store responds."""
        pauses_s = iter((FIRST_RETRY_S,))
        while True:
            try:
                await call()
                return
            except StoreUnavailableError as error:
                log_event("peers_not_listed", error=str(error))
                self._may_get_no_response = True
                await self._pause(next(pauses_s, RETRY_S))

    async def _pause(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s * self._random.uniform(0.8, 1.2))

    def _on_asked(self, request: RouterListAsked, peer: RouterEntry) -> None:
        if self._peers.peer_list.is_listed:
            self._peers.send_to(RouterListGiven(self._peers.peer_list.digest), peer)

    def _on_given(self, given: RouterListGiven, peer: RouterEntry) -> None:
        parent = self._proof_source.parent(self._clock.now_ms())
        if parent is None or peer.router_id != parent.router_id:
            return
        self._n_unanswered = 0
        if given.digest != self._peers.peer_list.digest:
            self._fetches.start(self._fetch_from(peer))

    async def _fetch_from(self, peer: RouterEntry) -> None:
        try:
            listing = await self._documents.read_routers(peer)
        except UpstreamError as error:
            log_event(
                "peer_not_read", what="routers", peer=peer.router_id, error=str(error)
            )
            return
        self._replace(listing.routers)
