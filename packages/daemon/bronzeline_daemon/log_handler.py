"""Write log lines without blocking on a slow reader."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from dataclasses import dataclass

__all__ = ["NonBlockingHandler"]

# Lines are dropped when the reader lags behind by more than this, which is some
# seconds of a busy router's log.
MAX_BUFFERED_BYTES = 512 * 1024


@dataclass(frozen=True)
class BufferedLine:
    """Hold a line that the pipe could not take yet."""

    level: int
    data: bytes


class NonBlockingHandler(logging.Handler):
    """Write to a file descriptor; buffer and finally drop what it can't take.

    Lines below warning are dropped first, older ones before newer ones.
    """

    def __init__(self, fd: int, max_buffered_bytes: int = MAX_BUFFERED_BYTES) -> None:
        super().__init__()
        self._fd = fd
        self._max_buffered_bytes = max_buffered_bytes
        self._buffer: deque[BufferedLine] = deque()
        self._n_buffered_bytes = 0
        self._partial_line = b""
        self._has_writer = False
        self.n_dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or buffer it until the reader continues."""
        try:
            data = (self.format(record) + "\n").encode()
        except Exception:
            self.handleError(record)
            return
        self._append(BufferedLine(record.levelno, data))
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the descriptor accepts now."""
        while self._partial_line or self._buffer:
            if not self._partial_line:
                self._partial_line = self._pop_line()
            try:
                n_written = os.write(self._fd, self._partial_line)
            except BlockingIOError:
                self._add_writer()
                return
            except OSError:
                # The reader is gone; a failed log must not end the process.
                self._drop_all()
                return
            self._partial_line = self._partial_line[n_written:]
        self._remove_writer()

    def close(self) -> None:
        """Write what the descriptor still accepts, and stop."""
        self.flush()
        self._remove_writer()
        super().close()

    def _pop_line(self) -> bytes:
        line = self._buffer.popleft()
        self._n_buffered_bytes -= len(line.data)
        return line.data

    def _append(self, line: BufferedLine) -> None:
        self._buffer.append(line)
        self._n_buffered_bytes += len(line.data)
        while self._n_buffered_bytes > self._max_buffered_bytes:
            self._drop_one()

    def _drop_one(self) -> None:
        dropped = next(
            (item for item in self._buffer if item.level < logging.WARNING),
            self._buffer[0],
        )
        self._buffer.remove(dropped)
        self._n_buffered_bytes -= len(dropped.data)
        self.n_dropped += 1

    def _drop_all(self) -> None:
        self.n_dropped += len(self._buffer) + bool(self._partial_line)
        self._buffer.clear()
        self._n_buffered_bytes = 0
        self._partial_line = b""
        self._remove_writer()

    def _add_writer(self) -> None:
        if self._has_writer:
            return
        try:
            asyncio.get_running_loop().add_writer(self._fd, self.flush)
        except RuntimeError:
            # No event loop is running; the next line tries again.
            return
        self._has_writer = True

    def _remove_writer(self) -> None:
        if self._has_writer:
            self._has_writer = False
            asyncio.get_running_loop().remove_writer(self._fd)
