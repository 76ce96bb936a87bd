"""Know which upstreams still keep the prompts that they have read."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["Prompt", "PromptIndex"]

# An engine's memory turns over in some tens of seconds; a list is asked for
# again before what it names may be gone.
MAX_LIST_AGE_MS = 3_000.0


@dataclass(frozen=True)
class Prompt:
    """Name a prompt by the part that is its own, with its length."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class PromptList:
    """Hold what an upstream listed: tokens by part, and when."""

    listed_at_ms: float
    tokens: Mapping[str, int]


class PromptIndex:
    """Hold the newest list of each upstream."""

    def __init__(self) -> None:
        self._lists: dict[Incarnation, PromptList] = {}

    def __len__(self) -> int:
        """Return how many lists are held."""
        return len(self._lists)

    def put(
        self, upstream: Incarnation, tokens: Mapping[str, int], now_ms: float
    ) -> None:
        """Take in the parts that an upstream keeps, and forget old lists."""
        self._lists = {
            key: item for key, item in self._lists.items() if _is_fresh(item, now_ms)
        }
        self._lists[upstream] = PromptList(now_ms, tokens)

    def has_fresh_list(self, upstream: Incarnation, now_ms: float) -> bool:
        """Say whether an upstream was asked a short time ago."""
        item = self._lists.get(upstream)
        return item is not None and _is_fresh(item, now_ms)

    def cached_share(
        self, upstream: Incarnation, prompt: Prompt, now_ms: float
    ) -> float:
        """Return which share of a prompt an upstream need not read again."""
        item = self._lists.get(upstream)
        if item is None or not _is_fresh(item, now_ms) or prompt.n_tokens <= 0:
            return 0.0
        return min(1.0, item.tokens.get(prompt.part_id, 0) / prompt.n_tokens)


def _is_fresh(item: PromptList, now_ms: float) -> bool:
    return now_ms - item.listed_at_ms < MAX_LIST_AGE_MS
