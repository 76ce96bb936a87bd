"""Open connections to upstreams and the store, and keep idle ones."""

from __future__ import annotations

import asyncio
import select
import socket
from collections import deque
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from bronzeline_kernel.exceptions import UpstreamUnreachableError
from bronzeline_kernel.forwarding import Address
from bronzeline_kernel.protocols import Clock

__all__ = ["Channel", "Channels", "accepts_connection", "set_liveness_options"]

# Between regions a connection takes two one-way latencies of 12 ms and a
# millisecond at the upstream; what takes six times as long is not coming.
CONNECT_TIMEOUT_MS = 160.0
# An upstream that names no idle timeout is trusted this long.
DEFAULT_IDLE_MS = 4_000.0
# The upstream may close an idle connection a little before its timeout.
IDLE_SHARE = 0.7
# A peer that answers no keep-alive for three seconds, or leaves bytes
# unacknowledged as long, is gone: open connections can go silent for good.
KEEP_ALIVE_S = 1
KEEP_ALIVE_PROBES = 2
USER_TIMEOUT_MS = 3_000
MAX_IDLE_PER_ADDRESS = 16


class Channel(IOStream):
    """Be a connection that knows whether it is quiet."""

    @property
    def is_idle(self) -> bool:
        """Say whether the connection is open and holds no unasked bytes.

        An idle stream reads what comes, so bytes may be in its buffer already.
        """
        if self.closed() or self._read_buffer_size:
            return False
        poller = select.poll()
        poller.register(self.fileno(), select.POLLIN)
        return not poller.poll(0)


@dataclass(frozen=True)
class IdleChannel:
    """Hold a kept connection and how long it may be used again."""

    connection: Channel
    usable_until_ms: float


class Channels:
    """Hold idle connections by address."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._idle: dict[Address, deque[IdleChannel]] = {}
        self.n_opened = 0

    async def acquire(
        self, address: Address, timeout_ms: float = CONNECT_TIMEOUT_MS
    ) -> Channel:
        """Return a connection; raises `UpstreamUnreachableError`."""
        kept = self._pop_idle(address)
        if kept is not None:
            return kept
        self.n_opened += 1
        return await connect(address, timeout_ms)

    def release(
        self, address: Address, connection: Channel, keep_alive_ms: float | None
    ) -> None:
        """Keep a connection whose last answer was whole."""
        idle = self._idle.setdefault(address, deque())
        if connection.closed() or len(idle) >= MAX_IDLE_PER_ADDRESS:
            connection.close()
            return
        usable_ms = IDLE_SHARE * (keep_alive_ms or DEFAULT_IDLE_MS)
        idle.append(IdleChannel(connection, self._clock.now_ms() + usable_ms))
        self._close_expired(idle)

    def close(self) -> None:
        """Close every idle connection."""
        for idle in self._idle.values():
            for kept in idle:
                kept.connection.close()
        self._idle.clear()

    def _pop_idle(self, address: Address) -> Channel | None:
        idle = self._idle.get(address)
        while idle:
            kept = idle.pop()
            is_fresh = self._clock.now_ms() < kept.usable_until_ms
            if is_fresh and kept.connection.is_idle:
                return kept.connection
            kept.connection.close()
        return None

    def _close_expired(self, idle: deque[IdleChannel]) -> None:
        now_ms = self._clock.now_ms()
        while idle and idle[0].usable_until_ms <= now_ms:
            idle.popleft().connection.close()


async def connect(address: Address, timeout_ms: float) -> Channel:
    """Open a connection; raises `UpstreamUnreachableError`."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_liveness_options(sock)
    connection = Channel(sock)
    try:
        # wait_for loses a cancel that meets the connection.
        async with asyncio.timeout(timeout_ms / 1000.0):
            await connection.connect(address)
    except (StreamClosedError, OSError, TimeoutError) as error:
        connection.close()
        raise UpstreamUnreachableError(f"{address}: {error}") from None
    except asyncio.CancelledError:
        connection.close()
        raise
    return connection


async def accepts_connection(address: Address, timeout_ms: float) -> bool:
    """Say whether a new connection is answered, if only by a reset.

    A reset of a connection beyond the upstream's limit shows a live VM, a
    refused one that nothing listens there.
    """
    try:
        connection = await connect(address, timeout_ms)
    except UpstreamUnreachableError:
        return False
    connection.close()
    return True


def set_liveness_options(sock: socket.socket) -> None:
    """Let the system find out when the other end is gone."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
