"""Compare the responses of a candidate with the control's over a whole rollout."""

from __future__ import annotations

import math
from collections.abc import Iterable

from bronzeline_kernel.forwarding.rollout.evidence import (
    Buckets,
    VersionCounts,
    lower_bound_ms,
)

__all__ = [
    "FAILED_MARGIN",
    "MIN_COMPARED",
    "MIN_RESPONSES_SPARSE",
    "are_failures_one_sided",
    "exceeds",
    "failure_ratio",
    "has_more_slow",
    "is_slower",
    "median_ms",
]

# A version whose median is this many times the control's is not good, even in time.
# Nor is one of which clearly more responses than the control's are that much slower.
MAX_MEDIAN_FACTOR = 2.0
MIN_RESPONSES_SPARSE = 3
# The candidate's share of lost or slow responses may exceed the control's by this much
# and some standard deviations, as one failed upstream is a larger share of few.
SHARE_MARGIN = 0.1
FAILED_MARGIN = 0.04
MIN_USUAL_SHARE = 0.05
N_DEVIATIONS = 2.6
# Shares of failures are compared from so many responses on; one or two failures of
# fewer are weighed by `failure_ratio`.
MIN_COMPARED = 20
# With equal shares of failures, all of them happen at the candidate this rarely.
ONE_SIDED_CHANCE = 0.1
MIN_ONE_SIDED = 2
# What a version that is bad on one route only fails there at least.
BAD_ROUTE_SHARE = 0.5
MIN_FAILED_SHARE = 0.005
MAX_USUAL_FAILED_SHARE = 0.4


def are_failures_one_sided(old: VersionCounts, new: VersionCounts) -> bool:
    """Return whether only the candidate fails, which chance hardly explains.

    A single failure says nothing.
    """
    if old.n_failed or new.n_failed < MIN_ONE_SIDED:
        return False
    share = new.n_ended / (old.n_ended + new.n_ended)
    return float(share**new.n_failed) < ONE_SIDED_CHANCE


def failure_ratio(old: VersionCounts, new: VersionCounts) -> float:
    """Return how much likelier the failures are if half of the responses fail.

    The natural logarithm, compared with the control's share, which is taken one
    standard deviation above what was counted.
    """
    counted = old.n_failed / old.n_ended if old.n_ended else 0.0
    deviation = math.sqrt(counted * (1.0 - counted) / max(1, old.n_ended))
    usual = max(MIN_FAILED_SHARE, counted + deviation)
    usual = min(MAX_USUAL_FAILED_SHARE, usual)
    n_good = new.n_ended - new.n_failed
    return new.n_failed * math.log(BAD_ROUTE_SHARE / usual) + n_good * math.log(
        (1.0 - BAD_ROUTE_SHARE) / (1.0 - usual)
    )


def median_ms(buckets: Iterable[tuple[int, int]]) -> float:
    """Return the upper bound of the bucket with the median, infinite without one."""
    ordered = sorted(buckets)
    n_left = sum(count for _, count in ordered) / 2.0
    for bucket, count in ordered:
        n_left -= count
        if n_left <= 0.0 and count:
            return lower_bound_ms(bucket + 1)
    return math.inf


def has_more_slow(old: VersionCounts, new: VersionCounts) -> bool:
    """Return whether more responses than the control's are much slower."""
    if old.n_answered < MIN_RESPONSES_SPARSE:
        return False
    slow_ms = MAX_MEDIAN_FACTOR * median_ms(old.first_ms)
    n_slow, n_old_slow = new.n_later_than(slow_ms), old.n_later_than(slow_ms)
    n_new = max(n_slow, new.n_answered)
    return exceeds(n_slow, n_new, n_old_slow, max(n_old_slow, old.n_answered))


def exceeds(
    n_new_bad: int,
    n_new: int,
    n_old_bad: int,
    n_old: int,
    margin: float = SHARE_MARGIN,
) -> bool:
    """Return whether the candidate's share is above the control's beyond chance."""
    if not n_new:
        return False
    usual = (n_old_bad + 0.5) / (n_old + 10.0)
    usual = min(0.5, max(MIN_USUAL_SHARE, usual))
    deviation = math.sqrt(usual * (1.0 - usual) * (1.0 / n_new + 1.0 / max(1, n_old)))
    counted = n_old_bad / n_old if n_old else 0.0
    return n_new_bad / n_new > counted + margin + N_DEVIATIONS * deviation


def is_slower(old: Buckets, new: Buckets) -> bool:
    """Return whether the median is clearly above the control's."""
    if not new or sum(count for _, count in old) < MIN_RESPONSES_SPARSE:
        return False
    return median_ms(new) > MAX_MEDIAN_FACTOR * median_ms(old)
