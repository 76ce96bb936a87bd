"""Track which tokens another router holds, so that they may be delivered."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from bronzeline_kernel.generation.messages import ReplicateTokens

__all__ = ["Coverage"]

MAX_TRIES = 2
REGAIN_AFTER_MS = 1_000.0


class Coverage:
    """Copy tokens to one replica holder at a time, and give up slow ones.

    Tokens are held back until the holder has them. After two holders in a row
    did not answer, tokens go out uncovered, which is counted, while further
    holders are tried.
    """

    def __init__(self, candidate_ids: Sequence[str], ack_timeout_ms: float) -> None:
        self._candidate_ids = deque(candidate_ids)
        self._ack_timeout_ms = ack_timeout_ms
        self._n_held = 0
        self._n_tries = 1
        self._due_at_ms: float | None = None
        self.must_send_state = True
        self.n_uncovered = 0

    @property
    def holder_id(self) -> str:
        """Return the replica holder, or nothing where there is none."""
        return self._candidate_ids[0] if self._candidate_ids else ""

    @property
    def due_at_ms(self) -> float | None:
        """Return when the next holder is tried."""
        return self._due_at_ms

    @property
    def is_covering(self) -> bool:
        """Say whether tokens are held back until a holder has them."""
        return bool(self._candidate_ids) and self._n_tries <= MAX_TRIES

    def n_deliverable(self, n_tokens: int) -> int:
        """Return how many tokens may reach the caller."""
        return min(n_tokens, self._n_held) if self.is_covering else n_tokens

    def copy(self, from_index: int, now_ms: float) -> list[ReplicateTokens]:
        """Copy the tokens from an index on."""
        if not self.is_covering:
            self.n_uncovered += 1
        if not self._candidate_ids:
            return []
        if self._due_at_ms is None:
            self._due_at_ms = now_ms + self._ack_timeout_ms
        is_whole = self.must_send_state
        self.must_send_state = False
        return [ReplicateTokens(self.holder_id, from_index, is_whole)]

    def on_held(
        self, router_id: str, n_held: int, n_tokens: int, now_ms: float
    ) -> None:
        """Take in how many tokens the holder has."""
        if router_id != self.holder_id or n_held <= self._n_held:
            return
        self._n_held = n_held
        if n_held < n_tokens:
            self._due_at_ms = now_ms + self._ack_timeout_ms
            return
        self._due_at_ms = None
        self._n_tries = 1

    def try_next_holder(self, n_tokens: int, now_ms: float) -> list[ReplicateTokens]:
        """Go to the next holder with the whole text."""
        was_covering = self.is_covering
        self._candidate_ids.rotate(-1)
        self._n_tries += 1
        self.must_send_state = True
        if was_covering and not self.is_covering:
            self.n_uncovered += n_tokens - self._n_held
        self._n_held = 0
        wait_ms = self._ack_timeout_ms if self.is_covering else REGAIN_AFTER_MS
        self._due_at_ms = now_ms + wait_ms
        return self.copy(0, now_ms) if n_tokens else []
