"""Hold replicas of other routers' generations for a later takeover."""

from __future__ import annotations

from dataclasses import dataclass, replace

from bronzeline_kernel.generation.messages import GenerationState, StreamEnd

__all__ = [
    "ReplicaAppended",
    "ReplicaEnded",
    "ReplicaHeld",
    "ReplicaOpened",
    "ReplicaStore",
    "TakeOver",
    "TakeOverAnswered",
]

IDLE_EXPIRY_MS = 60_000.0
ENDED_EXPIRY_MS = 10_000.0


@dataclass(frozen=True)
class ReplicaOpened:
    """Send a holder the state and all tokens of a generation so far."""

    replica_id: int
    state: GenerationState


@dataclass(frozen=True)
class ReplicaAppended:
    """Send a holder the next tokens of one or more generations."""

    replica_ids: tuple[int, ...]
    indexes: tuple[int, ...]
    texts: tuple[str, ...]


@dataclass(frozen=True)
class ReplicaEnded:
    """Send a holder the end of a generation and its number of tokens."""

    replica_id: int
    n_tokens: int
    reason: str
    n_prompt_tokens: int


@dataclass(frozen=True)
class ReplicaHeld:
    """Acknowledge to the owner how many tokens of each generation are held."""

    replica_ids: tuple[int, ...]
    n_tokens: tuple[int, ...]


@dataclass(frozen=True)
class TakeOver:
    """Request the state of a generation, to continue it on the sender."""

    question_id: int
    generation_id: str
    request_key: str
    fence: int


@dataclass(frozen=True)
class TakeOverAnswered:
    """Answer `TakeOver` with the state held, or None."""

    question_id: int
    state: GenerationState | None


@dataclass
class Replica:
    """Hold the replica of one generation."""

    state: GenerationState
    tokens: list[str]
    updated_at_ms: float
    end: StreamEnd | None = None

    def is_expired(self, now_ms: float) -> bool:
        """Return whether the replica is too old to be taken over."""
        expiry_ms = ENDED_EXPIRY_MS if self.end else IDLE_EXPIRY_MS
        return now_ms - self.updated_at_ms > expiry_ms

    def full_state(self) -> GenerationState:
        """Return the state with all tokens held."""
        return replace(self.state, tokens=tuple(self.tokens), end=self.end)


class ReplicaStore:
    """Hold replicas of other routers' generations and of own ended ones."""

    def __init__(self) -> None:
        self._replicas: dict[tuple[str, int], Replica] = {}
        self._latest_keys: dict[str, tuple[str, int]] = {}

    def __len__(self) -> int:
        return len(self._replicas)

    def open(self, owner_id: str, message: ReplicaOpened, now_ms: float) -> ReplicaHeld:
        """Store the state and tokens of a generation, replacing an earlier replica."""
        state = message.state
        key = (owner_id, message.replica_id)
        self._replicas[key] = Replica(state, list(state.tokens), now_ms, state.end)
        self._latest_keys[state.generation_id] = key
        return ReplicaHeld((message.replica_id,), (len(state.tokens),))

    def append(
        self, owner_id: str, message: ReplicaAppended, now_ms: float
    ) -> ReplicaHeld:
        """Append the next tokens; tokens after a gap are ignored."""
        n_tokens: dict[int, int] = {}
        for replica_id, index, text in zip(
            message.replica_ids, message.indexes, message.texts, strict=True
        ):
            replica = self._replicas.get((owner_id, replica_id))
            if replica is None:
                continue
            if index == len(replica.tokens):
                replica.tokens.append(text)
                replica.updated_at_ms = now_ms
            n_tokens[replica_id] = len(replica.tokens)
        return ReplicaHeld(tuple(n_tokens), tuple(n_tokens.values()))

    def end(self, owner_id: str, message: ReplicaEnded, now_ms: float) -> None:
        """Record the end of a generation, unless tokens are missing."""
        replica = self._replicas.get((owner_id, message.replica_id))
        if replica is not None and len(replica.tokens) == message.n_tokens:
            replica.end = StreamEnd(message.reason, message.n_prompt_tokens)
            replica.updated_at_ms = now_ms

    def find(self, generation_id: str, request_key: str) -> GenerationState | None:
        """Return the state of a generation, or None unless the request key matches."""
        key = self._latest_keys.get(generation_id)
        replica = self._replicas.get(key) if key else None
        if replica is None or replica.state.request_key != request_key:
            return None
        if replica.state.generation_id != generation_id:
            return None
        return replica.full_state()

    def expire(self, now_ms: float) -> None:
        """Drop expired replicas."""
        for key, replica in list(self._replicas.items()):
            if not replica.is_expired(now_ms):
                continue
            del self._replicas[key]
            generation_id = replica.state.generation_id
            if self._latest_keys.get(generation_id) == key:
                del self._latest_keys[generation_id]
