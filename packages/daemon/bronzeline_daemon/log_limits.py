"""Limit the rate of log lines by event and level."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Mapping
from dataclasses import dataclass, field

from bronzeline_daemon.logs import make_record, write_record
from bronzeline_kernel.protocols import Clock
from bronzeline_kernel.rate_limit import TokenBucket

__all__ = ["LogLimiter", "RequestLog"]

# A line costs 0.1 ms of CPU time. Info lines may use 1% of a core and warnings
# 4%, together a twentieth.
INFO_LINES_PER_S = 100.0
WARNING_LINES_PER_S = 400.0
BURST_S = 4.0
# Bounds what a long stream holds in memory; its latest lines explain its end.
MAX_KEPT_LINES = 16


@dataclass
class LogLimiter:
    """Write a limited number of lines per event and level; count the rest."""

    clock: Clock
    router_id: str
    dropped: Counter[str] = field(default_factory=Counter)
    _buckets: dict[tuple[str, bool], TokenBucket] = field(default_factory=dict)

    def write(self, record: logging.LogRecord) -> None:
        """Write a record; count it as dropped if its event exceeds its rate."""
        if not self.try_write(record):
            self.count_dropped(record)

    def count_dropped(self, record: logging.LogRecord) -> None:
        """Count a record that will not be written."""
        self.dropped[record.getMessage()] += 1

    def try_write(self, record: logging.LogRecord) -> bool:
        """Write a record unless its event and level exceed their rate."""
        event = record.getMessage()
        is_warning = record.levelno >= logging.WARNING
        bucket = self._buckets.get((event, is_warning))
        if bucket is None:
            rate_per_s = WARNING_LINES_PER_S if is_warning else INFO_LINES_PER_S
            bucket = TokenBucket(rate_per_s, rate_per_s * BURST_S)
            self._buckets[event, is_warning] = bucket
        if bucket.reserve(self.clock.now_ms(), 0.0) is None:
            return False
        write_record(record)
        return True

    def info(self, event: str, **fields: object) -> None:
        """Write a line at level info."""
        self.write(self.make(logging.INFO, event, fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write a line at level warning."""
        self.write(self.make(logging.WARNING, event, fields))

    def report_dropped(self) -> None:
        """Log how many lines of each event were dropped since the last report."""
        if self.dropped:
            counts = {f"n_{event}": number for event, number in self.dropped.items()}
            self.dropped.clear()
            write_record(self.make(logging.WARNING, "lines_dropped", counts))

    def make(
        self, level: int, event: str, fields: Mapping[str, object]
    ) -> logging.LogRecord:
        """Return a record with the current time and this router's id."""
        return make_record(level, event, {"router": self.router_id, **fields})


class RequestLog:
    """Write a request's lines as they are made, also those that explain a warning.

    Lines beyond the rate of info lines are kept back, the latest ones only. A
    warning writes them as warnings, so that the lines that led to it are logged.
    Lines after a warning are warnings too.
    """

    def __init__(self, limiter: LogLimiter, request_id: str) -> None:
        self._limiter = limiter
        self._request_id = request_id
        self._kept: deque[logging.LogRecord] = deque()
        self._has_warning = False

    def info(self, event: str, **fields: object) -> None:
        """Write a line; keep it back if the rate of info lines is exceeded."""
        all_fields = {"request_id": self._request_id, **fields}
        level = logging.WARNING if self._has_warning else logging.INFO
        record = self._limiter.make(level, event, all_fields)
        if self._has_warning:
            self._limiter.write(record)
        elif not self._limiter.try_write(record):
            self._keep(record)

    def warn(self, event: str, **fields: object) -> None:
        """Write a warning after the lines that were kept back."""
        self._has_warning = True
        for record in self._kept:
            record.levelno = logging.WARNING
            record.levelname = logging.getLevelName(logging.WARNING)
            self._limiter.write(record)
        self._kept.clear()
        self.info(event, **fields)

    def end(self) -> None:
        """Count the lines that were kept back as dropped."""
        for record in self._kept:
            self._limiter.count_dropped(record)
        self._kept.clear()

    def _keep(self, record: logging.LogRecord) -> None:
        self._kept.append(record)
        if len(self._kept) > MAX_KEPT_LINES:
            self._limiter.count_dropped(self._kept.popleft())
