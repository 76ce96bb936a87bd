"""Hold what upstreams say of themselves in their responses."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from random import Random

__all__ = [
    "MAX_REST_SPREAD_MS",
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
# A longer rest counts as this long, so that no response takes its upstream out of use
# for good.
MAX_REST_MS = 60_000.0
# Routers send their first requests after a rest spread over this share of it, so that
# they don't all come at once.
REST_SPREAD_SHARE = 0.25
MAX_REST_SPREAD_MS = 500.0


class Notice(Enum):
    """Classify what an upstream says of itself."""

    LEAVING = "leaving"
    RESTING = "resting"


@dataclass(frozen=True)
class UpstreamNotice:
    """Hold what one response says of its upstream, and the headers' values.

    `rest_ms` is how long the upstream wants no requests from this router.
    """

    is_leaving: bool = False
    leaving_value: str = ""
    rest_ms: float = 0.0
    rest_value: str = ""


NO_NOTICE = UpstreamNotice()


@dataclass(frozen=True)
class NoticeChange:
    """Report a notice that a router learned, or that it dropped again.

    `age_ms` is the time since the response with the notice, `for_ms` for how long it
    holds; None means until the upstream starts again.
    """

    upstream_id: str
    started_at_ms: int
    notice: Notice
    value: str
    age_ms: float = 0.0
    is_own: bool = True
    is_over: bool = False
    for_ms: float | None = None


@dataclass(frozen=True)
class LeavingState:
    """Hold when an upstream said that it leaves, and by which value."""

    said_at_ms: float
    value: str
    is_own: bool


@dataclass(frozen=True)
class RestState:
    """Hold when an upstream asked for a rest, by which value, and until when.

    `latest_ms` is when the rest has ended for the last of the routers that it asked.
    """

    said_at_ms: float
    value: str
    until_ms: float
    latest_ms: float
    is_own: bool = True


@dataclass
class UpstreamNotices:
    """Hold the notices of upstreams by incarnation.

    A leaving upstream stays so until it starts again, whatever the store lists. A
    resting one gets no request of this router until the rest ends. That it turned a
    peer away is only a hint: it may serve this router.
    """

    random: Random = field(default_factory=lambda: Random(0))

    on_change: Callable[[NoticeChange], None] = lambda change: None
    # Called when this router itself learns that an upstream leaves, with its value.
    on_leaving: Callable[[Incarnation, str], None] = lambda upstream, value: None
    # Called when this router is the first to learn of a rest, with value and length.
    on_rest: Callable[[Incarnation, str, float], None] = lambda *args: None
    # Rises with each change of the upstreams that leave.
    n_leaving_changes: int = 0
    _leaving: dict[Incarnation, LeavingState] = field(default_factory=dict)
    _resting: dict[Incarnation, RestState] = field(default_factory=dict)
    _peer_resting: dict[Incarnation, RestState] = field(default_factory=dict)

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
            self.on_leaving(upstream, state.value)
        if notice.rest_ms > 0.0:
            self._rest(upstream, notice, now_ms)
        else:
            self._peer_resting.pop(upstream, None)

    def receive_leaving(
        self, upstream: Incarnation, value: str, age_ms: float, now_ms: float
    ) -> None:
        """Record that an upstream leaves, by the word of a peer."""
        if upstream not in self._leaving:
            state = LeavingState(now_ms - max(0.0, age_ms), value, False)
            self._add_leaving(upstream, state, now_ms)

    def is_leaving(self, upstream: Incarnation) -> bool:
        """Return whether an upstream said that it leaves."""
        return upstream in self._leaving

    def is_resting(self, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether an upstream wants no requests from this router now."""
        return now_ms < self.rest_ends_at_ms(upstream)

    def rest_ends_at_ms(self, upstream: Incarnation) -> float:
        """Return when the last rest of an upstream ends, else -inf."""
        state = self._resting.get(upstream)
        return float("-inf") if state is None else state.until_ms

    def receive_rest(
        self, upstream: Incarnation, value: str, rest_ms: float, now_ms: float
    ) -> None:
        """Record that an upstream asked a peer for a rest."""
        rest_ms = min(max(0.0, rest_ms), MAX_REST_MS)
        until_ms = now_ms + rest_ms
        latest_ms = until_ms + _spread_ms(rest_ms)
        is_known = self.closed_until_ms(upstream) > now_ms
        state = RestState(now_ms, value, until_ms, latest_ms, is_own=False)
        self._peer_resting[upstream] = state
        if not is_known:
            self._report_rest(upstream, state, now_ms, is_over=False)

    def closed_until_ms(self, upstream: Incarnation) -> float:
        """Return when the last rest of an upstream ends, also that of a peer."""
        state = self._peer_resting.get(upstream)
        own_ms = self.rest_ends_at_ms(upstream)
        return own_ms if state is None else max(own_ms, state.until_ms)

    def open_everywhere_at_ms(self, upstream: Incarnation) -> float:
        """Return when the last router that knows of a rest sends requests again."""
        states = (self._resting.get(upstream), self._peer_resting.get(upstream))
        ends_ms = [state.latest_ms for state in states if state is not None]
        return max(ends_ms, default=float("-inf"))

    def n_resting(self, now_ms: float) -> int:
        """Return the number of upstreams that want no requests now."""
        return sum(now_ms < state.until_ms for state in self._resting.values())

    def drop_ended(self, now_ms: float) -> None:
        """Drop the rests that have ended."""
        for states in (self._resting, self._peer_resting):
            for upstream, state in list(states.items()):
                if now_ms >= state.until_ms:
                    del states[upstream]
                    self._report_rest(upstream, state, now_ms, is_over=True)

    def keep_only(self, upstreams: set[Incarnation], now_ms: float) -> None:
        """Drop the notices of upstreams that have not been listed for some time."""
        self.drop_ended(now_ms)
        for upstream, state in list(self._leaving.items()):
            age_ms = now_ms - state.said_at_ms
            if upstream not in upstreams and age_ms >= UNLISTED_RETENTION_MS:
                del self._leaving[upstream]
                self._report_leaving(upstream, state, now_ms, is_over=True)

    def _rest(
        self, upstream: Incarnation, notice: UpstreamNotice, now_ms: float
    ) -> None:
        """Start a rest or prolong the one that lasts; none is shortened."""
        self.drop_ended(now_ms)
        rest_ms = min(notice.rest_ms, MAX_REST_MS)
        spread_ms = _spread_ms(rest_ms)
        until_ms = now_ms + rest_ms + self.random.uniform(0.0, spread_ms)
        latest_ms = now_ms + rest_ms + spread_ms
        latest_ms = max(latest_ms, self.open_everywhere_at_ms(upstream))
        is_known = upstream in self._resting
        is_told = upstream in self._peer_resting
        until_ms = max(until_ms, self.rest_ends_at_ms(upstream))
        state = RestState(now_ms, notice.rest_value, until_ms, latest_ms)
        self._resting[upstream] = state
        if not is_known:
            self._report_rest(upstream, state, now_ms, is_over=False)
        if not is_known and not is_told:
            self.on_rest(upstream, state.value, rest_ms)

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

    def _report_rest(
        self,
        upstream: Incarnation,
        state: RestState,
        now_ms: float,
        *,
        is_over: bool,
    ) -> None:
        change = NoticeChange(
            *upstream,
            Notice.RESTING,
            state.value,
            now_ms - state.said_at_ms,
            state.is_own,
            is_over,
            for_ms=max(0.0, state.until_ms - now_ms),
        )
        self.on_change(change)


def _spread_ms(rest_ms: float) -> float:
    return min(MAX_REST_SPREAD_MS, REST_SPREAD_SHARE * rest_ms)
