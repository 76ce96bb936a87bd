"""Keep all routers together within the request rates that upstreams name."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = ["LimitChange", "LimitReport", "UpstreamLimits"]

MS_PER_S = 1_000.0
# Requests that come after a pause may follow each other within this time.
BURST_S = 0.5
# An upstream that takes nothing must still be asked whether that holds.
MIN_PER_S = 0.1
# Resumed streams may be sent ahead of their time, as their callers wait for events.
MAX_AHEAD = 4.0
# Requests under such a limit are reported one by one, to all routers. Under a higher
# one they are reported together.
MAX_SINGLE_PER_S = 20.0
# With more routers than this, each zone has a fixed share of a higher limit.
MAX_GROUP = 128
# Callers are told to come back within this time, however many were refused.
MAX_RETURN_MS = 12_000.0
# Callers that come for the first time take the rest of what the limits allow.
RETURN_SHARE = 0.5
# How long the end of a limit is remembered, so that an older report of a peer does
# not bring it back.
ENDED_RETENTION_MS = 10_000.0


@dataclass(frozen=True)
class LimitChange:
    """Report a limit that an upstream has named; None if it named it no longer."""

    upstream_id: str
    limit_per_s: float | None
    is_own: bool


@dataclass(frozen=True)
class LimitReport:
    """Report an upstream's limit and the requests sent to it since the last report.

    `age_ms` is the time since the response that named the limit, or none.
    """

    upstream_id: str
    started_at_ms: int
    limit_per_s: float | None
    age_ms: float
    n_sent: int

    @property
    def upstream(self) -> Incarnation:
        """Return the upstream's id and start time."""
        return self.upstream_id, self.started_at_ms


@dataclass
class LimitState:
    """Hold what is known of one upstream's limit, and how much of it is left.

    `n_left` falls below 0 when routers send at the same time, or ahead of time.
    """

    limit_per_s: float | None
    named_at_ms: float
    n_left: float
    filled_at_ms: float
    n_unreported: int = 0


@dataclass
class UpstreamLimits:
    """Share the limits that upstreams name among all routers.

    Each router reports what it sends to a limited upstream, and counts what its
    peers report as its own, so all of them see the same requests left.
    """

    on_change: Callable[[LimitChange], None] = lambda change: None
    # Called with a report that peers should get at once.
    on_report: Callable[[LimitReport], None] = lambda report: None
    n_routers: int = 1
    n_in_zone: int = 1
    _states: dict[Incarnation, LimitState] = field(default_factory=dict)
    _return_due_ms: dict[str, float] = field(default_factory=dict)

    def __len__(self) -> int:
        """Return the number of upstreams that have a limit."""
        return sum(item.limit_per_s is not None for item in self._states.values())

    def limit_per_s(self, upstream: Incarnation) -> float | None:
        """Return the limit of an upstream, None if it has none."""
        state = self._states.get(upstream)
        return None if state is None else state.limit_per_s

    def record_response(
        self, upstream: Incarnation, limit_per_s: float | None, now_ms: float
    ) -> None:
        """Record the limit that a response names, None if it names none."""
        state = self._states.get(upstream)
        if state is None and limit_per_s is None:
            return
        is_changed = state is None or state.limit_per_s != limit_per_s
        state = self._name(upstream, limit_per_s, now_ms, now_ms)
        if is_changed:
            self.on_change(LimitChange(upstream[0], limit_per_s, True))
            self._report(upstream, state, now_ms)

    def receive(self, report: LimitReport, now_ms: float) -> None:
        """Handle a peer's report."""
        state = self._states.get(report.upstream)
        named_at_ms = now_ms - report.age_ms
        if state is None or named_at_ms > state.named_at_ms:
            previous = None if state is None else state.limit_per_s
            state = self._name(report.upstream, report.limit_per_s, named_at_ms, now_ms)
            if previous != report.limit_per_s:
                change = LimitChange(report.upstream_id, report.limit_per_s, False)
                self.on_change(change)
        self._fill(state, now_ms)
        state.n_left -= report.n_sent

    def may_send(self, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether an upstream's limit allows a request now."""
        return self._n_left(upstream, now_ms) >= 1.0

    def may_send_ahead(self, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether a stream may resume on an upstream now."""
        return self._n_left(upstream, now_ms) >= 1.0 - MAX_AHEAD

    def record_send(self, upstream: Incarnation, now_ms: float) -> None:
        """Count a request of this router against an upstream's limit."""
        state = self._states.get(upstream)
        if state is None or state.limit_per_s is None:
            return
        self._fill(state, now_ms)
        state.n_left -= 1.0
        state.n_unreported += 1
        if state.limit_per_s <= MAX_SINGLE_PER_S:
            self._report(upstream, state, now_ms)

    def reports(self, now_ms: float) -> list[LimitReport]:
        """Return the reports of what was sent under higher limits since the last."""
        return [
            self._take_report(upstream, state, now_ms)
            for upstream, state in self._states.items()
            if state.n_unreported
        ]

    def is_for_zone(self, report: LimitReport) -> bool:
        """Return whether only the peers in this zone count a report."""
        if report.limit_per_s is None:
            return False
        return self._has_zone_share(report.limit_per_s)

    def return_after_ms(
        self, service: str, upstreams: Collection[ListedUpstream], now_ms: float
    ) -> float | None:
        """Return after what time a caller should come back, None without limits.

        Callers are let in one after the other, as fast as the limits allow.
        """
        limited = [
            item.incarnation
            for item in upstreams
            if self.limit_per_s(item.incarnation) is not None
        ]
        if not limited:
            return None
        rate_per_s = RETURN_SHARE * sum(self._share_per_s(item) for item in limited)
        first_ms = now_ms + min(self._wait_ms(item, now_ms) for item in limited)
        due_ms = max(first_ms, self._return_due_ms.get(service, 0.0))
        next_due_ms = due_ms + self.n_routers * MS_PER_S / rate_per_s
        self._return_due_ms[service] = min(next_due_ms, now_ms + MAX_RETURN_MS)
        return due_ms - now_ms

    def keep_only(self, upstreams: set[Incarnation], now_ms: float) -> None:
        """Drop upstreams that are no longer listed, and limits that ended."""
        for upstream, state in list(self._states.items()):
            has_ended = state.limit_per_s is None
            is_old = now_ms - state.named_at_ms >= ENDED_RETENTION_MS
            if upstream not in upstreams or (has_ended and is_old):
                del self._states[upstream]

    def _name(
        self,
        upstream: Incarnation,
        limit_per_s: float | None,
        named_at_ms: float,
        now_ms: float,
    ) -> LimitState:
        state = self._states.get(upstream)
        if state is None or state.limit_per_s is None:
            # What was sent before is not counted, so nothing is left at first.
            state = LimitState(limit_per_s, named_at_ms, 0.0, now_ms)
            self._states[upstream] = state
            return state
        self._fill(state, now_ms)
        state.limit_per_s = limit_per_s
        state.named_at_ms = max(named_at_ms, state.named_at_ms)
        return state

    def _n_left(self, upstream: Incarnation, now_ms: float) -> float:
        state = self._states.get(upstream)
        if state is None or state.limit_per_s is None:
            return float("inf")
        self._fill(state, now_ms)
        return state.n_left

    def _fill(self, state: LimitState, now_ms: float) -> None:
        elapsed_ms = max(0.0, now_ms - state.filled_at_ms)
        state.filled_at_ms = max(now_ms, state.filled_at_ms)
        if state.limit_per_s is None:
            return
        rate_per_s = self._rate_per_s(state.limit_per_s)
        burst = max(1.0, BURST_S * rate_per_s)
        n_left = state.n_left + rate_per_s * elapsed_ms / MS_PER_S
        state.n_left = min(burst, n_left)

    def _wait_ms(self, upstream: Incarnation, now_ms: float) -> float:
        n_missing = max(0.0, 1.0 - self._n_left(upstream, now_ms))
        return n_missing / self._share_per_s(upstream) * MS_PER_S

    def _share_per_s(self, upstream: Incarnation) -> float:
        limit_per_s = self.limit_per_s(upstream)
        return 0.0 if limit_per_s is None else self._rate_per_s(limit_per_s)

    def _rate_per_s(self, limit_per_s: float) -> float:
        """Return the rate that the routers which count each other's requests have."""
        rate_per_s = max(MIN_PER_S, limit_per_s)
        if self._has_zone_share(limit_per_s):
            return rate_per_s * self.n_in_zone / self.n_routers
        return rate_per_s

    def _has_zone_share(self, limit_per_s: float) -> bool:
        return limit_per_s > MAX_SINGLE_PER_S and self.n_routers > MAX_GROUP

    def _report(self, upstream: Incarnation, state: LimitState, now_ms: float) -> None:
        self.on_report(self._take_report(upstream, state, now_ms))

    def _take_report(
        self, upstream: Incarnation, state: LimitState, now_ms: float
    ) -> LimitReport:
        report = LimitReport(
            *upstream,
            state.limit_per_s,
            now_ms - state.named_at_ms,
            state.n_unreported,
        )
        state.n_unreported = 0
        return report
