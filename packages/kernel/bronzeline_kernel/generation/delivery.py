"""Hold a generation's tokens and deliver those that may go out."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from xxhash import xxh64

from bronzeline_kernel.generation.messages import (
    Deliver,
    EndAnswer,
    ReplicateTokens,
    StreamEnd,
    TokensReplicated,
)
from bronzeline_kernel.generation.token_replication import Coverage

__all__ = ["Delivery"]

DeliveryAction = ReplicateTokens | Deliver | EndAnswer
MakePrefix = Callable[[str], str]


class Delivery:
    """Append tokens in order, have them copied, and give them to the caller.

    Tokens are copied only for callers that may reconnect.
    """

    def __init__(
        self,
        replication: Coverage,
        make_prefix: MakePrefix,
        *,
        n_delivered: int,
        must_copy: bool,
    ) -> None:
        self.tokens: list[str] = []
        self.end: StreamEnd | None = None
        self.n_delivered = n_delivered
        self.has_caller = True
        self.replication = replication
        self._make_prefix = make_prefix
        self._must_copy = must_copy
        self._prefix = ""
        self._digest = xxh64()
        self._n_digested = 0

    @property
    def is_complete(self) -> bool:
        """Say whether the end is known and nothing is left to deliver."""
        if self.end is None:
            return False
        return not self.has_caller or self.n_delivered >= len(self.tokens)

    def restart(self) -> None:
        """Tell the holder and the caller of a new attempt with the next token."""
        self._prefix = ""
        self.replication.must_send_state = True

    def adopt(
        self, tokens: Sequence[str], end: StreamEnd | None, now_ms: float
    ) -> list[DeliveryAction]:
        """Take the tokens that another router held."""
        self.tokens = list(tokens)
        self.end = end
        return [*self._copy(0, now_ms), *self.flush()]

    def append(self, text: str, now_ms: float) -> list[DeliveryAction]:
        """Take the next token."""
        index = len(self.tokens)
        self.tokens.append(text)
        if not self._must_copy:
            return self._deliver_up_to(index + 1)
        return [*self._copy(index, now_ms), *self.flush()]

    def finish(self, end: StreamEnd, now_ms: float) -> list[DeliveryAction]:
        """Take the end of the whole generation."""
        self.end = end
        return [*self._copy(len(self.tokens), now_ms), *self.flush()]

    def on_held(self, message: TokensReplicated, now_ms: float) -> list[DeliveryAction]:
        """Take in what a replica holder has."""
        n_tokens = len(self.tokens)
        self.replication.on_held(message.router_id, message.n_tokens, n_tokens, now_ms)
        return self.flush()

    def on_tick(self, now_ms: float) -> list[DeliveryAction]:
        """Give up a holder that did not answer."""
        due_at_ms = self.replication.due_at_ms
        if due_at_ms is None or now_ms < due_at_ms:
            return []
        self._prefix = ""
        copies = self.replication.try_next_holder(len(self.tokens), now_ms)
        return [*copies, *self.flush()]

    def on_holder_lost(self, router_id: str, now_ms: float) -> list[DeliveryAction]:
        """Copy the text to another holder."""
        if not self._must_copy or router_id != self.replication.holder_id:
            return []
        self._prefix = ""
        copies = self.replication.try_next_holder(len(self.tokens), now_ms)
        return [*copies, *self.flush()]

    def flush(self) -> list[DeliveryAction]:
        """Deliver what is covered, and the end after the last token."""
        if not self.has_caller:
            return []
        n_tokens = len(self.tokens)
        if self._must_copy:
            n_tokens = self.replication.n_deliverable(n_tokens)
        actions = self._deliver_up_to(n_tokens)
        if self.end is not None and self.is_complete:
            reason = self.end.reason
            n_prompt_tokens = self.end.n_prompt_tokens
            actions.append(EndAnswer(reason, len(self.tokens), n_prompt_tokens))
        return actions

    def _copy(self, from_index: int, now_ms: float) -> list[ReplicateTokens]:
        return self.replication.copy(from_index, now_ms) if self._must_copy else []

    def _deliver_up_to(self, n_tokens: int) -> list[DeliveryAction]:
        if not self.has_caller or n_tokens <= self.n_delivered:
            return []
        if not self._prefix:
            self._prefix = self._make_prefix(self.replication.holder_id)
        prefix = self._prefix
        first = self.n_delivered
        self.n_delivered = n_tokens
        return [
            Deliver(index, self.tokens[index], self._event_id(prefix, index))
            for index in range(first, n_tokens)
        ]

    def _event_id(self, prefix: str, index: int) -> str:
        if not self._must_copy:
            return f"{prefix}{index}"
        # A caller may come back through a router that knows another
        # continuation: the digest tells which text it holds.
        while self._n_digested <= index:
            self._digest.update(self.tokens[self._n_digested].encode())
            self._n_digested += 1
        return f"{prefix}{index}.{self._digest.hexdigest()}"
