"""Hold the tokens of a generation and deliver them once they are replicated."""

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
from bronzeline_kernel.generation.token_replication import TokenReplication

__all__ = ["Delivery"]

DeliveryAction = ReplicateTokens | Deliver | EndAnswer
MakePrefix = Callable[[str], str]


class Delivery:
    """Append tokens in order, replicate them and deliver them to the caller.

    Tokens are replicated only if the caller can reconnect.
    """

    def __init__(
        self,
        replication: TokenReplication,
        make_prefix: MakePrefix,
        *,
        n_delivered: int,
        must_replicate: bool,
    ) -> None:
        self.tokens: list[str] = []
        self.end: StreamEnd | None = None
        self.n_delivered = n_delivered
        self.has_caller = True
        self.replication = replication
        self._make_prefix = make_prefix
        self._must_replicate = must_replicate
        self._event_id_prefix = ""
        self._digest = xxh64()
        self._n_digested = 0

    @property
    def is_complete(self) -> bool:
        """Return whether the end is known and no token is left to deliver."""
        if self.end is None:
            return False
        return not self.has_caller or self.n_delivered >= len(self.tokens)

    def begin_attempt(self) -> None:
        """Name the new attempt in the next event id and in the next replication."""
        self._event_id_prefix = ""
        self.replication.must_send_state = True

    def restore(
        self, tokens: Sequence[str], end: StreamEnd | None, now_ms: float
    ) -> list[DeliveryAction]:
        """Start from the tokens and the end that another router held."""
        self.tokens = list(tokens)
        self.end = end
        return [*self._replicate(0, now_ms), *self.flush()]

    def append(self, text: str, now_ms: float) -> list[DeliveryAction]:
        """Append the next token."""
        index = len(self.tokens)
        self.tokens.append(text)
        if not self._must_replicate:
            return self._deliver_up_to(index + 1)
        return [*self._replicate(index, now_ms), *self.flush()]

    def finish(self, end: StreamEnd, now_ms: float) -> list[DeliveryAction]:
        """Record the end of the generation."""
        self.end = end
        return [*self._replicate(len(self.tokens), now_ms), *self.flush()]

    def on_held(self, message: TokensReplicated, now_ms: float) -> list[DeliveryAction]:
        """Deliver the tokens that a replica holder acknowledged."""
        n_tokens = len(self.tokens)
        self.replication.on_held(message.router_id, message.n_tokens, n_tokens, now_ms)
        return self.flush()

    def on_tick(self, now_ms: float) -> list[DeliveryAction]:
        """Replace a holder whose acknowledgement is overdue."""
        due_at_ms = self.replication.due_at_ms
        if due_at_ms is None or now_ms < due_at_ms:
            return []
        self._event_id_prefix = ""
        replications = self.replication.try_next_holder(len(self.tokens), now_ms)
        return [*replications, *self.flush()]

    def on_holder_lost(self, router_id: str, now_ms: float) -> list[DeliveryAction]:
        """Replicate all tokens to another holder if the lost router was the holder."""
        if not self._must_replicate or router_id != self.replication.holder_id:
            return []
        self._event_id_prefix = ""
        replications = self.replication.try_next_holder(len(self.tokens), now_ms)
        return [*replications, *self.flush()]

    def flush(self) -> list[DeliveryAction]:
        """Deliver the tokens that may be delivered, and the end after the last."""
        if not self.has_caller:
            return []
        n_tokens = len(self.tokens)
        if self._must_replicate:
            n_tokens = self.replication.n_deliverable(n_tokens)
        actions = self._deliver_up_to(n_tokens)
        if self.end is not None and self.is_complete:
            reason = self.end.reason
            n_prompt_tokens = self.end.n_prompt_tokens
            actions.append(EndAnswer(reason, len(self.tokens), n_prompt_tokens))
        return actions

    def _replicate(self, from_index: int, now_ms: float) -> list[ReplicateTokens]:
        return (
            self.replication.replicate(from_index, now_ms)
            if self._must_replicate
            else []
        )

    def _deliver_up_to(self, n_tokens: int) -> list[DeliveryAction]:
        if not self.has_caller or n_tokens <= self.n_delivered:
            return []
        if not self._event_id_prefix:
            self._event_id_prefix = self._make_prefix(self.replication.holder_id)
        event_id_prefix = self._event_id_prefix
        first = self.n_delivered
        self.n_delivered = n_tokens
        return [
            Deliver(index, self.tokens[index], self._event_id(event_id_prefix, index))
            for index in range(first, n_tokens)
        ]

    def _event_id(self, event_id_prefix: str, index: int) -> str:
        if not self._must_replicate:
            return f"{event_id_prefix}{index}"
        # A caller may reconnect through a router that holds a different
        # continuation; the digest identifies the text that the caller received.
        while self._n_digested <= index:
            self._digest.update(self.tokens[self._n_digested].encode())
            self._n_digested += 1
        return f"{event_id_prefix}{index}.{self._digest.hexdigest()}"
