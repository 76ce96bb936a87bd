"""Count what the responses of each software version were like, on all routers.

Addresses rollouts in fleets of some sixty routers, each of which sees a small part of
a service's requests. Counts are cumulative, so that a report that is lost or arrives
twice changes nothing, and a router that takes over the decision has all of them.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "FleetEvidence",
    "OwnEvidence",
    "RolloutReport",
    "Sample",
    "VersionCounts",
    "bucket_of",
    "lower_bound_ms",
]

# Enough buckets to tell twice the median from less.
BUCKETS_PER_DOUBLING = 6
MAX_BUCKET = 120
# Pace is measured over this many gaps, about half a second of a stream.
N_PACE_GAPS = 20

Buckets = tuple[tuple[int, int], ...]


def bucket_of(duration_ms: float) -> int:
    """Return the bucket of a duration."""
    exact = BUCKETS_PER_DOUBLING * math.log2(max(1.0, duration_ms))
    return min(MAX_BUCKET, int(exact))


def lower_bound_ms(bucket: int) -> float:
    """Return the shortest duration of a bucket."""
    return float(2.0 ** (bucket / BUCKETS_PER_DOUBLING))


@dataclass(frozen=True)
class VersionCounts:
    """Hold the counts of one version and route.

    `n_failed` counts responses that report a failure, end early or pause too long;
    `n_lost` those that a connection or a corrupted response cut off, which also
    happens in a zone crash. `first_ms` has the time to the first event or to the
    response of all others, `waiting_ms` how long requests have waited for it, and
    `pace_ms` the usual gap of a stream, each as pairs of bucket and count.
    """

    version: str
    route: str
    n_sent: int = 0
    n_running: int = 0
    n_failed: int = 0
    n_lost: int = 0
    first_ms: Buckets = ()
    waiting_ms: Buckets = ()
    pace_ms: Buckets = ()

    @property
    def n_answered(self) -> int:
        """Return how many responses began and did not fail."""
        return sum(count for _, count in self.first_ms)

    @property
    def n_ended(self) -> int:
        """Return how many responses have begun or failed."""
        return self.n_answered + self.n_failed + self.n_lost

    def n_later_than(self, limit_ms: float) -> int:
        """Return how many responses came, or still wait, later than a limit."""
        return sum(
            count
            for bucket, count in (*self.first_ms, *self.waiting_ms)
            if lower_bound_ms(bucket) >= limit_ms
        )

    def n_waiting_less_than(self, limit_ms: float) -> int:
        """Return how many requests have waited for less than a limit."""
        return sum(
            count
            for bucket, count in self.waiting_ms
            if lower_bound_ms(bucket) < limit_ms
        )

    def add(self, other: VersionCounts) -> VersionCounts:
        """Return the sum of two counts of a version and route."""
        return VersionCounts(
            self.version,
            self.route,
            self.n_sent + other.n_sent,
            self.n_running + other.n_running,
            self.n_failed + other.n_failed,
            self.n_lost + other.n_lost,
            _add_buckets(self.first_ms, other.first_ms),
            _add_buckets(self.waiting_ms, other.waiting_ms),
            _add_buckets(self.pace_ms, other.pace_ms),
        )


@dataclass(frozen=True)
class RolloutReport:
    """Report a router's counts since it learned of a rollout; its type is a message."""

    service: str
    version: str
    router_id: str
    incarnation: int
    number: int
    counts: tuple[VersionCounts, ...]


@dataclass
class Sample:
    """Follow one attempt until it has been counted."""

    counter: _Counter
    sent_at_ms: float
    first_at_ms: float | None = None
    n_gaps: int = 0
    last_at_ms: float = 0.0
    max_gap_ms: float = math.inf
    has_failed: bool = False
    is_over: bool = False

    def record_event(self, now_ms: float) -> None:
        """Count the first event or the response; check the gaps between events."""
        if self.is_over or self.has_failed:
            return
        if self.first_at_ms is None:
            self.first_at_ms = now_ms
            self.counter.first_ms[bucket_of(now_ms - self.sent_at_ms)] += 1
        else:
            self.n_gaps += 1
            if self.n_gaps == N_PACE_GAPS:
                pace_ms = (now_ms - self.first_at_ms) / N_PACE_GAPS
                self.counter.pace_ms[bucket_of(pace_ms)] += 1
            if now_ms - self.last_at_ms > self.max_gap_ms:
                self._fail()
                self.counter.n_failed += 1
        self.last_at_ms = now_ms

    def restart_gap(self, now_ms: float) -> None:
        """Measure the next gap from now, after a time in which nothing was read."""
        self.last_at_ms = now_ms

    def record_failure(self, *, is_cut_off: bool) -> None:
        """Count a failure, in place of the success counted at the first event."""
        if self.is_over or self.has_failed:
            return
        self._fail()
        if is_cut_off:
            self.counter.n_lost += 1
        else:
            self.counter.n_failed += 1

    def end(self) -> None:
        """Stop to count the attempt as running."""
        if not self.is_over:
            self.is_over = True
            self.counter.running.discard(id(self))
            self.counter.samples.pop(id(self), None)

    def _fail(self) -> None:
        self.has_failed = True
        if self.first_at_ms is not None:
            self.counter.first_ms[bucket_of(self.first_at_ms - self.sent_at_ms)] -= 1


@dataclass
class _Counter:
    """Hold the counts of one version and route while they change."""

    n_sent: int = 0
    n_failed: int = 0
    n_lost: int = 0
    first_ms: Counter[int] = field(default_factory=Counter)
    pace_ms: Counter[int] = field(default_factory=Counter)
    running: set[int] = field(default_factory=set)
    samples: dict[int, Sample] = field(default_factory=dict)

    def counts(self, version: str, route: str, now_ms: float) -> VersionCounts:
        waiting = Counter(
            bucket_of(now_ms - item.sent_at_ms)
            for item in self.samples.values()
            if item.first_at_ms is None and not item.has_failed
        )
        return VersionCounts(
            version,
            route,
            self.n_sent,
            len(self.running),
            self.n_failed,
            self.n_lost,
            _pairs(self.first_ms),
            _pairs(waiting),
            _pairs(self.pace_ms),
        )


class OwnEvidence:
    """Count the attempts of this router at one service during one rollout."""

    def __init__(self) -> None:
        self._counters: dict[tuple[str, str], _Counter] = {}

    def begin(
        self, version: str, route: str, now_ms: float, max_gap_ms: float = math.inf
    ) -> Sample:
        """Count an attempt and return where its outcome is recorded."""
        counter = self._counters.setdefault((version, route), _Counter())
        counter.n_sent += 1
        sample = Sample(counter, now_ms, max_gap_ms=max_gap_ms)
        counter.running.add(id(sample))
        counter.samples[id(sample)] = sample
        return sample

    def counts(self, now_ms: float) -> tuple[VersionCounts, ...]:
        """Return the counts of all versions and routes."""
        return tuple(
            item.counts(version, route, now_ms)
            for (version, route), item in self._counters.items()
        )


class FleetEvidence:
    """Sum the latest reports of all routers; those of former processes count on."""

    def __init__(self) -> None:
        self._latest: dict[tuple[str, int], RolloutReport] = {}
        self._at_ms: dict[tuple[str, int], float] = {}

    def receive(self, report: RolloutReport, now_ms: float) -> None:
        """Keep a report unless one with the same or a higher number is known."""
        key = (report.router_id, report.incarnation)
        known = self._latest.get(key)
        if known is not None and known.number >= report.number:
            return
        self._latest[key] = report
        self._at_ms[key] = now_ms

    def totals(self) -> Mapping[tuple[str, str], VersionCounts]:
        """Return the sums by version and route."""
        totals: dict[tuple[str, str], VersionCounts] = {}
        for report in self._latest.values():
            for item in report.counts:
                key = (item.version, item.route)
                known = totals.get(key)
                totals[key] = item if known is None else known.add(item)
        return totals

    def n_running(
        self, versions: Iterable[str], now_ms: float, max_age_ms: float
    ) -> int:
        """Return the attempts at some versions that recent reports say are running."""
        wanted = set(versions)
        return sum(
            item.n_running
            for key, report in self._latest.items()
            if now_ms - self._at_ms[key] < max_age_ms
            for item in report.counts
            if item.version in wanted
        )

    def ages_ms(self, now_ms: float) -> Mapping[tuple[str, str], float]:
        """Return the age of the newest report with each version and route."""
        ages: dict[tuple[str, str], float] = {}
        for key, report in self._latest.items():
            for item in report.counts:
                subject = (item.version, item.route)
                age_ms = now_ms - self._at_ms[key]
                ages[subject] = min(age_ms, ages.get(subject, age_ms))
        return ages

    @property
    def n_reports(self) -> int:
        """Return how many processes have reported."""
        return len(self._latest)

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the newest report, None without one."""
        newest = max(self._at_ms.values(), default=None)
        return None if newest is None else now_ms - newest


def _pairs(counts: Counter[int]) -> Buckets:
    return tuple(sorted((key, count) for key, count in counts.items() if count))


def _add_buckets(first: Buckets, second: Buckets) -> Buckets:
    return _pairs(Counter(dict(first)) + Counter(dict(second)))
