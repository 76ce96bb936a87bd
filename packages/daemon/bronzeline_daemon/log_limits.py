"""Limit the rate of log lines by event and level."""

from __future__ import annotations

import logging
from collections import Counter
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


@dataclass
class LogLimiter:
    """Write a limited number of lines per event and level; count the rest."""

    clock: Clock
    router_id: str
    dropped: Counter[str] = field(default_factory=Counter)
    _buckets: dict[tuple[str, bool], TokenBucket] = field(default_factory=dict)

    def write(self, record: logging.LogRecord) -> None:
        """Write a record unless its event and level exceed their rate."""
        event = record.getMessage()
        is_warning = record.levelno >= logging.WARNING
        bucket = self._buckets.get((event, is_warning))
        if bucket is None:
            rate_per_s = WARNING_LINES_PER_S if is_warning else INFO_LINES_PER_S
            bucket = TokenBucket(rate_per_s, rate_per_s * BURST_S)
            self._buckets[event, is_warning] = bucket
        if bucket.reserve(self.clock.now_ms(), 0.0) is None:
            self.dropped[event] += 1
        else:
            write_record(record)

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
    """Buffer a request's lines until their level is known.

    All lines of a request with a warning are written as warnings, so that they
    survive when the rate of info lines is exceeded.
    """

    def __init__(self, limiter: LogLimiter, request_id: str) -> None:
        self._limiter = limiter
        self._request_id = request_id
        self._records: list[logging.LogRecord] = []
        self._has_warning = False

    def info(self, event: str, **fields: object) -> None:
        """Add a line; after a warning, write it at once and as a warning, too."""
        all_fields = {"request_id": self._request_id, **fields}
        self._records.append(self._limiter.make(logging.INFO, event, all_fields))
        if self._has_warning:
            self._flush(logging.WARNING)

    def warn(self, event: str, **fields: object) -> None:
        """Add a warning and write all buffered lines as warnings."""
        self._has_warning = True
        self.info(event, **fields)

    def end(self) -> None:
        """Write the buffered lines at level info."""
        self._flush(logging.INFO)

    def _flush(self, level: int) -> None:
        for record in self._records:
            record.levelno = level
            record.levelname = logging.getLevelName(level)
            self._limiter.write(record)
        self._records.clear()
