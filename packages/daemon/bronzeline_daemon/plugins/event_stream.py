"""Parse server-sent events from a stream of bytes."""

from __future__ import annotations

from collections.abc import Callable

__all__ = ["EventStreamParser"]

DATA_FIELD = b"data:"


class EventStreamParser:
    """Call back with each `data` line of an event stream once it is complete."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self._partial_line = b""

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes; an incomplete line is kept for the next call."""
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        for line in lines:
            if line.startswith(DATA_FIELD):
                self._on_data(line[len(DATA_FIELD) :].strip())
