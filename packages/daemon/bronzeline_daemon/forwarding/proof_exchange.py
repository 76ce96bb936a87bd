"""Exchange proofs of freshness and changes of upstreams with peers."""

from __future__ import annotations

import asyncio
from random import Random

from bronzeline_daemon.forwarding.directory_watch import DirectoryWatch
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.forwarding import (
    ForwardingView,
    ProofAsked,
    ProofGiven,
    ProofSource,
    RouterEntry,
    StoreEra,
    StorePosition,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["ProofExchange"]

TICK_S = 0.1
# The root asks nobody for proofs. It may have started when the store had lost the
# version in force, so it compares versions with one peer at this interval.
COMPARE_INTERVAL_MS = 1_000.0
# The number of a request that asks for no proof.
COMPARISON = 0
# An entry takes 120 bytes, and a datagram should fit into one IP packet.
MAX_CHANGES_AT_ONCE = 8


class ProofExchange:
    """Request proofs of how current peers' data is, and answer their requests."""

    def __init__(
        self,
        view: ForwardingView,
        proof_source: ProofSource,
        watch: DirectoryWatch,
        peers: ForwardingPeers,
        store_era: StoreEra,
        clock: Clock,
        random: Random,
    ) -> None:
        self._view = view
        self._proof_source = proof_source
        self._watch = watch
        self._peers = peers
        self._store_era = store_era
        self._clock = clock
        self._random = random
        self._compare_due_ms = 0.0
        self._was_reading_store = True
        self._task: asyncio.Task[None] | None = None
        peers.listen(ProofAsked, self._on_proof_asked)
        peers.listen(ProofGiven, self._on_proof_given)

    def start(self) -> None:
        """Start to request proofs from peers periodically."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop requesting proofs."""
        if self._task is not None:
            self._task.cancel()

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now_ms = self._clock.now_ms()
            request = self._proof_source.next_request(now_ms)
            if request is not None:
                self._ask(request.number, request.peer)
            elif self._proof_source.is_root(now_ms) and now_ms >= self._compare_due_ms:
                self._compare_due_ms = now_ms + COMPARE_INTERVAL_MS
                self._compare()
            self._log_role_change(now_ms)

    def _compare(self) -> None:
        peers = self._peers.peer_list.all
        if peers:
            self._ask(COMPARISON, self._random.choice(peers))

    def _ask(self, number: int, peer: RouterEntry) -> None:
        view = self._view
        message = ProofAsked(
            self._peers.own.router_id, number, view.changes.position, view.version
        )
        self._peers.send_to(message, peer)

    def _log_role_change(self, now_ms: float) -> None:
        must_read_store = self._proof_source.must_read_store(now_ms)
        if must_read_store != self._was_reading_store:
            log_event("reads_store" if must_read_store else "follows_peer")
        self._was_reading_store = must_read_store

    def _compare_versions(self, config_version: int, peer: RouterEntry) -> None:
        """Fetch a newer configuration; no router ever goes back to an older one."""
        if config_version > self._view.version and peer.router_id:
            self._watch.fetch_config_from(peer)

    def _record_contact(
        self, read_at_ms: float, peer: RouterEntry, now_ms: float
    ) -> None:
        """Record when the store was read; what a peer holds is its own matter."""
        self._view.record_contact(read_at_ms)
        away_ms = self._view.peer_read_store(read_at_ms, now_ms)
        if away_ms is not None:
            log_event("removals_held", source=peer.router_id, away_ms=round(away_ms))

    def _learn_era(self, position: StorePosition) -> None:
        """Learn of a restoration from a peer that has read a list of upstreams."""
        if position.revision:
            self._store_era.observe(position.era)

    def _on_proof_asked(self, request: ProofAsked, peer: RouterEntry) -> None:
        now_ms = self._clock.now_ms()
        if request.number != COMPARISON:
            # A root that is cut off from the store compares versions, too.
            self._proof_source.heard_from(peer.router_id, now_ms)
        self._learn_era(request.position)
        self._compare_versions(request.config_version, peer)
        read_age_ms = self._view.read_age_ms(now_ms)
        if not self._view.upstreams.is_loaded:
            read_age_ms = float("inf")
        changes = self._view.changes.since(request.position)
        if changes is not None and len(changes) > MAX_CHANGES_AT_ONCE:
            changes = None
        proof = ProofGiven(
            request.number,
            self._view.version,
            self._view.lease.age_ms(now_ms),
            read_age_ms,
            self._view.changes.position,
            changes,
            self._view.upstreams.away_until_ms_ago(now_ms),
        )
        self._peers.send_to(proof, peer)

    def _on_proof_given(self, proof: ProofGiven, peer: RouterEntry) -> None:
        now_ms = self._clock.now_ms()
        self._learn_era(proof.position)
        self._compare_versions(proof.config_version, peer)
        read_at_ms = self._proof_source.accept_proof(
            proof.number, proof.read_age_ms, now_ms
        )
        if read_at_ms is None:
            return
        self._record_contact(read_at_ms, peer, now_ms)
        if proof.config_version == self._view.version:
            self._view.lease.renew(read_at_ms + proof.read_age_ms - proof.age_ms)
        if proof.position <= self._view.changes.position:
            return
        self._view.expect_peer_changes(now_ms)
        if proof.changes is None:
            self._watch.fetch_upstreams_from(peer)
        else:
            self._watch.apply_changes(proof.changes, proof.position)
