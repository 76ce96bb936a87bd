"""Split a stream of bytes into the data of server-sent events."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["EventStreamParser"]

DATA_FIELD = b"data:"


class EventStreamParser:
    """Call back with the data of each event as soon as it is whole."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self._rest = b""

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the stream."""
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            if line.startswith(DATA_FIELD):
                self._on_data(line[len(DATA_FIELD) :].strip())
