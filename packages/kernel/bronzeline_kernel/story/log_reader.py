"""Parse router logs and find the lines and failures of requests."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from bronzeline_kernel.story.log_line import LogLine
from bronzeline_kernel.story.router_ends import RouterEnds

__all__ = [
    "FailedRequest",
    "failed_requests",
    "lines_of_request",
    "read_lines",
]

# Tools that merge the logs of several routers put a time and a router name before
# each line.
LINE_START = re.compile(r'(?:^|\s)(?=time=|\{"time")')
FIELD = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s|$)')
SERVED = "served"
CALLER_LEFT = "caller_left"
# A served stream counts as late above either of these limits.
LATE_GAP_MS = 700.0
LATE_FIRST_EVENT_MS = 4_500.0
# Events that explain why a request failed or was late.
CAUSE_EVENTS = frozenset(
    {"attempt_lost", "attempt_abandoned", "request_refused", "copy_failed"}
)


@dataclass(frozen=True)
class FailedRequest:
    """Represent a failed or late request and the log lines that explain it."""

    request_id: str
    outcome: str
    reason: str
    causes: tuple[LogLine, ...]

    @property
    def is_explained(self) -> bool:
        """Return whether the log contains a cause or a reason."""
        return bool(self.causes) or bool(self.reason)


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the router log lines of a text, JSON or key=value; skip other lines."""
    for line in lines:
        start = LINE_START.search(line)
        if start is None:
            continue
        fields = _fields(line[start.end() :].strip())
        if fields is None or "event" not in fields:
            continue
        prefix = line[: start.start()].split()
        router = fields.pop("router", prefix[-1] if prefix else "")
        fields.pop("level", None)
        yield LogLine(fields.pop("time", ""), router, fields.pop("event"), fields)


def lines_of_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request from all routers, ordered by time."""
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    return sorted(request_lines, key=lambda line: line.time)


def failed_requests(lines: Iterable[LogLine]) -> list[FailedRequest]:
    """Return the requests that failed, were refused or late, or have not ended."""
    by_request: dict[str, list[LogLine]] = {}
    all_lines = list(lines)
    router_ends = RouterEnds.from_lines(all_lines)
    for line in all_lines:
        request_id = line.fields.get("request_id")
        if request_id is not None:
            by_request.setdefault(request_id, []).append(line)
    found = []
    for request_id, request_lines in by_request.items():
        failed = _failure(request_id, request_lines, router_ends)
        if failed is not None:
            found.append(failed)
    return found


def _failure(
    request_id: str, request_lines: list[LogLine], router_ends: RouterEnds
) -> FailedRequest | None:
    causes = tuple(line for line in request_lines if line.event in CAUSE_EVENTS)
    ends = [
        line
        for line in request_lines
        if line.event in ("request_ended", "request_refused")
    ]
    if not ends:
        last_line = max(request_lines, key=lambda line: line.time)
        reason = router_ends.reason_not_ended(last_line)
        return FailedRequest(request_id, "not ended", reason, causes)
    fields = ends[-1].fields
    outcome = fields.get("outcome") or f"refused: {fields.get('refusal', '')}"
    if outcome == CALLER_LEFT or (outcome == SERVED and not _is_late(fields)):
        return None
    return FailedRequest(request_id, outcome, fields.get("reason", ""), causes)


def _is_late(fields: dict[str, str]) -> bool:
    gap_ms = float(fields.get("longest_gap_ms", 0.0))
    first_event_ms = float(fields.get("first_event_ms", 0.0))
    return gap_ms > LATE_GAP_MS or first_event_ms > LATE_FIRST_EVENT_MS


def _fields(text: str) -> dict[str, str] | None:
    if text.startswith("{"):
        try:
            decoded = json.loads(text)
        except ValueError:
            return None
        return {name: str(value) for name, value in decoded.items()}
    fields = {}
    for name, value in FIELD.findall(text):
        fields[name] = json.loads(value) if value.startswith('"') else value
    return fields
