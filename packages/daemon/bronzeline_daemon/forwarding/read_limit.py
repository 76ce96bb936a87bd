"""Limit how many bytes are read from connections in one turn of the event loop."""

from __future__ import annotations

import asyncio

__all__ = ["ReadLimit"]

# Few enough that the loop does not stall while it parses the smallest chunks.
MAX_BYTES_IN_TURN = 4 * 1024
# A short response fits.
MAX_BYTES_OF_CONNECTION = 2 * 1024


class ReadLimit:
    """Share the bytes that may be read in a turn among connections.

    A connection that may not read now is told that there is nothing to read, and
    the loop calls it again in its next turn.
    """

    def __init__(self) -> None:
        self._n_left = MAX_BYTES_IN_TURN
        self._n_read: dict[int, int] = {}
        self._loop: asyncio.AbstractEventLoop | None = None

    def n_allowed(self, connection_id: int) -> int:
        """Return how many bytes a connection may read in this turn."""
        if asyncio.get_running_loop() is not self._loop:
            return MAX_BYTES_OF_CONNECTION
        left_of_connection = MAX_BYTES_OF_CONNECTION - self._n_read.get(
            connection_id, 0
        )
        return max(0, min(self._n_left, left_of_connection))

    def record(self, connection_id: int, n_bytes: int) -> None:
        """Count the bytes that a connection has read in this turn."""
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            self._start_turn()
            self._loop = loop
        if not self._n_read:
            loop.call_soon(self._start_turn)
        self._n_left -= n_bytes
        self._n_read[connection_id] = self._n_read.get(connection_id, 0) + n_bytes

    def _start_turn(self) -> None:
        self._n_left = MAX_BYTES_IN_TURN
        self._n_read.clear()
