"""Refuse a request whose head takes too long to arrive."""

from __future__ import annotations

import asyncio

from tornado.iostream import IOStream, StreamClosedError

from bronzeline_daemon.futures import take_exception
from bronzeline_daemon.logs import log_event

__all__ = ["HeadTimer"]

# The server's own answers need the head that has not come.
TIMEOUT_ANSWER = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class HeadTimer:
    """Time the heads of one connection, each from its first byte.

    The server's own timer runs while the connection is idle, too, which
    callers may be for longer.
    """

    def __init__(self, stream: IOStream) -> None:
        self._stream = stream
        self._limit_ms = 0.0
        self._is_armed = False
        self._timer: asyncio.TimerHandle | None = None
        self._read = stream.read_from_fd
        # The hook that the library offers to streams of other kinds.
        stream.read_from_fd = self._read_and_time  # type: ignore[assignment,method-assign]

    def arm(self, limit_ms: float) -> None:
        """Time the next head from its first byte on, in milliseconds."""
        self.stop()
        self._limit_ms = limit_ms
        self._is_armed = True

    def stop(self) -> None:
        """Take in that the head is here, or that the connection closed."""
        self._is_armed = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _read_and_time(self, buffer: bytearray | memoryview) -> int | None:
        n_bytes = self._read(buffer)
        if n_bytes and self._is_armed and self._timer is None:
            loop = asyncio.get_running_loop()
            limit_s = self._limit_ms / 1000.0
            self._timer = loop.call_later(limit_s, self._refuse)
        return n_bytes

    def _refuse(self) -> None:
        """Say that nothing has run, and close."""
        self.stop()
        log_event("head_timed_out", limit_ms=round(self._limit_ms))
        try:
            self._stream.write(TIMEOUT_ANSWER).add_done_callback(self._close)
        except StreamClosedError as error:
            log_event("head_not_refused", error=str(error))

    def _close(self, written: asyncio.Future[None]) -> None:
        take_exception(written)
        self._stream.close()
