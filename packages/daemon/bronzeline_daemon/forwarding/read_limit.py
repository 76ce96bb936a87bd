"""Limit how many bytes are read from connections in one turn of the event loop."""

from __future__ import annotations

import asyncio
from enum import Enum
from itertools import islice

__all__ = ["ReadKind", "ReadLimit"]

# Few enough that the loop does not stall while it parses the smallest chunks.
MAX_BYTES_IN_TURN = 4 * 1024
# A short response fits.
MAX_BYTES_OF_CONNECTION = 2 * 1024
# The bytes of a body whose length is known need no parsing. They have a limit of
# their own: a call's response took more than a second while streams used the other.
MAX_BODY_BYTES_IN_TURN = 64 * 1024
MAX_BODY_BYTES_OF_CONNECTION = 16 * 1024
# A response begins beside streams, also that of the store, whose calls time out.
MAX_HEAD_BYTES_IN_TURN = 16 * 1024


class ReadKind(Enum):
    """Say what a connection reads next; each kind has a limit of its own."""

    HEAD = "head"
    BODY_OF_KNOWN_LENGTH = "body_of_known_length"
    OTHER = "other"


class SharedBytes:
    """Share the bytes of one turn among connections.

    The loop calls connections in the same order in each turn, so those that had to
    wait the longest have bytes kept for them.
    """

    def __init__(self, n_in_turn: int, n_of_connection: int) -> None:
        self._n_in_turn = n_in_turn
        self._n_of_connection = n_of_connection
        self._n_left = n_in_turn
        self._n_read: dict[int, int] = {}
        # Those that had to wait, the longest first, and those with kept bytes.
        self._waiting: dict[int, None] = {}
        self._kept: set[int] = set()

    def n_allowed(self, connection_id: int) -> int:
        """Return how many bytes a connection may read in this turn."""
        n_read = self._n_read.get(connection_id, 0)
        n_others = len(self._kept - {connection_id})
        n_left = self._n_left - n_others * self._n_of_connection
        n_allowed = max(0, min(n_left, self._n_of_connection - n_read))
        if not n_allowed and not n_read:
            self._waiting.setdefault(connection_id)
        return n_allowed

    def record(self, connection_id: int, n_bytes: int) -> None:
        """Count the bytes that a connection has read in this turn."""
        self._kept.discard(connection_id)
        self._waiting.pop(connection_id, None)
        self._n_left -= n_bytes
        self._n_read[connection_id] = self._n_read.get(connection_id, 0) + n_bytes

    def start_turn(self) -> None:
        """Start a turn; a connection that did not use its kept bytes loses them."""
        for connection_id in self._kept:
            self._waiting.pop(connection_id, None)
        n_kept = self._n_in_turn // self._n_of_connection
        self._kept = set(islice(self._waiting, n_kept))
        self._n_left = self._n_in_turn
        self._n_read.clear()

    def clear(self) -> None:
        """Forget the connections of an earlier event loop."""
        self._waiting.clear()
        self._kept.clear()


class ReadLimit:
    """Limit what connections read in a turn, by what they read.

    A connection that may not read now is told that there is nothing to read, and
    the loop calls it again in its next turn.
    """

    def __init__(self) -> None:
        self._shared = {
            ReadKind.HEAD: SharedBytes(MAX_HEAD_BYTES_IN_TURN, MAX_BYTES_OF_CONNECTION),
            ReadKind.BODY_OF_KNOWN_LENGTH: SharedBytes(
                MAX_BODY_BYTES_IN_TURN, MAX_BODY_BYTES_OF_CONNECTION
            ),
            ReadKind.OTHER: SharedBytes(MAX_BYTES_IN_TURN, MAX_BYTES_OF_CONNECTION),
        }
        self._loop: asyncio.AbstractEventLoop | None = None
        self._is_scheduled = False

    def n_allowed(self, connection_id: int, kind: ReadKind = ReadKind.OTHER) -> int:
        """Return how many bytes a connection may read in this turn."""
        self._schedule_turn()
        return self._shared[kind].n_allowed(connection_id)

    def record(
        self, connection_id: int, n_bytes: int, kind: ReadKind = ReadKind.OTHER
    ) -> None:
        """Count the bytes that a connection has read in this turn."""
        self._schedule_turn()
        self._shared[kind].record(connection_id, n_bytes)

    def _schedule_turn(self) -> None:
        loop = asyncio.get_running_loop()
        if loop is not self._loop:
            self._loop = loop
            for shared in self._shared.values():
                shared.clear()
                shared.start_turn()
            self._is_scheduled = False
        if not self._is_scheduled:
            self._is_scheduled = True
            loop.call_soon(self._start_turn)

    def _start_turn(self) -> None:
        self._is_scheduled = False
        for shared in self._shared.values():
            shared.start_turn()
