"""Split a stream of bytes into whole events."""

from __future__ import annotations

from collections.abc import Iterator

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"


class EventSplitter:
    """Give back each event of a server-sent stream once it is whole."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """Say whether bytes of an event without its end are left."""
        return bool(self._buffer)

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Take the next bytes and yield the events that they complete."""
        *events, self._buffer = (self._buffer + chunk).split(EVENT_END)
        for event in events:
            yield event + EVENT_END
