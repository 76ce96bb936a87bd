"""Serve stand-ins over HTTP, with faults that can be switched on."""

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
    """Hold the current faults of one stand-in."""

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
    """Serve a stand-in on a fixed port, on which it can be killed and restarted."""

    def __init__(self, port: int = 0) -> None:
        self.port = port or free_port()
        self.faults = Faults()
        self.is_alive = False
        self._server: HTTPServer | None = None

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the handlers of the stand-in's API."""
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
        """Close the port and every connection at once, as a killed process does."""
        self.is_alive = False
        if self._server is None:
            return
        self._server.stop()
        for connection in list(self._server._connections):
            connection.stream.close()
        self._server = None

    def set_faults(self, **changes: Any) -> None:
        """Change faults by their field names."""
        self.faults = replace(self.faults, **changes)

    def go_silent(self) -> None:
        """Stop writing to the connections that are open now, without closing them."""
        self.set_faults(silent_before_ms=time.monotonic() * 1000.0)


class StandinHandler(RequestHandler):
    """Delay requests while the server is paused, and by its added latency."""

    server: StandinServer

    def initialize(self, server: StandinServer) -> None:
        """Store the server, which the application passes in, and the opening time."""
        self.server = server
        self.opened_at_ms = time.monotonic() * 1000.0

    async def prepare(self) -> None:
        """Wait until the server isn't paused, then for its added latency."""
        await self.wait_while_paused()
        if self.server.faults.latency_ms:
            await asyncio.sleep(self.server.faults.latency_ms / 1000.0)

    async def wait_while_paused(self) -> None:
        """Wait while the server is paused."""
        while self.server.faults.is_paused:
            await asyncio.sleep(PAUSE_POLL_S)

    def send_error(self, status_code: int = 500, **options: Any) -> None:
        """Respond with an error, or close the connection if a response has begun."""
        if self._headers_written:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        super().send_error(status_code, **options)

    def log_exception(self, kind: Any, error: Any, trace: Any) -> None:
        """Log an exception, unless the client closed the connection."""
        if not isinstance(error, StreamClosedError):
            super().log_exception(kind, error, trace)

    @property
    def is_silent(self) -> bool:
        """Return whether this connection has gone silent."""
        return self.opened_at_ms < self.server.faults.silent_before_ms


class FaultsHandler(StandinHandler):
    """Show and change the faults over HTTP."""

    async def prepare(self) -> None:
        """Respond even while the server is paused."""

    def get(self) -> None:
        """Respond with the current faults."""
        self.finish(msgspec.to_builtins(self.server.faults))

    def post(self) -> None:
        """Change faults by name; `die` kills the server, for `restart_ms` if given."""
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
