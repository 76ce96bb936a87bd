"""Quarantine requests that kill engines, on all routers of the fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection, Sequence
from dataclasses import replace
from typing import Any

from bronzeline_daemon.logs import log_event
from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.generation import GenerationSpec, request_hash
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock
from bronzeline_kernel.quarantine import (
    AnnouncementReceived,
    Announcer,
    BlameTracker,
    EngineDied,
    QuarantineAsked,
    QuarantineEntry,
    QuarantineLifted,
    QuarantineStarted,
    SuspectPlaced,
)

__all__ = ["QuarantineService"]

TICK_INTERVAL_S = 0.05
EVIDENCE_WAIT_S = 0.15
POLL_S = 0.01
N_ASKED_PEERS = 3
DEATH_ANNOUNCEMENT_TIMEOUT_MS = 1_000.0
ANNOUNCEMENT_TIMEOUT_MS = 10_000.0
MAX_TRIAL_WAIT_MS = 1_000.0
REASON = "engines_died"

ResolveDuration = Callable[[GenerationSpec], float]


class QuarantineService:
    """Track suspect and quarantined requests, and exchange them with peers."""

    def __init__(
        self,
        peers: PeerNetwork,
        members: Members,
        clock: Clock,
        resolve_duration_ms: ResolveDuration,
    ) -> None:
        self.tracker = BlameTracker()
        self._peers = peers
        self._members = members
        self._clock = clock
        self._resolve_duration_ms = resolve_duration_ms
        self._announcer = Announcer()
        self._n_announcements = 0
        self._has_asked = False
        peers.on(EngineDied, self._on_engine_died)
        peers.on(QuarantineStarted, self._on_started)
        peers.on(QuarantineLifted, self._on_lifted)
        peers.on(SuspectPlaced, self._on_placed)
        peers.on(QuarantineAsked, self._on_asked)
        peers.on(AnnouncementReceived, self._on_received)

    def entries(self) -> list[QuarantineEntry]:
        """Return the quarantines in force."""
        return self.tracker.entries(self._clock.now_ms())

    def lift(self, entry_id: str) -> bool:
        """End a quarantine on all routers; return whether it existed."""
        entry = self.tracker.lift(entry_id)
        if entry is None:
            return False
        log_event("quarantine_lifted", entry=entry_id)
        self._announce(QuarantineLifted(0, entry_id))
        return True

    def is_quarantined(self, spec: GenerationSpec) -> bool:
        """Return whether a request is quarantined."""
        entry = self.tracker.find(request_hash(spec), self._clock.now_ms())
        return entry is not None

    def engine_died(
        self, upstream_id: str, specs: Sequence[tuple[GenerationSpec, float]]
    ) -> None:
        """Record and announce the requests that ran on a dead engine."""
        ran_ms = {request_hash(spec): duration_ms for spec, duration_ms in specs}
        self.tracker.engine_died(upstream_id, ran_ms, self._clock.now_ms())
        log_event("engine_died", upstream=upstream_id, requests=len(ran_ms))
        self._announce(
            EngineDied(0, upstream_id, ran_ms), DEATH_ANNOUNCEMENT_TIMEOUT_MS
        )

    def is_suspect(self, spec: GenerationSpec) -> bool:
        """Return whether a request must run apart from other suspects."""
        return self.tracker.is_suspect(request_hash(spec))

    def engines_to_avoid(
        self, spec: GenerationSpec, upstream_ids: Collection[str]
    ) -> list[str]:
        """Return the engines that a suspect request must not run on."""
        return self.tracker.engines_to_avoid(request_hash(spec), upstream_ids)

    def set_placement(self, spec: GenerationSpec, upstream_id: str) -> None:
        """Report to peers the engine of a suspect; an empty id means it ended."""
        hash_of_request = request_hash(spec)
        if self.tracker.is_suspect(hash_of_request):
            self.tracker.set_placement(hash_of_request, upstream_id)
            self._peers.broadcast(SuspectPlaced(hash_of_request, upstream_id))

    def clear(self, spec: GenerationSpec) -> None:
        """Report to peers that a suspect completed, and clear it."""
        hash_of_request = request_hash(spec)
        if self.tracker.n_deaths(hash_of_request):
            self.tracker.clear(hash_of_request)
            self._peers.broadcast(SuspectPlaced(hash_of_request, "", is_cleared=True))

    async def quarantine_if_to_blame(self, spec: GenerationSpec) -> bool:
        """Wait for peers' evidence; quarantine the request if it is to blame.

        Returns whether the request is quarantined, after every reachable router
        has acknowledged it.
        """
        await asyncio.sleep(EVIDENCE_WAIT_S)
        hash_of_request = request_hash(spec)
        await self._wait_for_other_trials(hash_of_request)
        if not self.tracker.is_to_blame(hash_of_request):
            return self.is_quarantined(spec)
        duration_ms = self._resolve_duration_ms(spec)
        now_ms = self._clock.now_ms()
        upstream_ids = self.tracker.upstream_ids(hash_of_request)
        entry = self.tracker.quarantine(
            hash_of_request, spec.workspace, upstream_ids, REASON, now_ms + duration_ms
        )
        log_event("quarantined", entry=entry.entry_id, workspace=spec.workspace)
        number = self._announce(_started_message(entry, duration_ms))
        while not self._announcer.is_settled(number, self._clock.now_ms()):
            await asyncio.sleep(POLL_S)
        return True

    async def _wait_for_other_trials(self, hash_of_request: str) -> None:
        # If a suspect that now runs alone is the cause, its engine dies soon.
        deadline_ms = self._clock.now_ms() + MAX_TRIAL_WAIT_MS
        while self._clock.now_ms() < deadline_ms:
            is_to_blame = self.tracker.is_to_blame(hash_of_request)
            if not is_to_blame or not self.tracker.has_running_rival(hash_of_request):
                return
            await asyncio.sleep(POLL_S)

    async def run(self) -> None:
        """Repeat unacknowledged announcements and expire entries until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now_ms = self._clock.now_ms()
            for router_id, message in self._announcer.tick(self._alive_ids(), now_ms):
                self._peers.send(router_id, message)
            self.tracker.expire(now_ms)
            self._request_entries_once()

    def _request_entries_once(self) -> None:
        alive_ids = self._alive_ids()
        if not self._has_asked and alive_ids:
            self._has_asked = True
            for router_id in alive_ids[:N_ASKED_PEERS]:
                self._peers.send(router_id, QuarantineAsked())

    def _alive_ids(self) -> list[str]:
        return [item.router_id for item in self._members.alive()]

    def _announce(
        self, message: Any, give_up_after_ms: float = ANNOUNCEMENT_TIMEOUT_MS
    ) -> int:
        self._n_announcements += 1
        number = self._n_announcements
        numbered = replace(message, announcement_id=number)
        now_ms = self._clock.now_ms()
        for router_id, item in self._announcer.add(
            number, numbered, self._alive_ids(), now_ms, give_up_after_ms
        ):
            self._peers.send(router_id, item)
        return number

    def _on_engine_died(self, sender: PeerIdentity, message: EngineDied) -> None:
        now_ms = self._clock.now_ms()
        source = (sender.router_id, sender.incarnation, message.announcement_id)
        if self.tracker.is_new(source, now_ms):
            self.tracker.engine_died(message.upstream_id, message.ran_ms, now_ms)
        self._acknowledge(sender, message.announcement_id)

    def _on_started(self, sender: PeerIdentity, message: QuarantineStarted) -> None:
        self.tracker.quarantine(
            message.request_hash,
            message.workspace,
            message.upstream_ids,
            message.reason,
            self._clock.now_ms() + message.expires_in_ms,
        )
        self._acknowledge(sender, message.announcement_id)

    def _on_lifted(self, sender: PeerIdentity, message: QuarantineLifted) -> None:
        self.tracker.lift(message.entry_id)
        self._acknowledge(sender, message.announcement_id)

    def _on_placed(self, sender: PeerIdentity, message: SuspectPlaced) -> None:
        if message.is_cleared:
            self.tracker.clear(message.request_hash)
        else:
            self.tracker.set_placement(message.request_hash, message.upstream_id)

    def _on_asked(self, sender: PeerIdentity, message: QuarantineAsked) -> None:
        now_ms = self._clock.now_ms()
        for entry in self.tracker.entries(now_ms):
            started = _started_message(entry, entry.expires_at_ms - now_ms)
            self._peers.send(sender.router_id, started)

    def _on_received(self, sender: PeerIdentity, message: AnnouncementReceived) -> None:
        self._announcer.acknowledge(message.announcement_id, sender.router_id)

    def _acknowledge(self, sender: PeerIdentity, announcement_id: int) -> None:
        if announcement_id:
            answer = AnnouncementReceived(announcement_id)
            self._peers.send(sender.router_id, answer)


def _started_message(entry: QuarantineEntry, expires_in_ms: float) -> QuarantineStarted:
    return QuarantineStarted(
        0,
        entry.request_hash,
        entry.workspace,
        entry.reason,
        entry.upstream_ids,
        expires_in_ms,
    )
