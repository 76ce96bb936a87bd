"""Limit the rate and length of the log lines of libraries."""

from __future__ import annotations

import logging

from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.rate_limit import TokenBucket

__all__ = ["LibraryLogFilter", "limit_library_logs"]

# tornado logs through these; a logger's filters don't apply to those below it.
LOGGERS = ("tornado.general", "tornado.application", "tornado.access", "asyncio")
# Callers can cause a line for each request; a few show what they send.
LINES_PER_S = 10.0
BURST_LINES = 40.0
# A malformed request is quoted in its line.
MAX_MESSAGE_CHARACTERS = 400


class LibraryLogFilter(logging.Filter):
    """Let a limited number of lines pass from each place in the code."""

    def __init__(self, limiter: LogLimiter) -> None:
        super().__init__()
        self._limiter = limiter
        self._buckets: dict[tuple[str, int], TokenBucket] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Return whether a line may be written; count it as dropped otherwise."""
        place = (record.pathname, record.lineno)
        bucket = self._buckets.get(place)
        if bucket is None:
            bucket = TokenBucket(LINES_PER_S, BURST_LINES)
            self._buckets[place] = bucket
        if bucket.reserve(self._limiter.clock.now_ms(), 0.0) is None:
            self._limiter.dropped[f"{record.name}.{record.funcName}"] += 1
            return False
        message = record.getMessage()
        if len(message) > MAX_MESSAGE_CHARACTERS:
            record.msg, record.args = f"{message[:MAX_MESSAGE_CHARACTERS]}...", ()
        return True


def limit_library_logs(limiter: LogLimiter) -> None:
    """Limit the lines of all libraries; dropped ones are reported by the limiter."""
    log_filter = LibraryLogFilter(limiter)
    for name in LOGGERS:
        logging.getLogger(name).addFilter(log_filter)
