"""Write log lines without ever waiting for who reads them."""

from __future__ import annotations

import asyncio
import logging
import os
from collections import deque
from dataclasses import dataclass

__all__ = ["BoundedHandler"]

# What a reader may lag behind before lines are dropped: some seconds of a
# busy router's lines.
MAX_WAITING_BYTES = 512 * 1024


@dataclass(frozen=True)
class WaitingLine:
    """Hold a line that the pipe had no room for."""

    level: int
    data: bytes


class BoundedHandler(logging.Handler):
    """Write to a file descriptor; keep, then drop, what it can't take.

    Routine lines are dropped before warnings, older ones before newer.
    """

    def __init__(self, fd: int, max_waiting_bytes: int = MAX_WAITING_BYTES) -> None:
        super().__init__()
        self._fd = fd
        self._max_waiting_bytes = max_waiting_bytes
        self._waiting: deque[WaitingLine] = deque()
        self._n_waiting_bytes = 0
        self._rest = b""
        self._is_watching = False
        self.n_dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or keep it until the reader goes on."""
        try:
            data = (self.format(record) + "\n").encode()
        except Exception:
            self.handleError(record)
            return
        self._keep(WaitingLine(record.levelno, data))
        self.flush()

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._rest or self._waiting:
            if not self._rest:
                self._rest = self._next()
            try:
                n_written = os.write(self._fd, self._rest)
            except BlockingIOError:
                self._watch()
                return
            except OSError:
                # Nobody reads any more; a log must not end the process.
                self._drop_all()
                return
            self._rest = self._rest[n_written:]
        self._unwatch()

    def close(self) -> None:
        """Write what can still be written, and stop."""
        self.flush()
        self._unwatch()
        super().close()

    def _next(self) -> bytes:
        line = self._waiting.popleft()
        self._n_waiting_bytes -= len(line.data)
        return line.data

    def _keep(self, line: WaitingLine) -> None:
        self._waiting.append(line)
        self._n_waiting_bytes += len(line.data)
        while self._n_waiting_bytes > self._max_waiting_bytes:
            self._drop_one()

    def _drop_one(self) -> None:
        dropped = next(
            (item for item in self._waiting if item.level < logging.WARNING),
            self._waiting[0],
        )
        self._waiting.remove(dropped)
        self._n_waiting_bytes -= len(dropped.data)
        self.n_dropped += 1

    def _drop_all(self) -> None:
        self.n_dropped += len(self._waiting) + bool(self._rest)
        self._waiting.clear()
        self._n_waiting_bytes = 0
        self._rest = b""
        self._unwatch()

    def _watch(self) -> None:
        if self._is_watching:
            return
        try:
            asyncio.get_running_loop().add_writer(self._fd, self.flush)
        except RuntimeError:
            # No loop runs; the next line tries again.
            return
        self._is_watching = True

    def _unwatch(self) -> None:
        if self._is_watching:
            self._is_watching = False
            asyncio.get_running_loop().remove_writer(self._fd)
