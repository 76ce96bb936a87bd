"""Split a stream of bytes into whole events."""

from __future__ import annotations

from collections.abc import Iterator

__all__ = ["EventSplitter"]

EVENT_END = b"\n\n"


class EventSplitter:
    """Give back each event of a server-sent stream once it is whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Say whether bytes of an event without its end are left."""
        return bool(self._rest)

    def feed(self, chunk: bytes) -> Iterator[bytes]:
        """Take the next bytes and yield the events that they complete."""
        *events, self._rest = (self._rest + chunk).split(EVENT_END)
        for event in events:
            yield event + EVENT_END
