"""Split a stream of bytes into server-sent events."""

from __future__ import annotations

from collections.abc import Iterator

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"


class EventSplitter:
    """Buffer bytes until they form complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Return whether bytes of an incomplete event are buffered."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Add bytes and yield the events that they complete."""
        *events, self._buffer = (self._buffer + chunk).split(EVENT_END)
        for event in events:
            yield event + EVENT_END
