"""Hold the limits of a generation and the data to resume it."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.event_id import EventHints, text_digest

__all__ = ["GenerationOptions", "Recovery", "first_token_timeout_ms"]

CHARACTERS_PER_TOKEN = 4
MIN_PROMPT_TOKENS_PER_S = 2_000.0
MS_PER_S = 1_000.0


@dataclass(frozen=True)
class GenerationOptions:
    """Hold the limits of one generation."""

    own_id: str = ""
    stall_timeout_ms: float = 1_500.0
    first_token_timeout_ms: float = 3_000.0
    reconnect_grace_ms: float = 10_000.0
    ack_timeout_ms: float = 150.0
    resume_wait_ms: float = 4_000.0
    resume_budget_ratio: float = 0.1


@dataclass(frozen=True)
class Recovery:
    """Hold what a reconnecting caller received and which routers may hold the rest."""

    hints: EventHints
    n_delivered: int
    digest: str
    upstream: Upstream | None
    fence: int
    router_ids: tuple[str, ...]

    def matches(self, tokens: Sequence[str]) -> bool:
        """Return whether tokens begin with the text that the caller received."""
        is_enough = len(tokens) >= self.n_delivered
        return is_enough and text_digest(tokens[: self.n_delivered]) == self.digest


def first_token_timeout_ms(stall_timeout_ms: float, n_characters: int) -> float:
    """Return the first-token timeout in ms, which grows with the prompt length."""
    n_prompt_tokens = n_characters / CHARACTERS_PER_TOKEN
    return stall_timeout_ms + n_prompt_tokens * MS_PER_S / MIN_PROMPT_TOKENS_PER_S
