"""Serve a stand-in over HTTP with faults that can be switched on."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Sequence
from dataclasses import dataclass, replace
from typing import Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bronzeline_standins.ports import HOST, free_port

__all__ = ["Faults", "StandinHandler", "StandinServer"]

PAUSE_POLL_S = 0.01


@dataclass(frozen=True)
class Faults:
    """Hold the faults that are switched on."""

    is_paused: bool = False
    is_stalled: bool = False
    silent_before_ms: float = 0.0
    slow_factor: float = 1.0
    latency_ms: float = 0.0
    is_unavailable: bool = False
    n_answers_to_lose: int = 0
    ignores_fence: bool = False
    load_lag_ms: float = 1_000.0
    list_lag_ms: float = 1_000.0


class StandinServer:
    """Listen on a port, and die and come back on it."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.faults = Faults()
        self.is_alive = False
        self._server: HTTPServer | None = None

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the stand-in's own handlers."""
        raise NotImplementedError

    def start(self) -> None:
        """Listen on the port."""
        routes: Sequence[Any] = [
            *self.routes(),
            (r"/control/faults", FaultsHandler, {"server": self}),
        ]
        application = Application(routes, log_function=lambda handler: None)
        self._server = HTTPServer(application)
        self._server.add_sockets(bind_sockets(self.port, HOST))
        self.is_alive = True

    def die(self) -> None:
        """Close the port and every connection at once, and forget all."""
        self.is_alive = False
        if self._server is None:
            return
        self._server.stop()
        for connection in list(self._server._connections):
            connection.stream.close()
        self._server = None

    def set_faults(self, **changes: Any) -> None:
        """Switch faults on or off by name."""
        self.faults = replace(self.faults, **changes)

    def go_silent(self) -> None:
        """Write nothing more on connections that are open now."""
        self.set_faults(silent_before_ms=time.monotonic() * 1000.0)


class StandinHandler(RequestHandler):
    """Hold a request back while its server is paused."""

    server: StandinServer

    def initialize(self, server: StandinServer) -> None:
        """Take the stand-in from the application's table."""
        self.server = server
        self.opened_at_ms = time.monotonic() * 1000.0

    async def prepare(self) -> None:
        """Wait for the end of a pause and for the added latency."""
        await self.wait_while_paused()
        if self.server.faults.latency_ms:
            await asyncio.sleep(self.server.faults.latency_ms / 1000.0)

    async def wait_while_paused(self) -> None:
        """Wait while the server is paused."""
        while self.server.faults.is_paused:
            await asyncio.sleep(PAUSE_POLL_S)

    def send_error(self, status_code: int = 500, **options: Any) -> None:
        """Answer an error, or close where an answer has begun."""
        if self._headers_written:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        super().send_error(status_code, **options)

    def log_exception(self, kind: Any, error: Any, trace: Any) -> None:
        """Log what went wrong, but for the ends of connections."""
        if not isinstance(error, StreamClosedError):
            super().log_exception(kind, error, trace)

    @property
    def is_silent(self) -> bool:
        """Say whether this connection has gone silent."""
        return self.opened_at_ms < self.server.faults.silent_before_ms


class FaultsHandler(StandinHandler):
    """Switch faults over HTTP."""

    async def prepare(self) -> None:
        """Answer also while paused."""

    def get(self) -> None:
        """Show the faults."""
        self.finish(msgspec.to_builtins(self.server.faults))

    def post(self) -> None:
        """Change the named faults; `die` ends the server, for `restart_ms`."""
        changes = msgspec.json.decode(self.request.body)
        must_die = changes.pop("die", False)
        restart_ms = changes.pop("restart_ms", 0.0)
        if changes.pop("go_silent", False):
            self.server.go_silent()
        self.server.set_faults(**changes)
        self.finish(msgspec.to_builtins(self.server.faults))
        loop = asyncio.get_running_loop()
        if must_die:
            loop.call_soon(self.server.die)
        if must_die and restart_ms:
            loop.call_later(restart_ms / 1000.0, self.server.start)
