"""Replicate generations to peers, store peers' replicas and take them over."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.generation import (
    Generation,
    GenerationState,
    ReplicaAppended,
    ReplicaEnded,
    ReplicaHeld,
    ReplicaOpened,
    ReplicaStore,
    RequestPeerState,
    TakeOver,
    TakeOverAnswered,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["Replication"]

FLUSH_AFTER_S = 0.003
ANSWER_TIMEOUT_S = 0.3
# A router that holds two states sends both at once, in two messages.
SECOND_STATE_WAIT_S = 0.02
ROW_OVERHEAD_BYTES = 7

OnReplicated = Callable[[str, int], None]
OnState = Callable[[GenerationState | None, str, bool], None]
IsUsable = Callable[[GenerationState], bool]
FindRunning = Callable[[TakeOver], GenerationState | None]
CountBytes = Callable[[str, int], None]


@dataclass
class Outbox:
    """Batch the tokens that go to one replica holder in one message."""

    replica_ids: list[int] = field(default_factory=list)
    indexes: list[int] = field(default_factory=list)
    texts: list[str] = field(default_factory=list)


class Question:
    """Collect the responses of the routers queried for one generation."""

    def __init__(
        self,
        asked_ids: set[str],
        holder_id: str,
        is_usable: IsUsable,
        on_state: OnState,
    ) -> None:
        self._pending_ids = asked_ids
        self._holder_id = holder_id
        self._is_usable = is_usable
        self._on_state = on_state
        self._state: GenerationState | None = None
        self.is_answered = False

    def add_response(self, router_id: str, state: GenerationState | None) -> None:
        """Process a response; finish at the first usable state.

        Without one, finish soon after the last response.
        """
        self._pending_ids.discard(router_id)
        if state is not None and self._is_usable(state):
            self._state = state
            self.finish()
        elif not self._pending_ids:
            loop = asyncio.get_running_loop()
            loop.call_later(SECOND_STATE_WAIT_S, self.finish)

    def finish(self) -> None:
        """Report the usable state, or None, once; later calls do nothing."""
        if not self.is_answered:
            self.is_answered = True
            has_answered = self._holder_id not in self._pending_ids
            self._on_state(self._state, self._holder_id, has_answered)


class Replication:
    """Send and receive replicas of generations and requests to take them over."""

    def __init__(
        self,
        peers: PeerNetwork,
        clock: Clock,
        find_running: FindRunning,
        count_bytes: CountBytes,
    ) -> None:
        self.store = ReplicaStore()
        self._peers = peers
        self._clock = clock
        self._find_running = find_running
        self._count_bytes = count_bytes
        self._on_replicated: dict[int, OnReplicated] = {}
        self._outboxes: dict[str, Outbox] = {}
        self._questions: dict[int, Question] = {}
        self._n_replicas = 0
        self._n_questions = 0
        peers.on(ReplicaOpened, self._on_opened)
        peers.on(ReplicaAppended, self._on_appended)
        peers.on(ReplicaEnded, self._on_ended)
        peers.on(ReplicaHeld, self._on_replica_held)
        peers.on(TakeOver, self._on_take_over)
        peers.on(TakeOverAnswered, self._on_answer)

    def open(self, on_replicated: OnReplicated) -> int:
        """Return a new replica id and register for acknowledgements of its tokens."""
        self._n_replicas += 1
        self._on_replicated[self._n_replicas] = on_replicated
        return self._n_replicas

    def close(self, replica_id: int) -> None:
        """Unregister from acknowledgements of a replica's tokens."""
        self._on_replicated.pop(replica_id, None)

    def send_state(self, router_id: str, replica_id: int, machine: Generation) -> None:
        """Send a replica holder the generation's whole state."""
        self.flush(router_id)
        self._peers.send(router_id, ReplicaOpened(replica_id, machine.state()))

    def append(self, router_id: str, replica_id: int, index: int, text: str) -> None:
        """Queue a token for a replica holder; a batch is sent 3 ms after its first."""
        outbox = self._outboxes.get(router_id)
        if outbox is None:
            outbox = self._outboxes[router_id] = Outbox()
            loop = asyncio.get_running_loop()
            loop.call_later(FLUSH_AFTER_S, self.flush, router_id)
        outbox.replica_ids.append(replica_id)
        outbox.indexes.append(index)
        outbox.texts.append(text)

    def send_end(self, router_id: str, replica_id: int, machine: Generation) -> None:
        """Send a replica holder the end of a generation."""
        assert machine.end is not None
        self.flush(router_id)
        end = machine.end
        n_tokens = len(machine.tokens)
        message = ReplicaEnded(replica_id, n_tokens, end.reason, end.n_prompt_tokens)
        self._peers.send(router_id, message)

    def ask(
        self,
        action: RequestPeerState,
        request_key: str,
        is_usable: IsUsable,
        on_state: OnState,
    ) -> None:
        """Query routers for a generation's state; call back once, within 0.3 s."""
        self._n_questions += 1
        number = self._n_questions
        message = TakeOver(number, action.generation_id, request_key, action.fence)
        own_id = self._peers.own_id
        others = {item for item in action.router_ids if item != own_id}
        holder_id = action.router_ids[0] if action.router_ids else ""
        question = Question({*others, own_id}, holder_id, is_usable, on_state)
        self._questions[number] = question
        for router_id in sorted(others):
            self._peers.send(router_id, message)
        loop = asyncio.get_running_loop()
        loop.call_later(ANSWER_TIMEOUT_S, self._close_question, number)
        for state in self._states_of(message):
            question.add_response(own_id, state)
        question.add_response(own_id, None)

    def _close_question(self, number: int) -> None:
        self._questions.pop(number).finish()

    def flush(self, router_id: str) -> None:
        """Send the queued tokens of a replica holder now."""
        outbox = self._outboxes.pop(router_id, None)
        if outbox is not None:
            message = ReplicaAppended(
                tuple(outbox.replica_ids), tuple(outbox.indexes), tuple(outbox.texts)
            )
            self._peers.send(router_id, message)
            n_characters = sum(map(len, outbox.texts))
            n_bytes = n_characters + ROW_OVERHEAD_BYTES * len(outbox.texts)
            self._count_bytes(router_id, n_bytes)

    def _states_of(self, message: TakeOver) -> list[GenerationState]:
        running = self._find_running(message)
        stored = self.store.find(message.generation_id, message.request_key)
        return [item for item in (stored, running) if item is not None]

    def _on_opened(self, sender: PeerIdentity, message: ReplicaOpened) -> None:
        held = self.store.open(sender.router_id, message, self._clock.now_ms())
        self._peers.send(sender.router_id, held)

    def _on_appended(self, sender: PeerIdentity, message: ReplicaAppended) -> None:
        held = self.store.append(sender.router_id, message, self._clock.now_ms())
        self._peers.send(sender.router_id, held)

    def _on_ended(self, sender: PeerIdentity, message: ReplicaEnded) -> None:
        self.store.end(sender.router_id, message, self._clock.now_ms())

    def _on_replica_held(self, sender: PeerIdentity, message: ReplicaHeld) -> None:
        for replica_id, n_tokens in zip(
            message.replica_ids, message.n_tokens, strict=True
        ):
            on_replicated = self._on_replicated.get(replica_id)
            if on_replicated is not None:
                on_replicated(sender.router_id, n_tokens)

    def _on_take_over(self, sender: PeerIdentity, message: TakeOver) -> None:
        states: list[GenerationState | None] = [*self._states_of(message)]
        for state in states or [None]:
            answer = TakeOverAnswered(message.question_id, state)
            self._peers.send(sender.router_id, answer)

    def _on_answer(self, sender: PeerIdentity, message: TakeOverAnswered) -> None:
        question = self._questions.get(message.question_id)
        if question is not None:
            question.add_response(sender.router_id, message.state)
