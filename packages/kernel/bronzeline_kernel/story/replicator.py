"""Hand decisions to a few peers, in batches that are acknowledged."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import xxhash

from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.story.messages import (
    DecisionBatch,
    DecisionBatchTaken,
    ToldDecision,
)

__all__ = ["DecisionReplicator", "SendBatch"]

N_COPIES = 2
MAX_BATCH_SIZE = 32
MAX_WAITING = 4_000
MAX_TRIES = 4
RESEND_INTERVAL_MS = 1_000.0


@dataclass(frozen=True)
class SendBatch:
    """Send a batch to a peer."""

    router_id: str
    batch: DecisionBatch


@dataclass
class PendingBatch:
    """Remember a batch until its copies are acknowledged."""

    batch: DecisionBatch
    n_copies: int
    sent_at_ms: float
    n_tries: int = 1
    taken_ids: set[str] = field(default_factory=set)


class DecisionReplicator:
    """Keep a router's stories alive on two of its peers."""

    def __init__(self, own: RouterInfo) -> None:
        self.n_dropped = 0
        self._own = own
        self._next_batch_id = 1
        self._waiting: deque[ToldDecision] = deque()
        self._pending: dict[int, PendingBatch] = {}

    def add(self, decisions: Iterable[ToldDecision]) -> None:
        """Add decisions to the next batch; the oldest go when too many wait."""
        for told in decisions:
            if len(self._waiting) >= MAX_WAITING:
                self._waiting.popleft()
                self.n_dropped += 1
            self._waiting.append(told)

    def tick(self, peers: Sequence[RouterInfo], now_ms: float) -> list[SendBatch]:
        """Return the batches to send now, new ones and repeated ones."""
        ranked = self._ranked(peers)
        if not ranked:
            return []
        actions = self._repeat(ranked, now_ms)
        if self._waiting:
            actions.extend(self._send_next(ranked, now_ms))
        return actions

    def on_acknowledged(self, router_id: str, message: DecisionBatchTaken) -> None:
        """Take a peer's acknowledgement."""
        pending = self._pending.get(message.batch_id)
        if pending is None:
            return
        pending.taken_ids.add(router_id)
        if len(pending.taken_ids) >= pending.n_copies:
            del self._pending[message.batch_id]

    def _send_next(self, ranked: list[str], now_ms: float) -> list[SendBatch]:
        size = min(MAX_BATCH_SIZE, len(self._waiting))
        decisions = tuple(self._waiting.popleft() for _ in range(size))
        batch = DecisionBatch(self._next_batch_id, decisions)
        self._next_batch_id += 1
        targets = ranked[:N_COPIES]
        self._pending[batch.batch_id] = PendingBatch(batch, len(targets), now_ms)
        return [SendBatch(router_id, batch) for router_id in targets]

    def _repeat(self, ranked: list[str], now_ms: float) -> list[SendBatch]:
        actions: list[SendBatch] = []
        for batch_id, pending in list(self._pending.items()):
            if now_ms - pending.sent_at_ms < RESEND_INTERVAL_MS:
                continue
            if pending.n_tries >= MAX_TRIES:
                del self._pending[batch_id]
                self.n_dropped += len(pending.batch.decisions)
                continue
            actions.extend(_resend(pending, ranked, now_ms))
        return actions

    def _ranked(self, peers: Sequence[RouterInfo]) -> list[str]:
        """Order the peers by a stable hash, those of other zones first."""
        others = [peer for peer in peers if peer.router_id != self._own.router_id]
        return [
            peer.router_id
            for peer in sorted(
                others,
                key=lambda peer: (
                    peer.availability_zone == self._own.availability_zone,
                    _rank(self._own.router_id, peer.router_id),
                ),
            )
        ]


def _resend(pending: PendingBatch, ranked: list[str], now_ms: float) -> list[SendBatch]:
    first = pending.n_tries % len(ranked)
    untaken = [
        router_id
        for router_id in ranked[first:] + ranked[:first]
        if router_id not in pending.taken_ids
    ]
    pending.n_tries += 1
    pending.sent_at_ms = now_ms
    n_missing = pending.n_copies - len(pending.taken_ids)
    return [SendBatch(router_id, pending.batch) for router_id in untaken[:n_missing]]


def _rank(own_id: str, peer_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{own_id}\0{peer_id}".encode())
