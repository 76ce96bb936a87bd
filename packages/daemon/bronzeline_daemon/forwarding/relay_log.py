"""Write the lines on one request and its attempts."""

from __future__ import annotations

from collections.abc import Mapping

from bronzeline_daemon.forwarding.attempt import Attempt
from bronzeline_daemon.forwarding.attempt_fields import response_fields
from bronzeline_daemon.forwarding.relay_context import RequestReport
from bronzeline_daemon.log_limits import LogLimiter, RequestLog
from bronzeline_kernel.forwarding import Fault, ListedUpstream, ResponseHead

__all__ = ["CALLER_LEFT", "SERVED", "RelayLog"]

SERVED = "served"
CALLER_LEFT = "caller_left"
GOOD_OUTCOMES = frozenset({SERVED, CALLER_LEFT})


class RelayLog:
    """Log what happens to one request."""

    def __init__(self, logs: LogLimiter, request_id: str) -> None:
        self._log = RequestLog(logs, request_id)

    def silence_suspected(self, upstream: ListedUpstream, silent_ms: int) -> None:
        """Log that an upstream is probed, as the caller gets no events."""
        self._log.info(
            "silence_suspected", upstream_id=upstream.upstream_id, silent_ms=silent_ms
        )

    def attempt_sent(self, **fields: object) -> None:
        """Log that an attempt was sent."""
        self._log.info("attempt_sent", **fields)

    def attempt_abandoned(self, attempt: Attempt, after_ms: float) -> None:
        """Log that an attempt was abandoned, with the age of the request."""
        self._log.warn(
            "attempt_abandoned",
            number=attempt.send.number,
            upstream_id=attempt.send.upstream.upstream_id,
            after_ms=round(after_ms),
        )

    def attempt_lost(
        self, attempt: Attempt, fault: Fault, after_ms: float, n_events: int
    ) -> None:
        """Log that an attempt failed after it had added some events."""
        self._log.warn(
            "attempt_lost",
            number=attempt.send.number,
            fault=fault.value,
            upstream_id=attempt.send.upstream.upstream_id,
            after_ms=round(after_ms),
            n_events=n_events,
            **response_fields(attempt.head, attempt.n_earlier_requests),
        )

    def response_skipped(self, attempt: Attempt, head: ResponseHead) -> None:
        """Log a response that belongs to another request."""
        self._log.warn(
            "response_skipped",
            number=attempt.send.number,
            upstream_id=attempt.send.upstream.upstream_id,
            **response_fields(head, attempt.n_earlier_requests),
        )

    def request_ended(
        self, report: RequestReport, status: int | None, fields: Mapping[str, object]
    ) -> None:
        """Log the end of the request with the status that the caller got."""
        write = self._log.info
        if report.outcome not in GOOD_OUTCOMES:
            write = self._log.warn
        write(
            "request_ended",
            outcome=report.outcome,
            reason=report.reason,
            status=status,
            upstream_id=report.upstream_id,
            n_attempts=report.n_attempts,
            duration_ms=round(report.duration_ms),
            first_event_ms=round(report.first_event_ms),
            longest_gap_ms=round(report.longest_gap_ms),
            **fields,
        )
        self._log.end()
