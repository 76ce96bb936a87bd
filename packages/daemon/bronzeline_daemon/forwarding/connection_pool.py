"""Pool connections to upstreams and to the store."""

from __future__ import annotations

import asyncio
import select
import socket
import struct
from collections import deque
from dataclasses import dataclass
from typing import ClassVar

from tornado.iostream import IOStream, StreamClosedError

from bronzeline_daemon.forwarding.read_limit import ReadKind, ReadLimit
from bronzeline_kernel.exceptions import UpstreamUnreachableError
from bronzeline_kernel.forwarding import Address, ResponseBudget, ResponseLimits
from bronzeline_kernel.protocols import Clock

__all__ = ["Connection", "ConnectionPool", "accepts_connection", "set_liveness_options"]

# Between regions, connecting takes two one-way latencies of 12 ms and 1 ms at
# the upstream. After about six times as long, the upstream counts as unreachable.
CONNECT_TIMEOUT_MS = 160.0
# Assumed idle timeout of an upstream that announces none.
DEFAULT_IDLE_MS = 4_000.0
# Connections are reused for this share of the idle timeout only, because the
# upstream may close them slightly early.
IDLE_SHARE = 0.7
# The remote end counts as lost when it answers no keep-alive probe or leaves
# bytes unacknowledged for 3 s. Open connections can go silent for good without an
# error.
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
# The kernel would buffer some MB for an upstream that reads slowly, outside the
# account. It doubles this value, so 24 ms between regions allow 10 MB/s.
SEND_BUFFER_BYTES = 128 * 1024
# Linger on, for 0 s: a close then resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
MAX_IDLE_PER_ADDRESS = 16
# A response is late by the time of a few requests at most.
MAX_REQUEST_IDS = 32
# Raised for a port out of range, and for a host that can't be encoded.
INVALID_ADDRESS = (OverflowError, TypeError, ValueError)


class Connection(IOStream):
    """Extend tornado's stream by a limit for reads and a check whether it is idle."""

    # All connections of the process share one event loop.
    read_limit: ClassVar[ReadLimit] = ReadLimit()
    # How many requests the connection has carried, and the ids of the latest ones.
    n_requests = 0
    # What is still to be read of a body whose length is known.
    _n_body_bytes = 0
    _awaits_head = False

    def __init__(self, sock: socket.socket) -> None:
        super().__init__(sock)
        self._request_ids: deque[str] = deque(maxlen=MAX_REQUEST_IDS)

    def record_request(self, request_id: str) -> None:
        """Record that the connection carries a request with this id."""
        self.n_requests += 1
        self._n_body_bytes = 0
        self._awaits_head = True
        if request_id:
            self._request_ids.append(request_id)

    def expect_body(self, n_bytes: int) -> None:
        """Announce the body after a head, part of which may have been read.

        The length is 0 if it is not known.
        """
        self._awaits_head = False
        self._n_body_bytes = max(0, n_bytes - self._read_buffer_size)

    def has_carried(self, request_id: str) -> bool:
        """Return whether one of the latest requests had this id."""
        return request_id in self._request_ids

    def read_from_fd(self, buf: bytearray | memoryview) -> int | None:
        """Read into a buffer; return None if nothing may be read in this turn."""
        kind = self._next_kind()
        n_allowed = self.read_limit.n_allowed(id(self), kind)
        if kind is ReadKind.BODY_OF_KNOWN_LENGTH:
            n_allowed = min(n_allowed, self._n_body_bytes)
        if not n_allowed:
            return None
        n_read = super().read_from_fd(memoryview(buf)[:n_allowed])
        if n_read:
            if kind is ReadKind.BODY_OF_KNOWN_LENGTH:
                self._n_body_bytes -= n_read
            self.read_limit.record(id(self), n_read, kind)
        return n_read

    def _next_kind(self) -> ReadKind:
        if self._n_body_bytes:
            return ReadKind.BODY_OF_KNOWN_LENGTH
        return ReadKind.HEAD if self._awaits_head else ReadKind.OTHER

    def close(self, exc_info: object = False) -> None:
        """Close the connection, and reset it if a request is only partly written.

        The upstream would otherwise read on in what the kernel has buffered.
        """
        if not self.closed() and self.writing():
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        super().close(exc_info)  # type: ignore[arg-type]

    @property
    def is_idle(self) -> bool:
        """Return whether the connection is open and has no unread bytes.

        tornado reads from idle connections, so bytes may be in its buffer already.
        """
        if self.closed() or self._read_buffer_size:
            return False
        poller = select.poll()
        poller.register(self.fileno(), select.POLLIN)
        return not poller.poll(0)


@dataclass(frozen=True)
class IdleConnection:
    """Hold an idle connection and the time until which it may be reused."""

    connection: Connection
    usable_until_ms: float


class ConnectionPool:
    """Pool idle connections by address, and limit what their responses buffer."""

    def __init__(self, clock: Clock, limits: ResponseLimits | None = None) -> None:
        self._clock = clock
        self.response_budget = ResponseBudget(limits or ResponseLimits())
        self._idle: dict[Address, deque[IdleConnection]] = {}
        self.n_opened = 0

    async def acquire(
        self,
        address: Address,
        timeout_ms: float = CONNECT_TIMEOUT_MS,
        *,
        request_id: str = "",
    ) -> Connection:
        """Return an idle or a new connection; raises `UpstreamUnreachableError`.

        A connection that has carried the id of the request is not reused for it: a
        late response to the earlier attempt would bear the same id.
        """
        connection = self._pop_idle(address, request_id)
        if connection is None:
            self.n_opened += 1
            connection = await connect(address, timeout_ms)
        connection.record_request(request_id)
        return connection

    def release(
        self, address: Address, connection: Connection, keep_alive_ms: float | None
    ) -> None:
        """Return a connection to the pool after a complete response."""
        idle = self._idle.setdefault(address, deque())
        if connection.closed() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        usable_ms = IDLE_SHARE * (keep_alive_ms or DEFAULT_IDLE_MS)
        idle.append(IdleConnection(connection, self._clock.now_ms() + usable_ms))
        self._close_expired(idle)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for entry in idle:
                entry.connection.close()
        self._idle.clear()

    def _pop_idle(self, address: Address, request_id: str) -> Connection | None:
        idle = self._idle.get(address, deque())
        for entry in reversed(tuple(idle)):
            if entry.connection.has_carried(request_id):
                continue
            idle.remove(entry)
            is_fresh = self._clock.now_ms() < entry.usable_until_ms
            if is_fresh and entry.connection.is_idle:
                return entry.connection
            entry.connection.close()
        return None

    def _close_expired(self, idle: deque[IdleConnection]) -> None:
        now_ms = self._clock.now_ms()
        while idle and idle[0].usable_until_ms <= now_ms:
            idle.popleft().connection.close()


async def connect(address: Address, timeout_ms: float) -> Connection:
    """Open a new connection; raises `UpstreamUnreachableError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_liveness_options(sock)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    connection = Connection(sock)
    try:
        # asyncio.wait_for loses a cancellation that arrives in the same iteration
        # of the loop as the completed connection.
        async with asyncio.timeout(timeout_ms / 1000.0):
            await connection.connect(address)
    except (StreamClosedError, OSError, TimeoutError, *INVALID_ADDRESS) as error:
        connection.close()
        raise UpstreamUnreachableError(f"{address}: {error}") from None
    except asyncio.CancelledError:
        connection.close()
        raise
    return connection


async def accepts_connection(address: Address, timeout_ms: float) -> bool:
    """Return whether an address accepts a connection, even if it resets it at once.

    An upstream at its connection limit resets connections that it accepted, so
    it is alive. A refused connection means that no process listens.
    """
    try:
        connection = await connect(address, timeout_ms)
    except UpstreamUnreachableError:
        return False
    connection.close()
    return True


def set_liveness_options(sock: socket.socket) -> None:
    """Set TCP options that detect a lost remote end."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
