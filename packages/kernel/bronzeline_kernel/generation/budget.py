"""Limit the work repeated by resumes, without coordination between routers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ResumeBudget", "ResumeCost"]

DEFAULT_RATIO = 0.1
BURST_TOKENS = 50_000.0


@dataclass
class ResumeCost:
    """Count the first-time tokens and the extra work that resumes cause."""

    n_first_time_tokens: int = 0
    n_repeated_prompt_tokens: int = 0
    n_repeated_prefix_tokens: int = 0
    n_tokens_dropped: int = 0
    duplicate_engine_ms: float = 0.0
    cross_region_bytes: int = 0


class ResumeBudget:
    """Limit resumes, hedges and retries to a ratio of the first-time tokens.

    Each router earns budget from its own first-time tokens only, so the total
    over all routers stays below the ratio plus one burst per router. Resuming a
    lost stream may overdraw the budget by one burst, because accepted requests
    take priority; replacing a stream that may still recover may not.
    """

    def __init__(
        self, ratio: float = DEFAULT_RATIO, burst_tokens: float = BURST_TOKENS
    ) -> None:
        self.ratio = ratio
        self.cost = ResumeCost()
        self._burst_tokens = burst_tokens
        self._balance_tokens = burst_tokens

    def earn(self, n_tokens: int) -> None:
        """Add the share of these first-time tokens to the budget, up to the burst."""
        self.cost.n_first_time_tokens += n_tokens
        earned = self._balance_tokens + self.ratio * n_tokens
        self._balance_tokens = min(self._burst_tokens, earned)

    def spend(self, n_prompt: int, n_prefix: int, *, is_lost: bool) -> bool:
        """Deduct the repeated prompt and prefix tokens; return False if over budget."""
        balance_tokens = self._balance_tokens - n_prompt - n_prefix
        floor_tokens = -self._burst_tokens if is_lost else 0.0
        if balance_tokens < floor_tokens:
            return False
        self._balance_tokens = balance_tokens
        self.cost.n_repeated_prompt_tokens += n_prompt
        self.cost.n_repeated_prefix_tokens += n_prefix
        return True
