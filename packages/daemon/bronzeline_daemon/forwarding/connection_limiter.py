"""Bound the connections to this router's listeners and what they hold."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from tornado.iostream import IOStream

from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.forwarding import (
    CONNECTION_BYTES,
    N_BODY_COPIES,
    Candidate,
    ConnectionLimits,
    ConnectionState,
    HeldKind,
    HeldShare,
    MemoryAccount,
    choose_to_close,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["CALLERS", "BoundedStream", "ConnectionEntry", "ConnectionLimiter"]

# The listener of callers; all others have the lower limit for connections.
CALLERS = "callers"
# A caller that reads nothing for so long is given up. Engines cut off a response
# that is unread for some seconds, so waiting longer would not save a stream.
MAX_UNREAD_MS = 10_000.0
SWEEP_INTERVAL_S = 0.25
# A search among all connections takes up to some ms.
SEARCH_INTERVAL_MS = 50.0
# A caller with fewer unread bytes is not closed to free memory.
MIN_UNREAD_BYTES = 16 * 1024


class BoundedStream(IOStream):
    """Report what was written and not yet sent, and the end of the connection."""

    entry: ConnectionEntry

    def write(self, data: bytes | memoryview) -> asyncio.Future[None]:
        """Write bytes and count them until they are sent."""
        written = super().write(data)
        self.entry.add_unsent(len(data))
        return written

    def write_to_fd(self, data: memoryview) -> int:
        """Send bytes and count them as sent."""
        n_bytes = super().write_to_fd(data)
        if n_bytes:
            self.entry.record_sent(n_bytes)
        return n_bytes

    def close(self, exc_info: object = False) -> None:
        """Close the connection and release what it held."""
        super().close(exc_info)  # type: ignore[arg-type]
        self.entry.end()


@dataclass(eq=False)
class ConnectionEntry:
    """Hold the state of one connection, and refuse its request when asked to."""

    connection_limiter: ConnectionLimiter
    listener: str
    stream: BoundedStream
    # Unlike an object's id, never used again.
    number: int = 0
    # The workspace of the latest request.
    workspace: str = ""
    state: ConnectionState = ConnectionState.HEAD
    since_ms: float = 0.0
    sent_at_ms: float = 0.0
    n_body_bytes: int = 0
    n_unsent_bytes: int = 0
    is_over: bool = False
    # Refuses a request whose body is being read; closes the connection by default.
    refuse: Callable[[], None] | None = None

    def enter(self, state: ConnectionState) -> None:
        """Record what the connection waits for from now on."""
        self.state = state
        self.since_ms = self.connection_limiter.clock.now_ms()
        self.n_body_bytes = 0
        self.refuse = None
        self.connection_limiter.waiting.pop(self, None)
        if state is ConnectionState.HEAD and not self.is_over:
            self.connection_limiter.waiting[self] = None

    def add_unsent(self, n_bytes: int) -> None:
        """Count bytes that are written and not yet sent."""
        if self.is_over:
            return
        if not self.n_unsent_bytes:
            self.sent_at_ms = self.connection_limiter.clock.now_ms()
        # tornado may have sent them within the write.
        self.n_unsent_bytes += n_bytes
        self.connection_limiter.account.add(HeldKind.RESPONSE, n_bytes)
        if self.connection_limiter.account.is_over and self.n_unsent_bytes > 0:
            self.connection_limiter.close_unread(self)

    def record_sent(self, n_bytes: int) -> None:
        """Count bytes that the caller's side has taken."""
        if self.is_over:
            return
        self.sent_at_ms = self.connection_limiter.clock.now_ms()
        self.n_unsent_bytes -= n_bytes
        self.connection_limiter.account.release(HeldKind.RESPONSE, n_bytes)

    def end(self) -> None:
        """Release what the connection held; a second call has no effect."""
        if self.is_over:
            return
        self.is_over = True
        # Refers to the request's head, which a cycle of references would keep.
        self.refuse = None
        self.connection_limiter.waiting.pop(self, None)
        self.connection_limiter.entries[self.listener].pop(self, None)
        account = self.connection_limiter.account
        account.release(HeldKind.CONNECTION, CONNECTION_BYTES)
        account.release(HeldKind.RESPONSE, self.n_unsent_bytes)
        self.n_unsent_bytes = 0

    def candidate(self) -> Candidate[ConnectionEntry]:
        """Return what decides whether the connection may be closed for another."""
        if self.n_unsent_bytes > 0:
            return Candidate(self, ConnectionState.READER, self.sent_at_ms)
        return Candidate(self, self.state, self.since_ms, self.n_body_bytes)

    def close(self) -> None:
        """Refuse the request that is being read, if any, and close the connection."""
        if self.state is ConnectionState.BODY and self.refuse is not None:
            self.refuse()
        self.stream.close()


@dataclass
class ConnectionLimiter:
    """Admit connections to all listeners of the process within one account."""

    account: MemoryAccount
    limits: ConnectionLimits
    clock: Clock
    logs: LogLimiter
    # Called with the reason when a connection or request is turned away.
    on_turned_away: Callable[[str], None] = lambda reason: None
    # Returns the workspace of a key, empty for an unknown key.
    find_workspace: Callable[[str], str] = lambda key: ""
    entries: dict[str, dict[ConnectionEntry, None]] = field(default_factory=dict)
    # Connections that wait for a head, the longest first.
    waiting: dict[ConnectionEntry, None] = field(default_factory=dict)
    _search_due_ms: float = 0.0
    _body_search_due_ms: float = 0.0
    _numbers: count[int] = field(default_factory=count)
    _timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start to close the connections of callers that don't read."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    def stop(self) -> None:
        """Stop the sweeps."""
        if self._timer is not None:
            self._timer.cancel()

    def n_connections(self, listener: str) -> int:
        """Return how many connections a listener has."""
        return len(self.entries.get(listener, ()))

    def n_unread(self, listener: str) -> int:
        """Return at how many connections of a listener bytes wait to be sent."""
        return sum(x.n_unsent_bytes > 0 for x in self.entries.get(listener, ()))

    def admit(self, listener: str) -> bool:
        """Reserve room for a new connection, if need be that of another one."""
        entries = self.entries.setdefault(listener, {})
        is_callers = listener == CALLERS
        limit = self.limits.callers if is_callers else self.limits.other
        if len(entries) >= limit:
            self.make_room(listener)
        if len(entries) < limit and self.account.reserve(
            HeldKind.CONNECTION, CONNECTION_BYTES
        ):
            return True
        self.turn_away("connection_refused", listener=listener)
        return False

    def register(self, listener: str, stream: BoundedStream) -> ConnectionEntry:
        """Return the entry of an admitted connection."""
        now_ms = self.clock.now_ms()
        entry = ConnectionEntry(
            self,
            listener,
            stream,
            next(self._numbers),
            since_ms=now_ms,
            sent_at_ms=now_ms,
        )
        stream.entry = entry
        self.entries[listener][entry] = None
        self.waiting[entry] = None
        return entry

    def make_room(self, listener: str | None = None) -> None:
        """Close the connection that may best be closed, at one listener or at any."""
        now_ms = self.clock.now_ms()
        waiting = next(
            (x for x in self.waiting if listener in (None, x.listener)), None
        )
        if waiting is not None:
            self._close(waiting, "connection_closed_for_room")
            return
        if now_ms < self._search_due_ms:
            return
        self._search_due_ms = now_ms + SEARCH_INTERVAL_MS
        names = self.entries if listener is None else (listener,)
        candidates = [x.candidate() for name in names for x in self.entries[name]]
        chosen = choose_to_close(candidates, now_ms)
        if chosen is not None:
            self._search_due_ms = now_ms
            self._close(chosen.key, "connection_closed_for_room")

    def open_share(self, entry: ConnectionEntry, key: str) -> HeldShare:
        """Return where a new request counts toward the workspace of its key."""
        entry.workspace = self.find_workspace(key)
        shares = self.account.shares
        return shares.open(entry.workspace, entry.number, self.clock.now_ms())

    def free_body(self, entry: ConnectionEntry, n_missing_bytes: int) -> bool:
        """Refuse the largest unfinished body of workspaces that exceed their share.

        Return False if those of other workspaces together don't free what is missing:
        they would be refused for nothing.
        """
        account = self.account
        ceiling = account.limits.ceiling(HeldKind.LARGE_BODY)
        over = account.shares.over(account.n_bytes, ceiling) - {entry.workspace}
        now_ms = self.clock.now_ms()
        if not over or now_ms < self._body_search_due_ms:
            return False
        bodies = [
            x
            for x in self.entries.get(CALLERS, ())
            if x.state is ConnectionState.BODY and x.workspace in over
        ]
        if N_BODY_COPIES * sum(x.n_body_bytes for x in bodies) < n_missing_bytes:
            self._body_search_due_ms = now_ms + SEARCH_INTERVAL_MS
            return False
        largest = max(bodies, key=lambda x: x.n_body_bytes)
        self._close(largest, "body_closed_for_share")
        return True

    def close_unread(self, writer: ConnectionEntry) -> None:
        """Close callers that read the least, until the account is within its limit."""
        unread = sorted(
            (
                entry
                for entries in self.entries.values()
                for entry in entries
                if entry is not writer and entry.n_unsent_bytes > MIN_UNREAD_BYTES
            ),
            key=lambda entry: entry.sent_at_ms,
        )
        for entry in unread:
            if not self.account.is_over:
                break
            self._close(entry, "response_unread_memory_full")

    def turn_away(self, reason: str, **fields: object) -> None:
        """Log and count that a connection or a request was turned away."""
        self.on_turned_away(reason)
        self.logs.info(
            "turned_away", reason=reason, held_bytes=self.account.n_bytes, **fields
        )

    def _close(self, entry: ConnectionEntry, reason: str) -> None:
        self.turn_away(
            reason,
            listener=entry.listener,
            state=entry.candidate().state.name.lower(),
            age_ms=round(self.clock.now_ms() - entry.since_ms),
            unread_bytes=entry.n_unsent_bytes,
        )
        entry.close()

    def _sweep(self) -> None:
        now_ms = self.clock.now_ms()
        unread = [
            entry
            for entries in self.entries.values()
            for entry in entries
            if entry.n_unsent_bytes > 0 and now_ms - entry.sent_at_ms > MAX_UNREAD_MS
        ]
        for entry in unread:
            self._close(entry, "response_unread")
        self.start()
