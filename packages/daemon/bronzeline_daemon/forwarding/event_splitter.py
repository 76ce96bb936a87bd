"""Split a stream of bytes into server-sent events."""

from __future__ import annotations

from collections.abc import Iterator

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"


class EventSplitter:
    """Buffer bytes until they form complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    @property
    def n_buffered_bytes(self) -> int:
        """Return the number of bytes of the incomplete event."""
        return len(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Add bytes and yield the events that they complete."""
        # Bytes before this position were searched when they were added.
        start = max(0, len(self._buffer) - len(EVENT_END) + 1)
        self._buffer += chunk
        while (position := self._buffer.find(EVENT_END, start)) >= 0:
            end = position + len(EVENT_END)
            event = bytes(self._buffer[:end])
            del self._buffer[:end]
            start = 0
            yield event
