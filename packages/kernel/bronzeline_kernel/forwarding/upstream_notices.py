"""Hold what upstreams say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

__all__ = [
    "NO_NOTICE",
    "Incarnation",
    "Notice",
    "NoticeChange",
    "UpstreamNotice",
    "UpstreamNotices",
]

# An upstream's id and start time.
Incarnation = tuple[str, int]

# How long the notice of an upstream that is not listed is kept, as the store may list
# it again.
UNLISTED_RETENTION_MS = 60_000.0


class Notice(Enum):
    """Classify what an upstream says of itself."""

    LEAVING = "leaving"


@dataclass(frozen=True)
class UpstreamNotice:
    """Hold what one response says of its upstream, and the headers' values."""

    is_leaving: bool = False
    leaving_value: str = ""


NO_NOTICE = UpstreamNotice()


@dataclass(frozen=True)
class NoticeChange:
    """Report a notice that a router learned, or that it dropped again.

    `age_ms` is the time since the response with the notice.
    """

    upstream_id: str
    started_at_ms: int
    notice: Notice
    value: str
    age_ms: float = 0.0
    is_own: bool = True
    is_over: bool = False


@dataclass(frozen=True)
class LeavingState:
    """Hold when an upstream said that it leaves, and by which value."""

    said_at_ms: float
    value: str
    is_own: bool


@dataclass
class UpstreamNotices:
    """Hold the notices of upstreams by incarnation.

    A leaving upstream stays so until it starts again, whatever the store lists.
    """

    on_change: Callable[[NoticeChange], None] = lambda change: None
    # Rises with each change of the upstreams that leave.
    n_leaving_changes: int = 0
    _leaving: dict[Incarnation, LeavingState] = field(default_factory=dict)

    @property
    def n_leaving(self) -> int:
        """Return the number of upstreams that said that they leave."""
        return len(self._leaving)

    def record(
        self, upstream: Incarnation, notice: UpstreamNotice, now_ms: float
    ) -> None:
        """Record the notice of a response."""
        if notice.is_leaving and upstream not in self._leaving:
            state = LeavingState(now_ms, notice.leaving_value, True)
            self._add_leaving(upstream, state, now_ms)

    def is_leaving(self, upstream: Incarnation) -> bool:
        """Return whether an upstream said that it leaves."""
        return upstream in self._leaving

    def keep_only(self, upstreams: set[Incarnation], now_ms: float) -> None:
        """Drop the notices of upstreams that have not been listed for some time."""
        for upstream, state in list(self._leaving.items()):
            age_ms = now_ms - state.said_at_ms
            if upstream not in upstreams and age_ms >= UNLISTED_RETENTION_MS:
                del self._leaving[upstream]
                self._report_leaving(upstream, state, now_ms, is_over=True)

    def _add_leaving(
        self, upstream: Incarnation, state: LeavingState, now_ms: float
    ) -> None:
        self._leaving[upstream] = state
        self._report_leaving(upstream, state, now_ms, is_over=False)

    def _report_leaving(
        self,
        upstream: Incarnation,
        state: LeavingState,
        now_ms: float,
        *,
        is_over: bool,
    ) -> None:
        change = NoticeChange(
            *upstream,
            Notice.LEAVING,
            state.value,
            now_ms - state.said_at_ms,
            state.is_own,
            is_over,
        )
        self.n_leaving_changes += 1
        self.on_change(change)
