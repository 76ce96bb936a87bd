"""Average the times of one upstream, with less weight for older ones."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["LearnedTime"]


@dataclass
class LearnedTime:
    """Hold the mean logarithm of one incarnation's times, and what is not reported."""

    service: str
    is_prompt: bool
    half_life_ms: float
    weight: float = 0.0
    mean_log: float = 0.0
    seen_at_ms: float = 0.0
    n_unreported: int = 0
    unreported_log_sum: float = 0.0
    is_even: bool = True

    def weight_at(self, now_ms: float) -> float:
        """Return the weight of the samples, which halves in each half-life."""
        age_ms = max(0.0, now_ms - self.seen_at_ms)
        return self.weight * math.exp2(-age_ms / self.half_life_ms)

    def add(
        self, weight: float, mean_log: float, max_weight: float, now_ms: float
    ) -> None:
        """Add samples; those before lose weight beyond the maximum."""
        n_counted = min(weight, max_weight)
        former = min(self.weight_at(now_ms), max_weight - n_counted)
        self.weight = former + n_counted
        self.mean_log += (mean_log - self.mean_log) * n_counted / self.weight
        self.seen_at_ms = now_ms
