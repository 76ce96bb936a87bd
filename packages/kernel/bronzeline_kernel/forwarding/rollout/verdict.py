"""Judge a candidate version against the control, by sequential tests per route.

Addresses versions of which some responses fail or are several times slower, from the
start or later, under load or on one route. Each test compares the share of bad
responses with that of the control over the same rollout, so that faults that affect
both alike decide nothing.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from enum import Enum

from bronzeline_kernel.forwarding.rollout.comparison import (
    FAILED_MARGIN,
    MIN_COMPARED,
    are_failures_one_sided,
    exceeds,
    failure_ratio,
    has_more_slow,
    is_slower,
    median_ms,
)
from bronzeline_kernel.forwarding.rollout.cusum import (
    FAILED,
    LATE,
    LOST,
    ResponseSeries,
    response_weights,
)
from bronzeline_kernel.forwarding.rollout.evidence import VersionCounts

__all__ = ["Judgement", "Verdict", "VersionJudge"]

# A good version exceeds the threshold less than once in e^6.9 = 1,000 responses per
# test, and less often as its share of bad responses is below the assumed one.
BAD_THRESHOLD = 6.9
# A version whose share of bad responses is that of a bad one passes with a
# probability of at most e^-3 = 0.05.
GOOD_THRESHOLD = -3.0
# The failures of a service that normally fails a tenth come above -3 by chance in 1 of
# 20 rollouts with 60 responses.
GOOD_THRESHOLD_FAILING = 2.0
# A route whose test has come this far towards "bad" keeps a version from being good:
# one failure does not, two in a row do.
MAX_DOUBT = 2.2
# A service that normally fails some requests comes this far by chance.
MAX_DOUBT_FAILING = 5.0
FAILING_SHARE = 0.03
SLOW_FACTOR = 3.0
# A route with much traffic needs this many responses, one with little this many.
MIN_RESPONSES = 8
MIN_RESPONSES_SPARSE = 4
SPARSE_SHARE = 0.1
MIN_CONTROL = 2
# With fewer responses of the control on a route, those of all routes count.
MIN_ROUTE_CONTROL = 10
# A route passes if its good responses outweigh its failures by as much as the least
# number of responses without a failure, and in a service that normally fails some if
# chance may explain them (where a tenth is usual, 3 failures of 7 do, 4 of 9 don't).
RATIO_PER_RESPONSE = -0.68
MAX_RATIO_FAILING = 3.3
# Responses that are still awaited are waited out with fewer than this on a route, or
# after a failure that few good ones have followed.
MIN_SETTLED = 8
SETTLED_DOUBT = 1.0
# A route with a few requests in all needs at most this share of them.
MAX_NEEDED_SHARE = 0.4


class Verdict(Enum):
    """Classify a candidate by the evidence so far."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


@dataclass(frozen=True)
class Judgement:
    """Hold a verdict and the counts of the route that decided it."""

    verdict: Verdict
    reason: str
    route: str = ""
    n_bad: int = 0
    n_responses: int = 0
    n_control_bad: int = 0
    n_control: int = 0


@dataclass
class VersionJudge:
    """Judge one candidate; called with cumulative counts, again and again."""

    version: str
    # The control's median time to a first event or response, 0 without one.
    usual_first_ms: float = 0.0
    # Whether responses that have not come yet may matter to the verdict.
    awaits_responses: bool = False
    _series: dict[tuple[str, str], ResponseSeries] = field(default_factory=dict)
    _scores: dict[tuple[str, str], float] = field(default_factory=dict)

    def judge(
        self,
        totals: Mapping[tuple[str, str], VersionCounts],
        control: Collection[str],
        targets_ms: Mapping[str, float],
        now_ms: float,
    ) -> Judgement:
        """Return the verdict on the counts so far, with the route that decided it.

        `targets_ms` are the routes' target latencies.
        """
        routes = {route for _, route in totals}
        olds = {route: _sum_control(totals, control, route) for route in routes}
        pooled = VersionCounts("", "")
        for counts in olds.values():
            pooled = pooled.add(counts)
        by_route = {
            route: (
                _reference(olds[route], pooled),
                totals.get((self.version, route), VersionCounts(self.version, route)),
            )
            for route in routes
        }
        self.usual_first_ms = median_ms(pooled.first_ms) if pooled.n_answered else 0.0
        for route, (old, new) in by_route.items():
            bad = self._find_bad(route, old, new, targets_ms.get(route, 0.0), now_ms)
            if bad is not None:
                return bad
        self.awaits_responses = any(
            new.waiting_ms
            and (new.n_ended < MIN_SETTLED or self._doubt(route) > SETTLED_DOUBT)
            for route, (_, new) in by_route.items()
        )
        return self._judge_good(by_route, olds)

    def _find_bad(
        self,
        route: str,
        old: VersionCounts,
        new: VersionCounts,
        target_ms: float,
        now_ms: float,
    ) -> Judgement | None:
        late_ms = math.inf
        if old.n_answered:
            late_ms = max(target_ms, SLOW_FACTOR * median_ms(old.first_ms))
        for test, n_bad, n_control_bad in (
            (FAILED, new.n_failed, old.n_failed),
            (LATE, new.n_later_than(late_ms), old.n_later_than(late_ms)),
            (LOST, new.n_lost, old.n_lost),
        ):
            n_good = max(0, new.n_ended - n_bad)
            weights = response_weights(
                test, n_control_bad, max(old.n_ended, n_control_bad)
            )
            series = self._series.setdefault((route, test.name), ResponseSeries())
            series.advance(n_bad, n_good, test.min_interval_ms, now_ms)
            score = self._scores[route, test.name] = series.score(weights)
            # Without a control nothing tells a bad version from bad circumstances.
            if score >= BAD_THRESHOLD and old.n_ended >= MIN_CONTROL:
                return Judgement(
                    Verdict.BAD,
                    test.name,
                    route,
                    n_bad,
                    n_bad + n_good,
                    n_control_bad,
                    old.n_ended,
                )
        return None

    def _judge_good(
        self,
        by_route: Mapping[str, tuple[VersionCounts, VersionCounts]],
        olds: Mapping[str, VersionCounts],
    ) -> Judgement:
        # What was sent just now can't have a response yet.
        due_ms = 2.0 * self.usual_first_ms
        n_sent = {
            route: olds[route].n_sent + new.n_sent - new.n_waiting_less_than(due_ms)
            for route, (_, new) in by_route.items()
        }
        n_all = sum(n_sent.values())
        total, is_any_failing = 0.0, False
        for route, (old, new) in by_route.items():
            if not n_sent[route]:
                continue
            is_sparse = n_sent[route] < SPARSE_SHARE * n_all
            n_needed = MIN_RESPONSES_SPARSE if is_sparse else MIN_RESPONSES
            n_needed = min(n_needed, math.ceil(MAX_NEEDED_SHARE * n_sent[route]))
            if new.n_ended < n_needed:
                return _open("too few responses", route, old, new)
            is_failing = old.n_failed > FAILING_SHARE * old.n_ended
            is_any_failing |= is_failing
            reason = self._find_worse(route, old, new, n_needed, is_failing=is_failing)
            reason = reason or _find_slower(olds[route], new)
            if reason:
                return _open(reason, route, old, new)
            bad_weight, good_weight = response_weights(
                FAILED, old.n_failed, old.n_ended
            )
            n_good = new.n_ended - new.n_failed
            total += new.n_failed * bad_weight + n_good * good_weight
        if total > (GOOD_THRESHOLD_FAILING if is_any_failing else GOOD_THRESHOLD):
            return Judgement(Verdict.OPEN, "too few successes")
        n_responses = sum(new.n_ended for _, new in by_route.values())
        n_bad = sum(new.n_failed for _, new in by_route.values())
        n_control = sum(old.n_ended for old in olds.values())
        n_control_bad = sum(old.n_failed for old in olds.values())
        return Judgement(
            Verdict.GOOD,
            "no worse than the control",
            "",
            n_bad,
            n_responses,
            n_control_bad,
            n_control,
        )

    def _find_worse(
        self,
        route: str,
        old: VersionCounts,
        new: VersionCounts,
        n_needed: int,
        *,
        is_failing: bool,
    ) -> str:
        """Return why a route's failures and losses may exceed the control's."""
        if self._doubt(route) > (MAX_DOUBT_FAILING if is_failing else MAX_DOUBT):
            return "some bad responses"
        max_ratio = MAX_RATIO_FAILING if is_failing else RATIO_PER_RESPONSE * n_needed
        if failure_ratio(old, new) > max_ratio:
            return "failures on a route with few responses"
        if are_failures_one_sided(old, new):
            return "failures, and none of the control's"
        if new.n_ended >= MIN_COMPARED and exceeds(
            new.n_failed, new.n_ended, old.n_failed, old.n_ended, FAILED_MARGIN
        ):
            return "more failures"
        if exceeds(new.n_lost, new.n_ended, old.n_lost, old.n_ended):
            return "lost responses"
        return ""

    def _doubt(self, route: str) -> float:
        scores = [score for key, score in self._scores.items() if key[0] == route]
        return max(scores, default=0.0)


def _find_slower(old: VersionCounts, new: VersionCounts) -> str:
    """Return how a candidate is slower than the control on the same route."""
    if has_more_slow(old, new) or is_slower(old.first_ms, new.first_ms):
        return "slower than the control"
    if is_slower(old.pace_ms, new.pace_ms):
        return "slower between events"
    return ""


def _reference(own: VersionCounts, pooled: VersionCounts) -> VersionCounts:
    """Return the control's counts to compare a route with.

    On a route of which the candidate gets nearly all requests these are those of all
    routes, unless the control fails more on it.
    """
    fails_more = own.n_failed * pooled.n_ended > pooled.n_failed * own.n_ended
    return own if own.n_ended >= MIN_ROUTE_CONTROL or fails_more else pooled


def _open(reason: str, route: str, old: VersionCounts, new: VersionCounts) -> Judgement:
    return Judgement(
        Verdict.OPEN,
        reason,
        route,
        new.n_failed,
        new.n_ended,
        old.n_failed,
        old.n_ended,
    )


def _sum_control(
    totals: Mapping[tuple[str, str], VersionCounts],
    control: Collection[str],
    route: str,
) -> VersionCounts:
    total = VersionCounts("", route)
    for version in control:
        counts = totals.get((version, route))
        total = total if counts is None else total.add(counts)
    return total
