"""Bound how many log lines a router writes, by kind and importance."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from bronzeline_daemon.logs import make_record, write_record
from bronzeline_kernel.protocols import Clock
from bronzeline_kernel.rate_limit import TokenBucket

__all__ = ["LogLimiter", "RequestLog"]

# A line costs 0.1 ms of processor time. Good requests may take 1% of a core,
# troubled ones 4%: together a twentieth.
INFO_LINES_PER_S = 100.0
WARNING_LINES_PER_S = 400.0
BURST_S = 4.0


@dataclass
class LogLimiter:
    """Let so many lines of each kind through, and count the rest."""

    clock: Clock
    router_id: str
    dropped: Counter[str] = field(default_factory=Counter)
    _buckets: dict[tuple[str, bool], TokenBucket] = field(default_factory=dict)

    def write(self, record: logging.LogRecord) -> None:
        """Write a record unless its kind has had its share."""
        kind = record.getMessage()
        is_warning = record.levelno >= logging.WARNING
        bucket = self._buckets.get((kind, is_warning))
        if bucket is None:
            rate_per_s = WARNING_LINES_PER_S if is_warning else INFO_LINES_PER_S
            bucket = TokenBucket(rate_per_s, rate_per_s * BURST_S)
            self._buckets[kind, is_warning] = bucket
        if bucket.reserve(self.clock.now_ms(), 0.0) is None:
            self.dropped[kind] += 1
        else:
            write_record(record)

    def info(self, event: str, **fields: object) -> None:
        """Write a routine line."""
        self.write(self.make(logging.INFO, event, fields))

    def warn(self, event: str, **fields: object) -> None:
        """Write a line on something that went wrong."""
        self.write(self.make(logging.WARNING, event, fields))

    def report_dropped(self) -> None:
        """Say which lines were dropped since the last report."""
        if self.dropped:
            counts = {f"n_{kind}": number for kind, number in self.dropped.items()}
            self.dropped.clear()
            write_record(self.make(logging.WARNING, "lines_dropped", counts))

    def make(
        self, level: int, event: str, fields: Mapping[str, object]
    ) -> logging.LogRecord:
        """Return a line that names this router, with the time of now."""
        return make_record(level, event, {"router": self.router_id, **fields})


class RequestLog:
    """Hold a request's lines until it is known whether they matter.

    The lines of a request that met trouble are written as warnings, which go
    before those of good requests when there are too many.
    """

    def __init__(self, limiter: LogLimiter, request_id: str) -> None:
        self._limiter = limiter
        self._request_id = request_id
        self._records: list[logging.LogRecord] = []
        self._has_warning = False

    def info(self, event: str, **fields: object) -> None:
        """Add a line, with the time of now."""
        known = {"request_id": self._request_id, **fields}
        self._records.append(self._limiter.make(logging.INFO, event, known))
        if self._has_warning:
            self._flush(logging.WARNING)

    def warn(self, event: str, **fields: object) -> None:
        """Add a line on something that went wrong, and write all so far."""
        self._has_warning = True
        self.info(event, **fields)

    def end(self) -> None:
        """Write the lines of a request that met no trouble."""
        self._flush(logging.INFO)

    def _flush(self, level: int) -> None:
        for record in self._records:
            record.levelno = level
            record.levelname = logging.getLevelName(level)
            self._limiter.write(record)
        self._records.clear()
