"""Read callers' requests and pass on the complete ones."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.http1connection import HTTP1Connection
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream

from bronzeline_daemon.forwarding.bounded_server import BoundedServer
from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.connection_limiter import (
    CALLERS,
    BoundedStream,
    ConnectionLimiter,
)
from bronzeline_daemon.forwarding.head_timer import HeadTimer
from bronzeline_daemon.forwarding.idle_timer import IdleTimer
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import RequestError
from bronzeline_kernel.forwarding import (
    N_BODY_COPIES,
    CallerLimits,
    CallerRequest,
    ConnectionState,
    Reservation,
    WireFormat,
    body_kind,
    head_kind,
)

__all__ = ["CallerFrontend"]

OnRequest = Callable[[CallerRequest, CallerResponse], None]

# tornado closes connections whose head exceeds this. The configured limit is
# lower, and requests above it are refused with a response.
MAX_HEAD_BYTES = 128 * 1024
HEADER_OVERHEAD_BYTES = 4
# tornado's own timeout, which the idle timers precede.
MAX_IDLE_S = 24 * 3_600.0
# What the objects of a field take; a head of 16 KiB may have 2,000 of them.
FIELD_BYTES = 700
RETRY_AFTER_MS = 1_000.0


class CallerServer(BoundedServer):
    """Report closed connections, which tornado's server does not expose."""

    on_closed: Callable[[object], None]

    def on_close(self, server_conn: object) -> None:
        """Report a closed connection."""
        super().on_close(server_conn)
        self.on_closed(server_conn)


class CallerFrontend(HTTPServerConnectionDelegate):
    """Accept callers' requests within the limits of the configuration."""

    def __init__(
        self,
        wire: WireFormat,
        limits: Callable[[], CallerLimits],
        on_request: OnRequest,
        connection_limiter: ConnectionLimiter,
    ) -> None:
        self.wire = wire
        self.limits = limits
        self.on_request = on_request
        self.server = CallerServer(self, max_header_size=MAX_HEAD_BYTES)
        self.server.on_closed = self._remove_timers
        self.server.join(connection_limiter, CALLERS)
        self.connection_limiter = connection_limiter
        self._head_timers: dict[object, HeadTimer] = {}
        self._idle_timers: dict[object, IdleTimer] = {}
        self._idle_timeout_ms = self._read_idle_timeout_ms()
        self.server.conn_params.header_timeout = MAX_IDLE_S

    def apply_limits(self) -> None:
        """Apply the idle timeout of the configuration in force."""
        idle_timeout_ms = self._read_idle_timeout_ms()
        if idle_timeout_ms == self._idle_timeout_ms:
            return
        self._idle_timeout_ms = idle_timeout_ms
        for timer in self._idle_timers.values():
            timer.apply_limit()

    def close_after_responses(self) -> None:
        """Close each connection after its current response."""
        self.server.conn_params.no_keep_alive = True

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        """Return the delegate that reads the next request of a connection."""
        assert isinstance(request_conn, HTTP1Connection)
        if server_conn not in self._head_timers:
            self._add_timers(server_conn, request_conn.stream)
        head_timer = self._head_timers[server_conn]
        idle_timer = self._idle_timers[server_conn]
        head_timer.arm()
        idle_timer.arm()
        return RequestReader(self, request_conn, head_timer, idle_timer)

    def _add_timers(self, server_conn: object, stream: IOStream) -> None:
        head_timer = HeadTimer(
            stream,
            lambda: self.limits().header_timeout_ms,
            self.connection_limiter.logs.info,
        )
        self._head_timers[server_conn] = head_timer
        self._idle_timers[server_conn] = IdleTimer(
            stream, self._read_idle_timeout_ms, lambda: head_timer.has_begun
        )

    def _remove_timers(self, server_conn: object) -> None:
        timers = (self._head_timers, self._idle_timers)
        for timer in [x.pop(server_conn) for x in timers if server_conn in x]:
            timer.stop()

    def _read_idle_timeout_ms(self) -> float:
        return self.limits().idle_timeout_ms


class RequestReader(HTTPMessageDelegate):
    """Read one request and pass it on once it is complete."""

    def __init__(
        self,
        frontend: CallerFrontend,
        connection: HTTP1Connection,
        head_timer: HeadTimer,
        idle_timer: IdleTimer,
    ) -> None:
        self._frontend = frontend
        self._head_timer = head_timer
        self._idle_timer = idle_timer
        self._connection = connection
        # Those in force when the head arrived.
        self._limits = CallerLimits()
        assert isinstance(connection.stream, BoundedStream)
        self._entry = connection.stream.entry
        self._entry.enter(ConnectionState.HEAD)
        self._reservation = Reservation(frontend.connection_limiter.account)
        self._response = CallerResponse(connection, self._reservation)
        self._start_line: RequestStartLine | None = None
        self._headers: list[tuple[str, str]] = []
        self._body = bytearray()
        # The length that the head gives, 0 without one.
        self._expected_bytes = 0
        self._timer: asyncio.TimerHandle | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Check the head against the limits; refuse requests that exceed them."""
        assert isinstance(start_line, RequestStartLine)
        self._head_timer.stop()
        self._idle_timer.stop()
        # A kept connection may have waited since before they changed.
        self._limits = self._frontend.limits()
        self._suppress_if_closed()
        if self._response.is_over:
            return
        self._start_line = start_line
        self._response.is_chunked = start_line.version != "HTTP/1.0"
        self._headers = list(headers.get_all())
        n_head_bytes = sum(
            len(name) + len(value) + HEADER_OVERHEAD_BYTES
            for name, value in self._headers
        )
        if n_head_bytes > self._limits.max_header_bytes:
            self._response.refuse_unread(431)
            return
        connection_limiter = self._frontend.connection_limiter
        key = self._frontend.wire.caller_key(self._headers)
        self._reservation.held_share = connection_limiter.open_share(self._entry, key)
        n_held_bytes = n_head_bytes + FIELD_BYTES * len(self._headers)
        if not self._reservation.grow(head_kind(n_held_bytes), n_held_bytes):
            self._refuse("memory_full_head")
            return
        self._entry.enter(ConnectionState.BODY)
        self._entry.refuse = lambda: self._refuse("body_closed_for_room")
        limit_s = self._limits.idle_timeout_ms / 1000.0
        self._timer = asyncio.get_running_loop().call_later(limit_s, self._time_out)
        length = headers.get("Content-Length", "0").partition(",")[0]
        if length.isdigit():
            self._expected_bytes = int(length)
        if self._expected_bytes > self._limits.max_body_bytes:
            self._response.refuse_unread(413)

    def data_received(self, chunk: bytes) -> None:
        """Buffer a chunk of the body; refuse bodies above the limit."""
        if self._response.is_over:
            return
        n_bytes = len(self._body) + len(chunk)
        if n_bytes > self._limits.max_body_bytes:
            self._body.clear()
            self._response.refuse_unread(413)
        elif self._grow_body(n_bytes, N_BODY_COPIES * len(chunk)):
            self._body += chunk
            self._entry.n_body_bytes = n_bytes
        else:
            is_share = self._reservation.exceeds_share
            self._refuse("memory_share_body" if is_share else "memory_full_body")

    def finish(self) -> None:
        """Parse the complete request and pass it on."""
        self._stop_timer()
        self._suppress_if_closed()
        if self._response.is_over:
            return
        assert self._start_line is not None
        self._entry.enter(ConnectionState.RUNNING)
        try:
            request = self._frontend.wire.read_request(
                self._start_line.method, self._start_line.path, self._headers
            )
        except RequestError as error:
            self._response.send(400, [], str(error).encode())
            return
        body = bytes(self._body)
        self._body.clear()
        self._reservation.release_copy(len(body))
        try:
            self._frontend.on_request(request.with_body(body), self._response)
        except BaseException:
            self._reservation.release_all()
            raise

    def on_connection_close(self) -> None:
        """Discard a partial request when its connection closes."""
        self._stop_timer()
        self._body.clear()
        self._response.release()

    def _grow_body(self, n_body_bytes: int, n_bytes: int) -> bool:
        """Reserve further bytes, if need be those of a workspace with too many."""
        expected_bytes = max(n_body_bytes, self._expected_bytes)
        reservation, limiter = self._reservation, self._frontend.connection_limiter
        account = limiter.account
        ceiling = account.limits.ceiling(body_kind(expected_bytes))
        while not reservation.grow_body(expected_bytes, n_bytes):
            n_missing_bytes = account.n_bytes + n_bytes - ceiling
            is_refused = reservation.exceeds_share or reservation.is_released
            if is_refused or not limiter.free_body(self._entry, n_missing_bytes):
                return False
        return True

    def _suppress_if_closed(self) -> None:
        """Discard a request that can't be answered.

        tornado reads on in the bytes that arrived before the connection was closed.
        """
        if self._response.is_over:
            return
        if self._connection.stream.closed() and not self._head_timer.has_refused:
            self._head_timer.has_refused = True
            self._frontend.connection_limiter.logs.info(
                "request_not_forwarded", reason="connection_closed"
            )
        if self._head_timer.has_refused:
            self._response.suppress()

    def _time_out(self) -> None:
        """Refuse a request whose body timed out; no upstream has seen it."""
        if self._response.is_over:
            return
        log_event("body_timed_out", limit_ms=round(self._limits.idle_timeout_ms))
        self._response.refuse_unread(408)

    def _refuse(self, reason: str) -> None:
        """Refuse a request for lack of room; no upstream has seen it."""
        self._body.clear()
        self._headers = []
        self._stop_timer()
        self._frontend.connection_limiter.turn_away(reason)
        headers = self._frontend.wire.refusal_headers(RETRY_AFTER_MS)
        self._response.refuse_unread(503, headers)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
