"""Score the bad responses of a version one after the other (CUSUM).

Addresses versions that turn bad late, whose earlier good responses must not hide the
failures.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = [
    "FAILED",
    "LATE",
    "LOST",
    "BadResponseTest",
    "ResponseSeries",
    "response_weights",
]

# Bounds the work of each call in rollouts of hours.
MAX_STEPS = 400


@dataclass(frozen=True)
class BadResponseTest:
    """Name a kind of bad response, and the shares below and above which it decides.

    The floor covers what one failed upstream or zone does to a candidate that runs on
    a few upstreams only.
    """

    name: str
    floor: float
    bad_share: float
    min_interval_ms: float = 0.0


FAILED = BadResponseTest("failures", 0.03, 0.25)
LATE = BadResponseTest("late first events", 0.1, 0.4)
# A zone crash loses many responses at once, a bad version one after the other: of the
# losses within this time, one counts.
LOST = BadResponseTest("lost responses", 0.1, 0.4, min_interval_ms=500.0)


@dataclass
class ResponseSeries:
    """Keep how the counts of one test at one route have grown."""

    n_bad: int = 0
    n_good: int = 0
    bad_at_ms: float = -math.inf
    # The bad and good responses that came between two calls.
    steps: list[tuple[int, int]] = field(default_factory=list)

    def advance(
        self, n_bad: int, n_good: int, min_interval_ms: float, now_ms: float
    ) -> None:
        """Add the responses since the last call."""
        new_good, new_bad = max(0, n_good - self.n_good), max(0, n_bad - self.n_bad)
        self.n_bad, self.n_good = max(n_bad, self.n_bad), max(n_good, self.n_good)
        if new_bad and min_interval_ms:
            is_counted = now_ms - self.bad_at_ms >= min_interval_ms
            new_bad = int(is_counted)
            self.bad_at_ms = now_ms if is_counted else self.bad_at_ms
        if new_bad or new_good:
            self.steps.append((new_bad, new_good))
        if len(self.steps) > MAX_STEPS:
            self._merge_old()

    def _merge_old(self) -> None:
        """Merge pairs of the older steps, which are scored anew at each call."""
        half = MAX_STEPS // 2
        old, recent = self.steps[:half], self.steps[half:]
        merged = [
            (first[0] + second[0], first[1] + second[1])
            for first, second in zip(old[::2], old[1::2], strict=True)
        ]
        self.steps = merged + recent

    def score(self, weights: tuple[float, float]) -> float:
        """Return the evidence for "bad" (CUSUM), which never falls below 0.

        So a version that turns bad late is found as fast as one bad from the start.
        """
        bad_weight, good_weight = weights
        score = 0.0
        for n_bad, n_good in self.steps:
            score = max(0.0, score + n_good * good_weight) + n_bad * bad_weight
        return score


def response_weights(
    test: BadResponseTest, n_bad: int, n_responses: int
) -> tuple[float, float]:
    """Return what one bad and one good response add to a test's score.

    The control's share is taken one standard deviation above what was counted.
    """
    share = (n_bad + 1.0) / (n_responses + 20.0)
    deviation = math.sqrt(share * (1.0 - share) / (n_responses + 20.0))
    usual = min(0.8, max(test.floor, share + deviation))
    bad = min(0.95, max(test.bad_share, 2.5 * usual))
    return math.log(bad / usual), math.log((1.0 - bad) / (1.0 - usual))
