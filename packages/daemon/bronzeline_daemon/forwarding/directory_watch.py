"""Follow configuration and upstreams in the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from dataclasses import dataclass
from random import Random

from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import (
    HistoryLostError,
    StoreUnavailableError,
    UpstreamError,
)
from bronzeline_kernel.forwarding import (
    ConfigReading,
    DirectoryStore,
    ForwardingConfig,
    ForwardingView,
    ProofSource,
    RouterEntry,
    UpstreamChange,
    UpstreamChanges,
    UpstreamListing,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["DirectoryWatch"]

# A call that does not wait proves the configuration current as of now, so the
# proof is at most this old; changes must be in force after 2,500 ms.
CONFIG_POLL_MS = 1_000.0
# Upstreams' changes arrive at once; the wait only bounds how long a silent
# connection goes unnoticed, within the time allowed for leaving upstreams.
UPSTREAM_WAIT_MS = 4_000.0
# Changes come in groups when a zone fails or all start: one call takes them
# together. A leaving upstream must get nothing new after 2,500 ms.
GROUPING_MS = 300.0
# A router whose peers read looks this often whether it must read itself.
IDLE_S = 0.1
RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 450.0
# While the store is away a call that it will never answer may not outlast its
# return: every other one ends after this, ten times what a slow store takes.
# The others have the store's own limit, lest one slower still stays away.
SHORT_LIMIT_MS = 450.0

CONFIG, UPSTREAMS = "config", "upstreams"

OnConfig = Callable[[], None]
# Takes what was asked for and how the call ended.
OnCall = Callable[[str, str], None]


@dataclass(frozen=True)
class Followed:
    """Hold how far the store was followed, and when to go on."""

    revision: int
    next_at_ms: float = 0.0


@dataclass
class Following:
    """Hold how the following of one kind of object stands."""

    # The peer that knows more than can be told in a datagram.
    ahead: RouterEntry | None = None
    is_away: bool = False
    is_short: bool = False
    has_lost_history: bool = False
    call: asyncio.Task[Followed] | None = None


class DirectoryWatch:
    """Keep a view up to date; a loop for each of the two kinds."""

    def __init__(
        self,
        store: DirectoryStore,
        view: ForwardingView,
        clock: Clock,
        random: Random,
        source: ProofSource,
        documents: PeerDocuments,
        on_config: OnConfig,
        on_call: OnCall,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._random = random
        self._source = source
        self._documents = documents
        self._on_config = on_config
        self._on_call = on_call
        self._kinds = {CONFIG: Following(), UPSTREAMS: Following()}
        self._tasks: list[asyncio.Task[None]] = []

    def start(self) -> None:
        """Begin to watch."""
        self._tasks = [
            asyncio.create_task(self._run(CONFIG, self._follow_config)),
            asyncio.create_task(self._run(UPSTREAMS, self._follow_upstreams)),
        ]

    def stop(self) -> None:
        """Stop watching."""
        calls = [kind.call for kind in self._kinds.values() if kind.call]
        for task in (*self._tasks, *calls):
            task.cancel()

    def read_config(self, peer: RouterEntry) -> None:
        """Take the configuration of a peer that has a newer one."""
        self._kinds[CONFIG].ahead = peer

    def list_upstreams(self, peer: RouterEntry) -> None:
        """Take the list of a peer that can't tell all changes."""
        self._kinds[UPSTREAMS].ahead = peer

    async def _run(
        self, what: str, follow: Callable[[int | None], Coroutine[None, None, Followed]]
    ) -> None:
        revision: int | None = None
        kind = self._kinds[what]
        while True:
            peer, kind.ahead = kind.ahead, None
            if peer is not None and await self._take_from(peer, what):
                continue
            must_read_store = self._source.must_read_store(self._clock.now_ms())
            if revision is not None and peer is None and not must_read_store:
                await asyncio.sleep(IDLE_S)
                continue
            if peer is not None:
                revision = None
            try:
                followed = await self._call(what, follow(revision))
                if followed is None:
                    continue
            except HistoryLostError:
                self._on_call(what, "history_lost")
                log_event("history_lost", what=what, revision=revision)
                kind.has_lost_history = True
                revision = None
            except StoreUnavailableError as error:
                self._on_call(what, "unavailable")
                self._note_away(what, str(error))
                wait_ms = self._random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
                await asyncio.sleep(wait_ms / 1000.0)
            else:
                self._on_call(what, "answered")
                self._note_back(what)
                revision = followed.revision
                await self._pause(what, followed.next_at_ms)

    async def _take_from(self, peer: RouterEntry, what: str) -> bool:
        """Take what a peer knows; say whether that could be read."""
        try:
            if what == CONFIG:
                self._put_in_force(await self._documents.read_config(peer), peer)
            else:
                self._take_upstreams_of(
                    peer,
                    await self._documents.read_upstreams(
                        peer, self._view.changes.revision
                    ),
                )
        except UpstreamError as error:
            log_event("peer_not_read", what=what, peer=peer.router_id, error=str(error))
            return False
        return True

    def _take_upstreams_of(
        self, peer: RouterEntry, found: UpstreamListing | UpstreamChanges
    ) -> None:
        if isinstance(found, UpstreamChanges):
            self.apply_changes(found.changes, found.revision)
            return
        is_taken = self._view.apply_peer_listing(found, self._clock.now_ms())
        self._log_listing(found, peer, is_taken)

    async def _call(
        self, what: str, work: Coroutine[None, None, Followed]
    ) -> Followed | None:
        """Make a call that ends early where the store is known to be away.

        Raises `StoreUnavailableError` where it did; None says that the call
        was left for a new one, since the store is back.
        """
        kind = self._kinds[what]
        kind.is_short = self._is_any_away() and not kind.is_short
        limit_s = SHORT_LIMIT_MS / 1000.0 if kind.is_short else None
        call = kind.call = asyncio.create_task(work)
        try:
            async with asyncio.timeout(limit_s):
                return await call
        except TimeoutError:
            raise StoreUnavailableError("no answer while it is away") from None
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            log_event("call_left", what=what)
            return None

    async def _follow_config(self, revision: int | None) -> Followed:
        sent_at_ms = self._clock.now_ms()
        if revision is None and self._may_be_old(CONFIG):
            reading = await self._store.read_config(allow_stale=True)
            self._take_config(reading)
            return Followed(reading.revision)
        if revision is None:
            reading = await self._store.read_config()
        else:
            reading = await self._store.watch_config(revision, 0.0)
        self._take_config(reading)
        if self._view.table is not None:
            self._view.lease.renew(sent_at_ms)
        return Followed(reading.revision, sent_at_ms + CONFIG_POLL_MS)

    def _may_be_old(self, what: str) -> bool:
        """Say whether to begin with old data, at no cost to the store's rate.

        The watch goes on from its revision and brings what came later, unless
        that is forgotten.
        """
        return not self._kinds[what].has_lost_history

    async def _pause(self, what: str, until_ms: float) -> None:
        """Wait, unless a peer tells of something newer."""
        while self._clock.now_ms() < until_ms and self._kinds[what].ahead is None:
            await asyncio.sleep(IDLE_S)

    def _take_config(self, reading: ConfigReading) -> None:
        if reading.config is not None:
            self._put_in_force(reading.config)

    def _put_in_force(
        self, config: ForwardingConfig, peer: RouterEntry | None = None
    ) -> None:
        is_taken = self._view.apply_config(config)
        log_event(
            "configuration_taken" if is_taken else "configuration_declined",
            version=config.version,
            in_force=self._view.version,
            source=_source(peer),
        )
        if is_taken:
            self._on_config()

    def _log_listing(
        self, listing: UpstreamListing, peer: RouterEntry | None, is_taken: bool = True
    ) -> None:
        log_event(
            "upstreams_listed" if is_taken else "upstreams_declined",
            n_upstreams=len(listing.upstreams),
            revision=listing.revision,
            source=_source(peer),
        )

    async def _follow_upstreams(self, revision: int | None) -> Followed:
        if revision is None:
            is_old = self._may_be_old(UPSTREAMS) and not self._view.upstreams.is_loaded
            listing = await self._store.list_upstreams(allow_stale=is_old)
            self._view.apply_listing(listing, self._clock.now_ms())
            self._log_listing(listing, None)
            return Followed(listing.revision)
        # A peer may have told of later changes meanwhile.
        known = max(revision, self._view.changes.revision)
        wait_ms = 0.0 if self._is_any_away() else UPSTREAM_WAIT_MS
        changes = await self._store.watch_upstreams(known, wait_ms)
        self.apply_changes(changes.changes, changes.revision)
        is_grouped = bool(changes.changes)
        next_at_ms = self._clock.now_ms() + GROUPING_MS if is_grouped else 0.0
        return Followed(changes.revision, next_at_ms)

    def apply_changes(self, changes: tuple[UpstreamChange, ...], revision: int) -> None:
        """Take changes of upstreams, from the store or from a peer."""
        self._view.apply_changes(changes, revision, self._clock.now_ms())
        for change in changes:
            entry = change.entry
            log_event(
                "upstream_changed",
                upstream_id=change.upstream_id,
                state="gone" if entry is None else _state(entry.is_leaving),
                revision=revision,
            )

    def _is_any_away(self) -> bool:
        return any(kind.is_away for kind in self._kinds.values())

    def _note_away(self, what: str, error: str) -> None:
        kind = self._kinds[what]
        if not kind.is_away:
            log_event("store_lost", what=what, error=error)
        kind.is_away = True

    def _note_back(self, what: str) -> None:
        kind = self._kinds[what]
        if kind.is_away:
            self._view.upstreams.store_recovered(self._clock.now_ms())
            log_event("store_regained", what=what)
            self._leave_old_calls(kind)
        kind.is_away = False

    def _leave_old_calls(self, answered: Following) -> None:
        """End what was asked before the store went away, and waits for ever."""
        for kind in self._kinds.values():
            if kind is not answered and not kind.is_away and kind.call is not None:
                kind.call.cancel()


def _source(peer: RouterEntry | None) -> str:
    return "store" if peer is None else peer.router_id


def _state(is_leaving: bool) -> str:
    return "leaving" if is_leaving else "ready"
