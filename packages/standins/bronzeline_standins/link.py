"""Simulate a slow link between regions that can be cut or go silent."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from bronzeline_standins.ports import HOST, free_port

__all__ = ["Link"]

READ_BYTES = 65_536


class Link(TCPServer):
    """Forward connections to one server, delayed by the link's one-way latency."""

    def __init__(self, target_port: int, latency_ms: float) -> None:
        super().__init__()
        self.port = free_port()
        self.target_port = target_port
        self.latency_ms = latency_ms
        self.n_bytes_forwarded = 0
        self.is_cut = False
        self._connections: set[LinkConnection] = set()

    def start_listening(self) -> None:
        """Accept connections on the link's port."""
        self.add_sockets(bind_sockets(self.port, HOST))

    def cut(self) -> None:
        """Drop the bytes of open and new connections until the link is healed."""
        self.is_cut = True

    def heal(self) -> None:
        """Let new connections through; those opened before stay silent."""
        if self.is_cut:
            self.go_silent()
        self.is_cut = False

    def go_silent(self) -> None:
        """Drop all bytes of the open connections; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for connection in list(self._connections):
            connection.close()

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Forward one connection until both its ends have closed."""
        connection = LinkConnection(self, stream)
        self._connections.add(connection)
        try:
            await connection.run()
        finally:
            self._connections.discard(connection)
            connection.close()


class LinkConnection:
    """Forward the bytes of one connection in both directions."""

    def __init__(self, link: Link, client: IOStream) -> None:
        self.is_silent = False
        self._link = link
        self._client = client
        self._server: IOStream | None = None

    async def run(self) -> None:
        """Connect to the target and forward until both ends have closed."""
        if self._link.is_cut:
            # A cut link sends no error: only the client's own time-out ends the wait.
            self.is_silent = True
            await self._discard_until_closed()
            return
        await asyncio.sleep(self._link.latency_ms / 1000.0)
        try:
            self._server = await TCPClient().connect(HOST, self._link.target_port)
        except (OSError, StreamClosedError):
            return
        await asyncio.gather(
            OneWayPump(self, self._client, self._server).run(),
            OneWayPump(self, self._server, self._client).run(),
        )

    def close(self) -> None:
        """Close both ends."""
        self._client.close()
        if self._server is not None:
            self._server.close()

    def try_forward(self, data: bytes) -> bool:
        """Count the bytes to forward; return False if the link drops them."""
        if self._link.is_cut:
            self.is_silent = True
        if self.is_silent:
            return False
        self._link.n_bytes_forwarded += len(data)
        return True

    @property
    def latency_s(self) -> float:
        """Return the one-way latency in seconds."""
        return self._link.latency_ms / 1000.0

    async def _discard_until_closed(self) -> None:
        try:
            while True:
                await self._client.read_bytes(READ_BYTES, partial=True)
        except StreamClosedError:
            return


class OneWayPump:
    """Forward the bytes of one direction in order, delayed by the latency."""

    def __init__(
        self, connection: LinkConnection, source: IOStream, target: IOStream
    ) -> None:
        self._connection = connection
        self._source = source
        self._target = target
        self._in_flight: deque[bytes] = deque()

    async def run(self) -> None:
        """Forward until the source closes, then close the target."""
        loop = asyncio.get_running_loop()
        try:
            while True:
                data = await self._source.read_bytes(READ_BYTES, partial=True)
                self._in_flight.append(data)
                loop.call_later(self._connection.latency_s, self._deliver)
        except StreamClosedError:
            await asyncio.sleep(self._connection.latency_s)
        while self._in_flight:
            self._deliver()
        # A silent link drops the end of a connection as it drops bytes.
        if self._connection.try_forward(b""):
            self._target.close()

    def _deliver(self) -> None:
        if not self._in_flight:
            return
        data = self._in_flight.popleft()
        if self._connection.try_forward(data) and not self._target.closed():
            self._target.write(data)
