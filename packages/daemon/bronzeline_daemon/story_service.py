"""Collect the decisions about a subject from all routers."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.protocols import Clock
from bronzeline_kernel.story import (
    DecisionBatch,
    DecisionBatchTaken,
    DecisionReplicator,
    NotableDecisions,
    StoryAnswer,
    StoryArchive,
    StoryLine,
    StoryQuery,
    ToldDecision,
    format_decisions,
)

__all__ = ["Story", "StoryService"]

REPLICATION_INTERVAL_S = 0.5
ANSWER_TIMEOUT_S = 1.0
MAX_ANSWER_DECISIONS = 1_000
MS_PER_S = 1_000.0


class LivePeers(Protocol):
    """Provide the routers that are considered alive."""

    def alive(self) -> list[RouterInfo]:
        """Return the live routers."""


@dataclass(frozen=True)
class Story:
    """Hold the decisions about a subject, and the routers that did not answer."""

    subject: str
    lines: list[StoryLine]
    silent_router_ids: list[str]


@dataclass
class PendingQuery:
    """Collect the peers' answers to one query."""

    missing_ids: set[str]
    decisions: list[ToldDecision]
    is_complete: asyncio.Event


class StoryService:
    """Explain requests, upstreams and routers by the fleet's decisions."""

    def __init__(
        self,
        own: RouterInfo,
        log: DecisionLog,
        peers: PeerNetwork,
        members: LivePeers,
        clock: Clock,
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self.replicator = DecisionReplicator(own)
        self.archive = StoryArchive()
        self._own_id = own.router_id
        self._log = log
        self._peers = peers
        self._members = members
        self._clock = clock
        self._wall_clock_s = wall_clock_s
        self._notable = NotableDecisions(log)
        self._queries: dict[int, PendingQuery] = {}
        self._next_query_id = 1
        log.subscribe(self._on_decision)
        peers.on(DecisionBatch, self._on_batch)
        peers.on(DecisionBatchTaken, self._on_acknowledged)
        peers.on(StoryQuery, self._on_query)
        peers.on(StoryAnswer, self._on_answer)

    async def explain(self, subject: str) -> Story:
        """Query all peers and return the decisions about a subject in order."""
        query_id = self._next_query_id
        self._next_query_id += 1
        peer_ids = {peer.router_id for peer in self._members.alive()} - {self._own_id}
        query = PendingQuery(peer_ids, self._known_decisions(subject), asyncio.Event())
        self._queries[query_id] = query
        try:
            for router_id in list(peer_ids):
                self._peers.send(router_id, StoryQuery(query_id, subject))
            await self._wait_for_answers(query)
        finally:
            del self._queries[query_id]
        return Story(
            subject, format_decisions(query.decisions), sorted(query.missing_ids)
        )

    async def run(self) -> None:
        """Replicate notable decisions to peers until cancelled."""
        while True:
            await asyncio.sleep(REPLICATION_INTERVAL_S)
            alive = self._members.alive()
            for action in self.replicator.tick(alive, self._clock.now_ms()):
                self._peers.send(action.router_id, action.batch)

    async def _wait_for_answers(self, query: PendingQuery) -> None:
        if not query.missing_ids:
            return
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await query.is_complete.wait()
        except TimeoutError:
            return

    def _known_decisions(self, subject: str) -> list[ToldDecision]:
        own = [self._with_origin(item) for item in self._log.for_subject(subject)]
        return own + self.archive.for_subject(subject)

    def _with_origin(self, decision: Decision) -> ToldDecision:
        age_s = (self._clock.now_ms() - decision.at_ms) / MS_PER_S
        return ToldDecision(self._own_id, self._wall_clock_s() - age_s, decision)

    def _on_decision(self, decision: Decision) -> None:
        notable = self._notable.select(decision)
        if notable:
            self.replicator.add([self._with_origin(item) for item in notable])

    def _on_batch(self, sender: PeerIdentity, message: DecisionBatch) -> None:
        self.archive.add(message.decisions)
        self._peers.send(sender.router_id, DecisionBatchTaken(message.batch_id))

    def _on_acknowledged(
        self, sender: PeerIdentity, message: DecisionBatchTaken
    ) -> None:
        self.replicator.on_acknowledged(sender.router_id, message)

    def _on_query(self, sender: PeerIdentity, message: StoryQuery) -> None:
        decisions = self._known_decisions(message.subject)[-MAX_ANSWER_DECISIONS:]
        self._peers.send(
            sender.router_id, StoryAnswer(message.query_id, tuple(decisions))
        )

    def _on_answer(self, sender: PeerIdentity, message: StoryAnswer) -> None:
        query = self._queries.get(message.query_id)
        if query is None:
            return
        query.decisions.extend(message.decisions)
        query.missing_ids.discard(sender.router_id)
        if not query.missing_ids:
            query.is_complete.set()
