"""Time out requests whose head arrives too slowly."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from bronzeline_daemon.futures import consume_exception
from bronzeline_daemon.logs import log_event

__all__ = ["HeadTimer"]

# Written directly: tornado can answer only after it has read a request's head.
TIMEOUT_RESPONSE = (
    b"HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)


class HeadTimer:
    """Limit the time from the first byte of each request's head to its end.

    tornado's own timeout also runs while the connection is idle, and idle
    connections are allowed for longer.
    """

    def __init__(
        self,
        stream: IOStream,
        read_limit_ms: Callable[[], float],
        log: Callable[..., None] = log_event,
    ) -> None:
        self._log = log
        self._stream = stream
        # Called when a head begins: a connection may wait for it while limits change.
        self._read_limit_ms = read_limit_ms
        # Set once a request was refused; bytes that are read later are not forwarded.
        self.has_refused = False
        self._limit_ms = 0.0
        self._is_armed = False
        self._timer: asyncio.TimerHandle | None = None
        self._read = stream.read_from_fd
        # Subclasses of BaseIOStream override this method to read bytes.
        stream.read_from_fd = self._timed_read  # type: ignore[assignment,method-assign]

    def arm(self) -> None:
        """Limit the time from the first byte of the next head to its end."""
        self.stop()
        self._is_armed = True

    @property
    def has_begun(self) -> bool:
        """Return whether a head has begun and is not complete."""
        return self._timer is not None

    def stop(self) -> None:
        """Stop the timer: the head is complete or the connection closed."""
        self._is_armed = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _timed_read(self, buffer: bytearray | memoryview) -> int | None:
        n_bytes = self._read(buffer)
        if n_bytes and self._is_armed and self._timer is None:
            loop = asyncio.get_running_loop()
            self._limit_ms = self._read_limit_ms()
            self._timer = loop.call_later(self._limit_ms / 1000.0, self._refuse)
        return n_bytes

    def _refuse(self) -> None:
        """Send 408, since nothing was forwarded, and close the connection."""
        self.stop()
        self.has_refused = True
        self._log("head_timed_out", limit_ms=round(self._limit_ms))
        try:
            self._stream.write(TIMEOUT_RESPONSE).add_done_callback(self._close)
        except StreamClosedError as error:
            self._log("head_not_refused", error=str(error))

    def _close(self, written: asyncio.Future[None]) -> None:
        consume_exception(written)
        self._stream.close()
