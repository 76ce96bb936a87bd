"""Bound the work that is done again, without a coordinator."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ResumeBudget", "ResumeCost"]

DEFAULT_RATIO = 0.1
BURST_TOKENS = 50_000.0


@dataclass
class ResumeCost:
    """Count what resumes cost beyond the first-time work."""

    n_first_time_tokens: int = 0
    n_repeated_prompt_tokens: int = 0
    n_repeated_prefix_tokens: int = 0
    n_tokens_dropped: int = 0
    duplicate_engine_ms: float = 0.0
    cross_region_bytes: int = 0


class ResumeBudget:
    """Let resumes, hedges and retries take a share of the first-time work.

    Each router earns from its own first-time tokens only, so the sum over any
    number of routers stays below the ratio, plus one burst for each router.
    A lost stream may overdraw by a burst, because accepted work comes first;
    leaving a stream that may still go on may not.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, burst_tokens: float = BURST_TOKENS
    ) -> None:
        self.ratio = ratio
        self.cost = ResumeCost()
        self._burst_tokens = burst_tokens
        self._balance_tokens = burst_tokens

    def earn(self, n_tokens: int) -> None:
        """Take in first-time work."""
        self.cost.n_first_time_tokens += n_tokens
        earned = self._balance_tokens + self.ratio * n_tokens
        self._balance_tokens = min(self._burst_tokens, earned)

    def spend(self, n_prompt: int, n_prefix: int, *, is_lost: bool) -> bool:
        """Pay for an attempt that repeats a prompt and a prefix, if it may be."""
        left = self._balance_tokens - n_prompt - n_prefix
        floor = -self._burst_tokens if is_lost else 0.0
        if left < floor:
            return False
        self._balance_tokens = left
        self.cost.n_repeated_prompt_tokens += n_prompt
        self.cost.n_repeated_prefix_tokens += n_prefix
        return True
