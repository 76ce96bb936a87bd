"""Read routers' log lines back, and tell requests' stories from them."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

__all__ = [
    "FailedRequest",
    "LogLine",
    "failed_requests",
    "lines_of_request",
    "read_lines",
]

# A reader of several routers' output may put a time and a name before a line.
START = re.compile(r'(?:^|\s)(?=time=|\{"time")')
PAIR = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s|$)')
SERVED = "served"
CALLER_LEFT = "caller_left"
# A served stream is late with a longer gap or a later first event.
LATE_GAP_MS = 700.0
LATE_FIRST_EVENT_MS = 4_500.0
# Events that say why a request did not go well.
CAUSE_EVENTS = frozenset(
    {"attempt_lost", "attempt_abandoned", "request_refused", "copy_failed"}
)


@dataclass(frozen=True)
class LogLine:
    """Hold one line: when, from whom, what, and its fields."""

    time: str
    router: str
    event: str
    fields: dict[str, str] = field(default_factory=dict)

    def __str__(self) -> str:
        told = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return (
            f"{self.time} {self.router or '-'}: {self.event.replace('_', ' ')} {told}"
        )


@dataclass(frozen=True)
class FailedRequest:
    """Hold a request that failed or came late, and the lines that say why."""

    request_id: str
    outcome: str
    reason: str
    causes: tuple[LogLine, ...]

    @property
    def is_explained(self) -> bool:
        """Say whether its cause is in the log."""
        return bool(self.causes) or bool(self.reason)


def read_lines(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the routers' lines among others, in both log formats."""
    for line in lines:
        start = START.search(line)
        if start is None:
            continue
        fields = _fields(line[start.end() :].strip())
        if fields is None or "event" not in fields:
            continue
        named = line[: start.start()].split()
        router = fields.pop("router", named[-1] if named else "")
        fields.pop("level", None)
        yield LogLine(fields.pop("time", ""), router, fields.pop("event"), fields)


def lines_of_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """List a request's lines in order of time, over all routers."""
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    return sorted(own, key=lambda line: line.time)


def failed_requests(lines: Iterable[LogLine]) -> list[FailedRequest]:
    """List the requests that were refused, failed or served late."""
    by_request: dict[str, list[LogLine]] = {}
    for line in lines:
        request_id = line.fields.get("request_id")
        if request_id is not None:
            by_request.setdefault(request_id, []).append(line)
    found = []
    for request_id, own in by_request.items():
        failed = _failure(request_id, own)
        if failed is not None:
            found.append(failed)
    return found


def _failure(request_id: str, own: list[LogLine]) -> FailedRequest | None:
    causes = tuple(line for line in own if line.event in CAUSE_EVENTS)
    ends = [line for line in own if line.event in ("request_ended", "request_refused")]
    if not ends:
        return FailedRequest(request_id, "not ended", "", causes)
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
            read = json.loads(text)
        except ValueError:
            return None
        return {name: str(value) for name, value in read.items()}
    fields = {}
    for name, value in PAIR.findall(text):
        fields[name] = json.loads(value) if value.startswith('"') else value
    return fields
