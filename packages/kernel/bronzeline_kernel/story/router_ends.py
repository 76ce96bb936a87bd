"""Find routers that ended before a request did, from the routers' log lines."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from bronzeline_kernel.story.log_line import LogLine

__all__ = ["RouterEnds"]

STARTED = "started"
ROUTER_RESTARTED = "router restarted"
ROUTER_SILENT = "router silent"
TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"
# A router that serves callers seldom writes nothing for this long.
SILENCE_LIMIT = timedelta(seconds=5)


@dataclass
class RouterEnds:
    """Hold when each router started and when it wrote its last line."""

    _started_at: defaultdict[str, list[str]] = field(
        default_factory=lambda: defaultdict(list)
    )
    _last_line_at: dict[str, str] = field(default_factory=dict)

    @classmethod
    def from_lines(cls, lines: Iterable[LogLine]) -> RouterEnds:
        """Return what the lines tell about the routers that wrote them."""
        ends = cls()
        for line in lines:
            ends._add(line)
        return ends

    def reason_not_ended(self, last_line: LogLine) -> str:
        """Return why a request has no further line, an empty string if unknown."""
        router, at = last_line.router, last_line.time
        if any(started_at > at for started_at in self._started_at[router]):
            return ROUTER_RESTARTED
        if self._is_silent(router):
            return ROUTER_SILENT
        return ""

    def _add(self, line: LogLine) -> None:
        if line.event == STARTED:
            self._started_at[line.router].append(line.time)
        last_at = self._last_line_at.get(line.router, "")
        self._last_line_at[line.router] = max(last_at, line.time)

    def _is_silent(self, router: str) -> bool:
        """Return whether other routers' lines go on after this router's last one."""
        last_at = self._last_line_at.get(router, "")
        latest_at = max(self._last_line_at.values(), default="")
        try:
            silent_for = _parse(latest_at) - _parse(last_at)
        except ValueError:
            return False
        return silent_for > SILENCE_LIMIT


def _parse(time: str) -> datetime:
    return datetime.strptime(time, TIME_FORMAT)
