"""Index which prompts each upstream has in its cache."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["Prompt", "PromptIndex"]

# An engine's cache turns over within some tens of seconds; a list is requested
# again well before its entries may have been evicted.
MAX_LIST_AGE_MS = 3_000.0


@dataclass(frozen=True)
class Prompt:
    """Identify a prompt by its unique part, with its length in tokens."""

    part_id: str
    n_tokens: int


@dataclass(frozen=True)
class PromptList:
    """Hold an upstream's cached tokens by prompt part, and when it listed them."""

    listed_at_ms: float
    tokens: Mapping[str, int]


class PromptIndex:
    """Hold the newest list of cached prompts of each upstream."""

    def __init__(self) -> None:
        self._lists: dict[Incarnation, PromptList] = {}

    def __len__(self) -> int:
        """Return the number of lists."""
        return len(self._lists)

    def put(
        self, upstream: Incarnation, tokens: Mapping[str, int], now_ms: float
    ) -> None:
        """Store the list of an upstream, and drop expired lists."""
        self._lists = {
            key: item for key, item in self._lists.items() if _is_fresh(item, now_ms)
        }
        self._lists[upstream] = PromptList(now_ms, tokens)

    def has_fresh_list(self, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether the list of an upstream is recent."""
        item = self._lists.get(upstream)
        return item is not None and _is_fresh(item, now_ms)

    def n_tokens(self, upstream: Incarnation, part_id: str, now_ms: float) -> int:
        """Return how many tokens of a part an upstream has cached, 0 if unknown."""
        item = self._lists.get(upstream)
        if item is None or not _is_fresh(item, now_ms):
            return 0
        return item.tokens.get(part_id, 0)

    def cached_share(
        self, upstream: Incarnation, prompt: Prompt, now_ms: float
    ) -> float:
        """Return the share of a prompt that an upstream has cached, 0 if unknown."""
        item = self._lists.get(upstream)
        if item is None or not _is_fresh(item, now_ms) or prompt.n_tokens <= 0:
            return 0.0
        return min(1.0, item.tokens.get(prompt.part_id, 0) / prompt.n_tokens)


def _is_fresh(item: PromptList, now_ms: float) -> bool:
    return now_ms - item.listed_at_ms < MAX_LIST_AGE_MS
