"""Parse server-sent events from a stream of bytes."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_daemon.logs import log_event

__all__ = ["EventStreamParser"]

DATA_FIELD = b"data:"
# A line holds a token and its metadata.
MAX_LINE_BYTES = 64 * 1024


class EventStreamParser:
    """Call back with each `data` line of an event stream once it is complete."""

    def __init__(self, on_data: Callable[[bytes], None]) -> None:
        self._on_data = on_data
        self._partial_line = b""
        self.is_invalid = False

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes; an incomplete line is kept for the next call.

        Everything after a line that is too long is ignored: the stream is then
        silent, and is taken up on another upstream.
        """
        if self.is_invalid:
            return
        lines = (self._partial_line + chunk).split(b"\n")
        self._partial_line = lines.pop()
        if len(self._partial_line) > MAX_LINE_BYTES:
            self.is_invalid = True
            self._partial_line = b""
            log_event("stream_line_too_long", max_bytes=MAX_LINE_BYTES)
        for line in lines:
            if line.startswith(DATA_FIELD):
                self._on_data(line[len(DATA_FIELD) :].strip())
