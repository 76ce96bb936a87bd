"""Listen for HTTP connections within the limits of the process."""

from __future__ import annotations

import socket
from collections.abc import Callable, Iterable

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.ioloop import IOLoop

from bronzeline_daemon.forwarding.connection_limiter import (
    BoundedStream,
    ConnectionEntry,
    ConnectionLimiter,
)
from bronzeline_daemon.futures import consume_exception
from bronzeline_kernel.forwarding import ConnectionState

__all__ = ["BoundedServer", "PlainServer"]

READ_CHUNK_BYTES = 16 * 1024
# Heads of the platform and of peers have a few fields.
MAX_PLAIN_HEAD_BYTES = 16 * 1024
PLAIN_IDLE_S = 15.0
MAX_ACCEPTS_IN_TURN = 16
# The kernel's buffers of a connection would grow to some MB for a caller that does
# not read, outside the account, and would hide for long that it doesn't.
SOCKET_BUFFER_BYTES = 64 * 1024
# Without free descriptors, accept fails at once each time that it is called.
ACCEPT_PAUSE_S = 0.1


class Acceptor:
    """Accept connections; pause when the process has no descriptors left."""

    def __init__(
        self,
        sock: socket.socket,
        on_accept: Callable[[socket.socket, object], None],
        on_failure: Callable[[OSError], None],
    ) -> None:
        self._sock = sock
        self._on_accept = on_accept
        self._on_failure = on_failure
        self._loop = IOLoop.current()
        self._is_stopped = False
        self._pause: object | None = None
        self._resume()

    def stop(self) -> None:
        """Stop to accept connections."""
        self._is_stopped = True
        if self._pause is not None:
            self._loop.remove_timeout(self._pause)
        else:
            self._loop.remove_handler(self._sock)

    def _resume(self) -> None:
        self._pause = None
        self._loop.add_handler(self._sock, self._accept, IOLoop.READ)

    def _accept(self, sock: socket.socket, events: int) -> None:
        for _ in range(MAX_ACCEPTS_IN_TURN):
            if self._is_stopped:
                return
            try:
                connection, address = sock.accept()
            except BlockingIOError:
                return
            except ConnectionAbortedError:
                continue
            except OSError as error:
                self._loop.remove_handler(sock)
                self._pause = self._loop.call_later(ACCEPT_PAUSE_S, self._resume)
                self._on_failure(error)
                return
            self._on_accept(connection, address)


class BoundedServer(HTTPServer):
    """Serve HTTP on connections that a limiter admits."""

    connection_limiter: ConnectionLimiter
    listener: str

    def join(self, connection_limiter: ConnectionLimiter, listener: str) -> None:
        """Let a limiter admit the connections; must precede `add_sockets`."""
        self.connection_limiter, self.listener = connection_limiter, listener

    def add_sockets(self, sockets: Iterable[socket.socket]) -> None:
        """Start to accept connections."""
        for sock in sockets:
            acceptor = Acceptor(sock, self._admit, self._on_accept_failed)
            self._sockets[sock.fileno()] = sock
            self._handlers[sock.fileno()] = acceptor.stop

    def _admit(self, connection: socket.socket, address: object) -> None:
        if not self.connection_limiter.admit(self.listener):
            connection.close()
            return
        for option in (socket.SO_SNDBUF, socket.SO_RCVBUF):
            connection.setsockopt(socket.SOL_SOCKET, option, SOCKET_BUFFER_BYTES)
        stream = BoundedStream(connection, read_chunk_size=READ_CHUNK_BYTES)
        self.connection_limiter.register(self.listener, stream)
        self.handle_stream(stream, address)  # type: ignore[arg-type]

    def _on_accept_failed(self, error: OSError) -> None:
        self.connection_limiter.turn_away(
            "accept_failed", listener=self.listener, error=str(error)
        )
        self.connection_limiter.make_room()


class PlainServer(BoundedServer):
    """Serve requests without bodies; others are refused."""

    def initialize(  # type: ignore[override]
        self, respond: Callable[[HTTPServerRequest], None]
    ) -> None:
        """Set the function that responds; tornado calls this from the constructor."""
        self._respond_to = respond
        super().initialize(
            respond,
            max_header_size=MAX_PLAIN_HEAD_BYTES,
            idle_connection_timeout=PLAIN_IDLE_S,
        )

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        stream = request_conn.stream
        assert isinstance(stream, BoundedStream)
        stream.entry.enter(ConnectionState.HEAD)
        return PlainReader(request_conn, stream.entry, self._respond_to)


class PlainReader(HTTPMessageDelegate):
    """Read one request without a body."""

    def __init__(
        self,
        connection: HTTP1Connection,
        entry: ConnectionEntry,
        respond: Callable[[HTTPServerRequest], None],
    ) -> None:
        self._connection = connection
        self._entry = entry
        self._respond = respond
        self._request: HTTPServerRequest | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Refuse a request with a body."""
        assert isinstance(start_line, RequestStartLine)
        self._entry.enter(ConnectionState.RUNNING)
        has_body = headers.get("Content-Length", "0").strip("0") != ""
        if has_body or "Transfer-Encoding" in headers:
            self._entry.connection_limiter.turn_away(
                "body_unexpected", listener=self._entry.listener
            )
            fields = HTTPHeaders({"Content-Length": "0", "Connection": "close"})
            refusal = ResponseStartLine("HTTP/1.1", 413, "Request Entity Too Large")
            written = self._connection.write_headers(refusal, fields)
            written.add_done_callback(consume_exception)
            self._connection.finish()
            return
        self._request = HTTPServerRequest(
            connection=self._connection, start_line=start_line, headers=headers
        )

    def data_received(self, chunk: bytes) -> None:
        """Discard bytes of a body that was refused."""

    def finish(self) -> None:
        """Respond to a complete request."""
        if self._request is not None and not self._connection.stream.closed():
            self._respond(self._request)

    def on_connection_close(self) -> None:
        """Discard the request."""
        self._request = None
