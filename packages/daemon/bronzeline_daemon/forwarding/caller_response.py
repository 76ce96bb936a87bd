"""Write the response to a caller's request."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Callable, Iterable
from http.client import responses

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders, ResponseStartLine

from bronzeline_daemon.forwarding.hop_by_hop_headers import HOP_BY_HOP_HEADERS
from bronzeline_daemon.futures import consume_exception
from bronzeline_kernel.forwarding import Header, HeldKind, Reservation

__all__ = ["CallerResponse"]

# Headers that are not forwarded: the response to the caller is framed anew.
DRAIN_POLL_S = 0.02
# Linger on, for 0 s: a close then resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
DROPPED_HEADERS = HOP_BY_HOP_HEADERS | {"proxy-authenticate"}


class CallerResponse:
    """Write one response, as a whole or chunk by chunk."""

    def __init__(self, connection: HTTP1Connection, reservation: Reservation) -> None:
        self._connection = connection
        # What is held for the request; released when the response ends.
        self.reservation = reservation
        self._has_released = False
        self.has_started = False
        # The status sent to the caller, 0 before.
        self.status = 0
        self.is_over = False
        self.is_disconnected = False
        self.is_incomplete = False
        # Whether the end of a response of unknown length is marked.
        self.is_chunked = True
        self._n_unsent_bytes = 0
        # What waits for an earlier write. tornado keeps objects of a KB for each
        # write, so events that the caller doesn't read are written together.
        self._backlog = bytearray()

    @property
    def n_unsent_bytes(self) -> int:
        """Return how many bytes were written since the caller last read them all."""
        if not (self._backlog or self._connection.stream.writing()):
            self._n_unsent_bytes = 0
        return self._n_unsent_bytes

    async def drain(self) -> None:
        """Wait until the caller has read what was written, or has disconnected."""
        while self.n_unsent_bytes and not (self.is_over or self.is_disconnected):
            await asyncio.sleep(DRAIN_POLL_S)

    def set_close_callback(self, callback: Callable[[], None]) -> None:
        """Call back when the caller disconnects before the response is complete."""

        def on_close() -> None:
            self.is_disconnected = True
            self.is_incomplete = not self.is_over
            self.release()
            if not self.is_over:
                callback()

        self._connection.set_close_callback(on_close)

    def send(self, status: int, headers: Iterable[Header], body: bytes = b"") -> None:
        """Send a complete response, unless the response has ended."""
        if self.is_over:
            return
        fields = _end_to_end_headers(headers)
        fields["Content-Length"] = str(len(body))
        self._write_head(status, fields, body)
        self.finish()

    def refuse_unread(self, status: int, headers: Iterable[Header] = ()) -> None:
        """Refuse a request before its end; tornado then closes the connection."""
        if not self.is_over:
            fields = _end_to_end_headers(headers)
            fields["Content-Length"] = "0"
            fields["Connection"] = "close"
            self._write_head(status, fields, b"")
            self.finish()

    def start(self, status: int, headers: Iterable[Header]) -> None:
        """Send the head of a response of unknown length."""
        if not self.is_over and not self.has_started:
            self._write_head(status, _end_to_end_headers(headers), b"")

    def write(self, chunk: bytes) -> None:
        """Send a chunk of the body."""
        if not self.is_over and not self.is_disconnected:
            self._n_unsent_bytes = self.n_unsent_bytes + len(chunk)
            if self._backlog or self._connection.stream.writing():
                self._backlog += chunk
                self.reservation.account.add(HeldKind.RESPONSE, len(chunk))
            else:
                self._write_now(chunk)

    def finish(self) -> None:
        """Complete the response."""
        if not self.is_over:
            self._flush()
            self.is_over = True
            self.release()
            if not self.is_disconnected:
                self._connection.finish()

    def suppress(self) -> None:
        """Send nothing: the caller has been refused on this connection already."""
        self.is_over = True
        self.release()

    def release(self) -> None:
        """Release what is held for the request, apart from its running attempts."""
        self._pop_backlog()
        if not self._has_released:
            self._has_released = True
            self.reservation.release()

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete response."""
        if not self.is_over:
            self.is_over = True
            self.is_incomplete = True
            self.release()
            if self.has_started and not self.is_chunked:
                self._reset_on_close()
            self._connection.close()

    def _write_now(self, chunk: bytes) -> None:
        self._connection.write(chunk).add_done_callback(self._on_written)

    def _on_written(self, written: asyncio.Future[None]) -> None:
        consume_exception(written)
        self._flush()

    def _flush(self) -> None:
        """Write what waited for an earlier write."""
        chunk = self._pop_backlog()
        if chunk and not self.is_over and not self.is_disconnected:
            self._write_now(chunk)

    def _pop_backlog(self) -> bytes:
        chunk = bytes(self._backlog)
        self._backlog.clear()
        self.reservation.account.release(HeldKind.RESPONSE, len(chunk))
        return chunk

    def _reset_on_close(self) -> None:
        """Make the close visible to a caller whose responses end with one."""
        stream_socket = self._connection.stream.socket
        if stream_socket is not None:
            stream_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )

    def _write_head(self, status: int, fields: HTTPHeaders, body: bytes) -> None:
        self.has_started = True
        self.status = status
        reason = responses.get(status, "Unknown")
        start_line = ResponseStartLine("HTTP/1.1", status, reason)
        written = self._connection.write_headers(start_line, fields, body or None)
        written.add_done_callback(self._on_written)


def _end_to_end_headers(headers: Iterable[Header]) -> HTTPHeaders:
    fields = HTTPHeaders()
    for name, value in headers:
        if name.lower() not in DROPPED_HEADERS:
            fields.add(name, value)
    return fields
