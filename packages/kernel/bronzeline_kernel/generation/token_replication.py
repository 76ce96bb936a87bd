"""Replicate tokens to another router before they are delivered."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

from bronzeline_kernel.generation.messages import ReplicateTokens

__all__ = ["TokenReplication"]

MAX_TRIES = 2
UNREPLICATED_RETRY_MS = 1_000.0


class TokenReplication:
    """Replicate tokens to one holder at a time and replace holders that time out.

    Tokens are not delivered until the holder acknowledges them. After two
    holders in a row have timed out, tokens are delivered and counted as
    unreplicated, while further holders are tried.
    """

    def __init__(self, candidate_ids: Sequence[str], ack_timeout_ms: float) -> None:
        self._candidate_ids = deque(candidate_ids)
        self._ack_timeout_ms = ack_timeout_ms
        self._n_held = 0
        self._n_tries = 1
        self._ack_due_at_ms: float | None = None
        self.must_send_state = True
        self.n_unreplicated = 0

    @property
    def holder_id(self) -> str:
        """Return the id of the replica holder, or "" if there is none."""
        return self._candidate_ids[0] if self._candidate_ids else ""

    @property
    def due_at_ms(self) -> float | None:
        """Return when the next holder is tried, or None if nothing is pending."""
        return self._ack_due_at_ms

    @property
    def is_holding_back(self) -> bool:
        """Return whether delivery waits for the holder's acknowledgement."""
        return bool(self._candidate_ids) and self._n_tries <= MAX_TRIES

    def n_deliverable(self, n_tokens: int) -> int:
        """Return how many of the tokens may be delivered to the caller."""
        return min(n_tokens, self._n_held) if self.is_holding_back else n_tokens

    def replicate(self, from_index: int, now_ms: float) -> list[ReplicateTokens]:
        """Replicate the tokens from an index on."""
        if not self.is_holding_back:
            self.n_unreplicated += 1
        if not self._candidate_ids:
            return []
        if self._ack_due_at_ms is None:
            self._ack_due_at_ms = now_ms + self._ack_timeout_ms
        is_whole = self.must_send_state
        self.must_send_state = False
        return [ReplicateTokens(self.holder_id, from_index, is_whole)]

    def on_held(
        self, router_id: str, n_held: int, n_tokens: int, now_ms: float
    ) -> None:
        """Record how many tokens a holder acknowledged; ignore former holders."""
        if router_id != self.holder_id or n_held <= self._n_held:
            return
        self._n_held = n_held
        if n_held < n_tokens:
            self._ack_due_at_ms = now_ms + self._ack_timeout_ms
            return
        self._ack_due_at_ms = None
        self._n_tries = 1

    def try_next_holder(self, n_tokens: int, now_ms: float) -> list[ReplicateTokens]:
        """Switch to the next holder and replicate all tokens to it."""
        was_holding_back = self.is_holding_back
        self._candidate_ids.rotate(-1)
        self._n_tries += 1
        self.must_send_state = True
        if was_holding_back and not self.is_holding_back:
            self.n_unreplicated += n_tokens - self._n_held
        self._n_held = 0
        wait_ms = (
            self._ack_timeout_ms if self.is_holding_back else UNREPLICATED_RETRY_MS
        )
        self._ack_due_at_ms = now_ms + wait_ms
        return self.replicate(0, now_ms) if n_tokens else []
