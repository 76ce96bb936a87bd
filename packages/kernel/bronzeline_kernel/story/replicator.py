"""Replicate decisions to peers in acknowledged batches."""

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
MAX_ATTEMPTS = 4
RESEND_INTERVAL_MS = 1_000.0


@dataclass(frozen=True)
class SendBatch:
    """Send a batch to a peer."""

    router_id: str
    batch: DecisionBatch


@dataclass
class PendingBatch:
    """Track a batch until its copies are acknowledged."""

    batch: DecisionBatch
    n_copies: int
    sent_at_ms: float
    n_attempts: int = 1
    acknowledged_ids: set[str] = field(default_factory=set)


class DecisionReplicator:
    """Replicate a router's decisions to two peers."""

    def __init__(self, own: RouterInfo) -> None:
        self.n_dropped = 0
        self._own = own
        self._next_batch_id = 1
        self._waiting: deque[ToldDecision] = deque()
        self._pending: dict[int, PendingBatch] = {}

    def add(self, decisions: Iterable[ToldDecision]) -> None:
        """Queue decisions; the oldest are dropped when the queue is full."""
        for entry in decisions:
            if len(self._waiting) >= MAX_WAITING:
                self._waiting.popleft()
                self.n_dropped += 1
            self._waiting.append(entry)

    def tick(self, peers: Sequence[RouterInfo], now_ms: float) -> list[SendBatch]:
        """Return the batches to send now, both new and repeated ones."""
        ranked = self._ranked_peer_ids(peers)
        if not ranked:
            return []
        actions = self._resend_due(ranked, now_ms)
        if self._waiting:
            actions.extend(self._send_next(ranked, now_ms))
        return actions

    def on_acknowledged(self, router_id: str, message: DecisionBatchTaken) -> None:
        """Process a peer's acknowledgement."""
        pending = self._pending.get(message.batch_id)
        if pending is None:
            return
        pending.acknowledged_ids.add(router_id)
        if len(pending.acknowledged_ids) >= pending.n_copies:
            del self._pending[message.batch_id]

    def _send_next(self, ranked: list[str], now_ms: float) -> list[SendBatch]:
        size = min(MAX_BATCH_SIZE, len(self._waiting))
        decisions = tuple(self._waiting.popleft() for _ in range(size))
        batch = DecisionBatch(self._next_batch_id, decisions)
        self._next_batch_id += 1
        targets = ranked[:N_COPIES]
        self._pending[batch.batch_id] = PendingBatch(batch, len(targets), now_ms)
        return [SendBatch(router_id, batch) for router_id in targets]

    def _resend_due(self, ranked: list[str], now_ms: float) -> list[SendBatch]:
        actions: list[SendBatch] = []
        for batch_id, pending in list(self._pending.items()):
            if now_ms - pending.sent_at_ms < RESEND_INTERVAL_MS:
                continue
            if pending.n_attempts >= MAX_ATTEMPTS:
                del self._pending[batch_id]
                self.n_dropped += len(pending.batch.decisions)
                continue
            actions.extend(_resend(pending, ranked, now_ms))
        return actions

    def _ranked_peer_ids(self, peers: Sequence[RouterInfo]) -> list[str]:
        """Return the peer ids by stable hash, those of other zones first."""
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
    offset = pending.n_attempts % len(ranked)
    unacknowledged = [
        router_id
        for router_id in ranked[offset:] + ranked[:offset]
        if router_id not in pending.acknowledged_ids
    ]
    pending.n_attempts += 1
    pending.sent_at_ms = now_ms
    n_missing = pending.n_copies - len(pending.acknowledged_ids)
    return [
        SendBatch(router_id, pending.batch) for router_id in unacknowledged[:n_missing]
    ]


def _rank(own_id: str, peer_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{own_id}\0{peer_id}".encode())
