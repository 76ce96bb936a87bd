"""Bring routers that missed announcements up to date on what is refused."""

from __future__ import annotations

import asyncio
from random import Random

from bronzeline_daemon.forwarding.block_store import BlockStore
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_kernel.forwarding import (
    BlocksAsked,
    BlocksChanged,
    ProofSource,
    Quarantine,
    RouterEntry,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["BlockExchange"]

# Each level of the tree of routers adds up to this interval until a router knows.
ASK_INTERVAL_MS = 1_000.0
# A router that has just started may get requests at once.
FIRST_ASK_INTERVAL_MS = 300.0
N_FIRST_ASKS = 4
TICK_S = 0.1
# A block takes about 100 bytes, and a datagram should fit into one IP packet.
MAX_BLOCKS_AT_ONCE = 8
# Bounds the bytes of an answer; with more records than this the newest are sent.
MAX_BLOCKS_IN_ANSWER = 64


class BlockExchange:
    """Compare blocks with the parent in the tree of routers; the root stores them.

    Records are exchanged in both directions if their checksums differ.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        store: BlockStore,
        proof_source: ProofSource,
        peers: ForwardingPeers,
        clock: Clock,
        random: Random,
    ) -> None:
        self._quarantine = quarantine
        self._store = store
        self._proof_source = proof_source
        self._peers = peers
        self._clock = clock
        self._random = random
        self._n_asked = 0
        self._ask_due_ms = 0.0
        self._task: asyncio.Task[None] | None = None
        peers.listen(BlocksAsked, self._on_asked)

    def start(self) -> None:
        """Start to ask the parent, or to store blocks as the root."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop asking and storing."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_ms = self._clock.now_ms()
            if self._proof_source.is_root(now_ms):
                await self._store.synchronize(now_ms)
                continue
            self._store.forget()
            parent = self._proof_source.parent(now_ms)
            if parent is not None and now_ms >= self._ask_due_ms:
                self._ask(parent, now_ms)

    def _ask(self, parent: RouterEntry, now_ms: float) -> None:
        is_first = self._n_asked < N_FIRST_ASKS
        interval_ms = FIRST_ASK_INTERVAL_MS if is_first else ASK_INTERVAL_MS
        self._n_asked += 1
        self._ask_due_ms = now_ms + interval_ms * self._random.uniform(0.8, 1.2)
        digest = self._quarantine.blocks.digest()
        self._peers.send_to(BlocksAsked(digest, is_answer=False), parent)

    def _on_asked(self, asked: BlocksAsked, peer: RouterEntry) -> None:
        blocks = self._quarantine.blocks
        if asked.digest == blocks.digest():
            return
        known = blocks.blocks(self._clock.now_ms())[-MAX_BLOCKS_IN_ANSWER:]
        for start in range(0, len(known), MAX_BLOCKS_AT_ONCE):
            some = known[start : start + MAX_BLOCKS_AT_ONCE]
            self._peers.send_to(BlocksChanged(some), peer)
        if not asked.is_answer:
            # The peer may have records that this router lacks.
            self._peers.send_to(BlocksAsked(blocks.digest(), is_answer=True), peer)
