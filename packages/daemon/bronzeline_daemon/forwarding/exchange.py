"""Send one HTTP request over a connection and read its response."""

from __future__ import annotations

import asyncio
import re
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError

from bronzeline_daemon.forwarding.connection_pool import Connection, ConnectionPool
from bronzeline_daemon.futures import consume_exception
from bronzeline_kernel.exceptions import ResponseTooLargeError, StreamBrokenError
from bronzeline_kernel.forwarding import Address, Header, ResponseBuffer
from bronzeline_kernel.response_status import is_framed, is_response_status

__all__ = ["Exchange", "HttpResponse", "OutgoingRequest", "fetch"]

# Streams have no limit: their events are passed on as they arrive.
MAX_RESPONSE_BYTES = 2**63
MAX_HEAD_BYTES = 16 * 1024
READ_CHUNK_BYTES = 16 * 1024
# A larger body is written after the head.
MAX_JOINED_BYTES = 64 * 1024
# A response that belongs to no request is read to its end up to this size.
MAX_FOREIGN_BYTES = 256 * 1024
# A reused connection may first deliver responses that belong to no open request;
# at most this many are read before the own one.
MAX_FOREIGN_RESPONSES = 3
# Begins a response. Within a line of a head it shows that the head was cut, and
# that the lines after it belong to the next response.
STATUS_LINE = re.compile(r"HTTP/[0-9]\.[0-9] [0-9]{3}")
PARAMETERS = HTTP1ConnectionParameters(
    max_header_size=MAX_HEAD_BYTES,
    max_body_size=MAX_RESPONSE_BYTES,
    chunk_size=READ_CHUNK_BYTES,
)

# Handles a chunk of a body; what it returns is awaited before the next chunk.
OnData = Callable[[bytes], Awaitable[None] | None]


@dataclass(frozen=True)
class OutgoingRequest:
    """Describe an HTTP request to send."""

    method: str
    target: str
    headers: tuple[Header, ...]
    body: bytes = b""


@dataclass
class HttpResponse:
    """Hold a complete HTTP response."""

    status: int
    headers: list[Header]
    body: bytes


@dataclass
class Exchange(HTTPMessageDelegate):
    """Read the response to one request on one connection.

    `on_head` returns whether the response belongs to the request. If it does not,
    its body is ignored and the next response is read.
    """

    stream: IOStream
    on_head: Callable[[int, list[Header]], bool]
    on_data: OnData
    has_response: bool = False
    is_framed: bool = False
    closes_connection: bool = False
    _is_complete: bool = False
    _is_aborted: bool = False
    _n_foreign_bytes: int = 0
    _written: asyncio.Future[None] | None = None

    async def run(self, request: OutgoingRequest) -> None:
        """Return once the response is complete; raises `StreamBrokenError`."""
        connection = HTTP1Connection(self.stream, True, PARAMETERS)
        try:
            self._write(connection, request)
            for _ in range(MAX_FOREIGN_RESPONSES + 1):
                await connection.read_response(self)
                if self.has_response:
                    break
        except (StreamClosedError, OSError, ValueError) as error:
            raise StreamBrokenError(str(error)) from None
        if not self._is_complete:
            raise StreamBrokenError(str(self.stream.error or "incomplete response"))

    def abort(self) -> None:
        """Close the connection; what was read of the response is not all of it.

        A response without a length ends with its connection, by whomever it is closed.
        """
        self._is_aborted = True
        self.stream.close()

    @property
    def is_reusable(self) -> bool:
        """Return whether the connection may carry another request."""
        is_idle = not self.stream.closed() and not self.stream.writing()
        return (
            self._is_complete
            and self.is_framed
            and not self.closes_connection
            and is_idle
        )

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Read the head of a response; skip informational responses (1xx).

        Raises `HTTPInputError`, which closes the connection, if the head was cut or
        has no status.
        """
        assert isinstance(start_line, ResponseStartLine)
        self._is_complete = False
        listed = list(headers.get_all())
        if _is_cut(start_line, listed):
            raise HTTPInputError("a head within a head")
        if not is_response_status(start_line.code):
            raise HTTPInputError(f"{start_line.code} is not a status")
        if start_line.code < 200:
            return
        self.is_framed = is_framed(start_line.code, headers)
        if isinstance(self.stream, Connection):
            self.stream.expect_body(_body_length(headers))
        self.closes_connection = "close" in headers.get("Connection", "").lower()
        self.has_response = self.on_head(start_line.code, listed)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk of the body, or discard one that belongs to no request."""
        if not self.has_response:
            self._discard(chunk)
            return None
        return self.on_data(chunk)

    def finish(self) -> None:
        """Mark the response as complete, unless the connection was reset or aborted.

        A response without a length is incomplete if its connection ended before the
        request was written: the end may precede a reset.
        """
        is_whole = self.stream.error is None and not self._is_aborted
        has_end = self.is_framed or self._is_written
        self._is_complete = self.has_response and is_whole and has_end

    def on_connection_close(self) -> None:
        """Mark the response as incomplete: the connection closed."""
        self._is_complete = False

    @property
    def _is_written(self) -> bool:
        """Return whether the whole request was handed to the operating system."""
        written = self._written
        return written is not None and written.done() and written.exception() is None

    def _discard(self, chunk: bytes) -> None:
        self._n_foreign_bytes += len(chunk)
        if self._n_foreign_bytes > MAX_FOREIGN_BYTES:
            self.abort()

    def _write(self, connection: HTTP1Connection, request: OutgoingRequest) -> None:
        headers = HTTPHeaders()
        for name, value in request.headers:
            headers.add(name, value)
        if request.body or request.method in ("POST", "PUT", "PATCH"):
            headers["Content-Length"] = str(len(request.body))
        start_line = RequestStartLine(request.method, request.target, "HTTP/1.1")
        # tornado would copy a body that it writes together with the head.
        is_large = len(request.body) > MAX_JOINED_BYTES
        first_part = None if is_large else request.body or None
        written = connection.write_headers(start_line, headers, first_part)
        written.add_done_callback(consume_exception)
        if is_large:
            written = connection.write(request.body)
            written.add_done_callback(consume_exception)
        self._written = written
        connection.finish()


def _body_length(headers: HTTPHeaders) -> int:
    """Return the length that a head gives for its body, 0 without one."""
    length = headers.get("Content-Length", "")
    is_plain = length.isascii() and length.isdigit()
    return int(length) if is_plain and "Transfer-Encoding" not in headers else 0


def _is_cut(start_line: ResponseStartLine, headers: Iterable[Header]) -> bool:
    """Return whether the head contains the start of another response."""
    values = [start_line.reason or "", *(value for _, value in headers)]
    return any(STATUS_LINE.search(value) for value in values)


async def fetch(
    connection_pool: ConnectionPool,
    address: Address,
    request: OutgoingRequest,
    timeout_ms: float,
    *,
    keeps_connection: bool = True,
) -> HttpResponse:
    """Send a request and return its complete response.

    The connection is closed afterwards unless `keeps_connection`. Raises
    `UpstreamUnreachableError` when nothing was sent and `StreamBrokenError` when the
    response is incomplete, exceeds the timeout or the pool's limit for buffered
    responses.
    """
    connection = await connection_pool.acquire(address, timeout_ms)
    response = HttpResponse(0, [], b"")
    buffer = ResponseBuffer(connection_pool.response_budget, address)
    is_too_large = False

    def on_head(status: int, headers: Iterable[Header]) -> bool:
        response.status = status
        response.headers = list(headers)
        return True

    def on_data(chunk: bytes) -> None:
        nonlocal is_too_large
        if not buffer.append(chunk):
            is_too_large = True
            exchange.abort()

    exchange = Exchange(connection, on_head, on_data)
    try:
        async with asyncio.timeout(timeout_ms / 1000.0):
            await exchange.run(request)
    except TimeoutError:
        raise StreamBrokenError(f"no response within {timeout_ms:.0f} ms") from None
    except StreamBrokenError:
        if is_too_large:
            raise ResponseTooLargeError("the response is too large") from None
        raise
    finally:
        response.body = buffer.pop()
        if exchange.is_reusable and keeps_connection:
            connection_pool.release(address, connection, None)
        else:
            connection.close()
    return response
