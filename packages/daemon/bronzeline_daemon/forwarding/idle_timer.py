"""Close connections on which callers send no request for too long."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream

__all__ = ["IdleTimer"]


class IdleTimer:
    """Limit the time for which a connection rests, also when the limit changes.

    tornado's own timeout keeps the limit that was in force when the rest began.
    """

    def __init__(
        self,
        stream: IOStream,
        read_limit_ms: Callable[[], float],
        has_head: Callable[[], bool],
    ) -> None:
        self._stream = stream
        self._read_limit_ms = read_limit_ms
        # Whether a head has begun, which has a limit of its own.
        self._has_head = has_head
        self._since_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def arm(self) -> None:
        """Begin to count the time until the next request."""
        self._since_s = asyncio.get_running_loop().time()
        self._schedule()

    def apply_limit(self) -> None:
        """Apply a changed limit to a connection that rests."""
        if self._timer is not None:
            self._schedule()

    def stop(self) -> None:
        """Stop: a request has come, or the connection closed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _schedule(self) -> None:
        self.stop()
        ends_at_s = self._since_s + self._read_limit_ms() / 1000.0
        self._timer = asyncio.get_running_loop().call_at(ends_at_s, self._end)

    def _end(self) -> None:
        self._timer = None
        if not self._has_head():
            self._stream.close()
