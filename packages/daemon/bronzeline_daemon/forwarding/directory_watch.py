"""Keep configuration and upstreams up to date with the platform's store."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from random import Random

from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_daemon.forwarding.watch_states import (
    CONFIG,
    UPSTREAMS,
    WatchPosition,
    WatchState,
    WatchStates,
)
from bronzeline_daemon.logs import ExceptionInfo, log_event, log_exception
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
    StorePosition,
    UpstreamChange,
    UpstreamChanges,
    UpstreamListing,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["DirectoryWatch"]

# Changes of upstreams end a long poll at once. Its length only bounds how long a
# silent connection goes unnoticed, within the time allowed for leaving upstreams.
UPSTREAM_WAIT_MS = 4_000.0
# Many upstreams change together when a zone fails or all start; after this pause
# one call reads them all. A leaving upstream must get no new work after 2,500 ms.
GROUPING_MS = 300.0
# A router that gets its data from a peer checks this often whether it must read
# the store.
IDLE_POLL_S = 0.1
# After an error that nothing foresaw, which may come again with each reading.
FAILURE_PAUSE_S = 1.0
OnConfig = Callable[[], None]
# Called with the position to continue from, None for a full read.
Read = Callable[[StorePosition | None], Coroutine[None, None, WatchPosition]]
# Called with the kind of object and the outcome of a call.
OnCall = Callable[[str, str], None]


class DirectoryWatch:
    """Keep a view up to date, with one loop per kind of object."""

    def __init__(
        self,
        store: DirectoryStore,
        view: ForwardingView,
        clock: Clock,
        random: Random,
        proof_source: ProofSource,
        documents: PeerDocuments,
        on_config: OnConfig,
        on_call: OnCall,
    ) -> None:
        self._store = store
        self._view = view
        self._clock = clock
        self._random = random
        self._proof_source = proof_source
        self._documents = documents
        self._on_config = on_config
        self._on_call = on_call
        self._watch_states = WatchStates(proof_source, random)
        self._states = self._watch_states.by_kind
        self._tasks: list[asyncio.Task[None]] = []
        # Why the last reading of the configuration proved nothing.
        self._doubt = ""
        store.era.listen(self._on_restored)

    def start(self) -> None:
        """Start the two loops."""
        self._tasks = [
            asyncio.create_task(self._run(CONFIG, self._poll_config)),
            asyncio.create_task(self._run(UPSTREAMS, self._watch_upstreams)),
        ]

    def stop(self) -> None:
        """Cancel the loops and their calls."""
        calls = [state.call for state in self._states.values() if state.call]
        for task in (*self._tasks, *calls):
            task.cancel()

    def fetch_config_from(self, peer: RouterEntry) -> None:
        """Fetch the configuration of a peer that has a newer one."""
        self._states[CONFIG].peer_ahead = peer

    def fetch_upstreams_from(self, peer: RouterEntry) -> None:
        """Fetch the upstreams of a peer whose changes do not fit a datagram."""
        self._states[UPSTREAMS].peer_ahead = peer

    async def _run(self, kind: str, read: Read) -> None:
        """Read until cancelled; an error of one reading does not end the loop."""
        position: StorePosition | None = None
        state = self._states[kind]
        while True:
            try:
                position = await self._read_next(kind, read, position)
                state.failure = ""
            except Exception as error:
                self._on_call(kind, "failed")
                if state.failure != repr(error):
                    log_exception("watch_failed", _exception_info(error), what=kind)
                state.failure = repr(error)
                position = None
                await asyncio.sleep(FAILURE_PAUSE_S)

    async def _read_next(
        self, kind: str, read: Read, position: StorePosition | None
    ) -> StorePosition | None:
        """Read once from a peer or the store; return the position to continue from."""
        state = self._states[kind]
        peer, state.peer_ahead = state.peer_ahead, None
        if peer is not None and await self._fetch_from(peer, kind):
            return position
        if (
            position is not None
            and peer is None
            and not self._watch_states.must_read(kind, self._clock.now_ms())
        ):
            await asyncio.sleep(IDLE_POLL_S)
            return position
        if peer is not None or self._is_outdated(position):
            position = None
        try:
            read_to = await self._call_store(kind, read(position))
        except HistoryLostError as error:
            self._on_call(kind, "history_lost")
            log_event(
                "history_lost", what=kind, position=str(position), error=str(error)
            )
            state.has_lost_history = True
            return None
        except StoreUnavailableError as error:
            self._on_call(kind, "unavailable")
            self._mark_unavailable(kind, str(error))
            now_ms = self._clock.now_ms()
            pause_ms = self._watch_states.retry_pause_ms(kind, now_ms)
            await self._pause(kind, now_ms + pause_ms)
            return position
        if read_to is None:
            return position
        await self._pause(kind, read_to.next_at_ms)
        return read_to.position

    def _is_outdated(self, position: StorePosition | None) -> bool:
        """Return whether a position is from before the store was restored."""
        return position is not None and position.era != self._store.era.number

    async def _fetch_from(self, peer: RouterEntry, kind: str) -> bool:
        """Fetch and apply a peer's data; return whether the peer answered."""
        try:
            if kind == CONFIG:
                self._apply_config(await self._documents.read_config(peer), peer)
            else:
                self._apply_peer_upstreams(
                    peer,
                    await self._documents.read_upstreams(
                        peer, self._view.changes.position
                    ),
                )
        except UpstreamError as error:
            log_event("peer_not_read", what=kind, peer=peer.router_id, error=str(error))
            return False
        return True

    def _apply_peer_upstreams(
        self, peer: RouterEntry, update: UpstreamListing | UpstreamChanges
    ) -> None:
        if isinstance(update, UpstreamChanges):
            self.apply_changes(update.changes, update.position)
            return
        is_applied = self._view.apply_peer_listing(update, self._clock.now_ms())
        self._log_listing(update, peer, is_applied)

    async def _call_store(
        self, kind: str, work: Coroutine[None, None, WatchPosition]
    ) -> WatchPosition | None:
        """Run a call; return None if it was cancelled for a new one.

        That happens once the store is available again.
        """
        state = self._states[kind]
        is_unsure = self._watch_states.may_get_no_response(kind)
        if kind == CONFIG:
            self._view.contact.record_call(self._clock.now_ms())
        call = state.call = asyncio.create_task(work)
        try:
            return await state.timeout.call(call, is_unsure=is_unsure)
        except asyncio.CancelledError:
            task = asyncio.current_task()
            if task is not None and task.cancelling():
                raise
            log_event("call_left", what=kind)
            return None

    async def _poll_config(self, position: StorePosition | None) -> WatchPosition:
        sent_at_ms = self._clock.now_ms()
        if position is None and self._may_start_stale(CONFIG):
            reading = await self._store.read_config(allow_stale=True)
            self._mark_available(CONFIG)
            self._apply_reading(reading)
            return WatchPosition(reading.position)
        if position is None:
            reading = await self._store.read_config()
        else:
            reading = await self._store.watch_config(position, 0.0)
        self._mark_available(CONFIG)
        self._apply_reading(reading)
        self._log_doubt(self._view.record_reading(sent_at_ms))
        self._proof_source.store_read(self._clock.now_ms())
        interval_ms = self._proof_source.options.poll_interval_ms
        return WatchPosition(reading.position, sent_at_ms + interval_ms)

    def _may_start_stale(self, kind: str) -> bool:
        """Return whether the first read may return old data.

        Such a read does not count against the store's rate limit. The watch
        continues from its position and returns later changes, unless the store
        no longer keeps that part of the history.
        """
        return not self._states[kind].has_lost_history

    async def _pause(self, kind: str, until_ms: float) -> None:
        """Wait until a time, or until a peer has newer data."""
        while self._clock.now_ms() < until_ms and self._states[kind].peer_ahead is None:
            await asyncio.sleep(IDLE_POLL_S)

    def _apply_reading(self, reading: ConfigReading) -> None:
        if reading.config is not None:
            self._view.stored_config.record(reading.config.version)
            self._apply_config(reading.config)

    def _log_doubt(self, doubt: str) -> None:
        """Log when readings begin or cease to prove the configuration current."""
        if doubt != self._doubt:
            log_event(
                "configuration_unproven" if doubt else "configuration_proven",
                reason=doubt,
                in_force=self._view.version,
                stored=self._view.stored_config.version,
            )
        self._doubt = doubt

    def _apply_config(
        self, config: ForwardingConfig, peer: RouterEntry | None = None
    ) -> None:
        is_applied = self._view.apply_config(config, self._clock.now_ms())
        log_event(
            "configuration_taken" if is_applied else "configuration_declined",
            version=config.version,
            in_force=self._view.version,
            needs_keys=config.needs_keys,
            n_workspaces=len(config.workspaces or ()),
            n_keys=sum(len(item.keys) for item in config.workspaces or ()),
            source=_source_name(peer),
        )
        if is_applied:
            self._on_config()

    def _log_listing(
        self,
        listing: UpstreamListing,
        peer: RouterEntry | None,
        is_applied: bool = True,
    ) -> None:
        log_event(
            "upstreams_listed" if is_applied else "upstreams_declined",
            n_upstreams=len(listing.upstreams),
            n_doubted=self._view.upstreams.n_doubted,
            position=str(listing.position),
            source=_source_name(peer),
        )

    async def _watch_upstreams(self, position: StorePosition | None) -> WatchPosition:
        if position is None:
            may_be_stale = (
                self._may_start_stale(UPSTREAMS) and not self._view.upstreams.is_loaded
            )
            listing = await self._store.list_upstreams(allow_stale=may_be_stale)
            self._mark_available(UPSTREAMS)
            self._view.apply_listing(listing, self._clock.now_ms())
            self._log_listing(listing, None)
            return WatchPosition(listing.position)
        # A peer may have sent later changes in the meantime.
        after = max(position, self._view.changes.position)
        wait_ms = 0.0 if self._watch_states.is_any_unavailable else UPSTREAM_WAIT_MS
        changes = await self._store.watch_upstreams(after, wait_ms)
        self._mark_available(UPSTREAMS)
        self.apply_changes(changes.changes, changes.position)
        is_grouped = bool(changes.changes)
        next_at_ms = self._clock.now_ms() + GROUPING_MS if is_grouped else 0.0
        return WatchPosition(changes.position, next_at_ms)

    def apply_changes(
        self, changes: tuple[UpstreamChange, ...], position: StorePosition
    ) -> None:
        """Apply and log changes of upstreams from the store or from a peer."""
        # An entry that can't be read may be written again and again.
        known = [
            change
            for change in changes
            if change.entry is not None
            or self._view.upstreams.get(change.upstream_id) is not None
        ]
        now_ms = self._clock.now_ms()
        self._view.apply_changes(changes, position, now_ms)
        for change in known:
            entry = change.entry
            held_for_ms = self._view.upstreams.held_for_ms(change.upstream_id, now_ms)
            log_event(
                "upstream_changed",
                upstream_id=change.upstream_id,
                state="gone" if entry is None else _state_name(entry.is_leaving),
                version="" if entry is None else entry.version,
                position=str(position),
                held_for_ms=round(held_for_ms),
            )

    def _on_restored(self, former_era: int, era: int) -> None:
        """Read in full what calls from before the restoration would not return.

        Upstreams that are missing from the copy have time to register again, and those
        that had left may be listed in it as they were before.
        """
        self._view.store_restored(self._clock.now_ms())
        answered = asyncio.current_task()
        for state in self._states.values():
            state.has_lost_history = True
            if state.call is not None and state.call is not answered:
                state.call.cancel()

    def _mark_unavailable(self, kind: str, error: str) -> None:
        state = self._states[kind]
        if not state.is_unavailable:
            log_event("store_lost", what=kind, error=error)
        state.is_unavailable = True
        state.n_failures += 1
        self._view.contact.record_failure(self._clock.now_ms())

    def _mark_available(self, kind: str) -> None:
        """Record that a call was answered, before its content is applied.

        Removals are held after an outage, also those in the first answer.
        """
        self._on_call(kind, "answered")
        state = self._states[kind]
        now_ms = self._clock.now_ms()
        away_ms = self._view.store_answered(now_ms)
        if away_ms is not None:
            log_event("removals_held", source="store", away_ms=round(away_ms))
        if state.is_unavailable:
            log_event("store_regained", what=kind)
            self._cancel_stale_calls(state)
        state.was_read = True
        state.is_unavailable = False
        state.n_failures = 0

    def _cancel_stale_calls(self, answered: WatchState) -> None:
        """Cancel calls from before the outage, which may never be answered."""
        for state in self._states.values():
            if (
                state is not answered
                and not state.is_unavailable
                and state.call is not None
            ):
                state.call.cancel()


def _exception_info(error: Exception) -> ExceptionInfo:
    return type(error), error, error.__traceback__


def _source_name(peer: RouterEntry | None) -> str:
    return "store" if peer is None else peer.router_id


def _state_name(is_leaving: bool) -> str:
    return "leaving" if is_leaving else "ready"
