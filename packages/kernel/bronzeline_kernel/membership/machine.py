"""Implement the membership state machine of one router."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership.members import (
    UNKNOWN_INCARNATION,
    Member,
    Members,
)
from bronzeline_kernel.membership.messages import (
    DrainStarted,
    Heartbeat,
    MemberChanged,
    MemberEvent,
    MemberEvents,
    MembershipAction,
    MembershipMessage,
    MemberState,
    PeerMessageReceived,
    SendToPeer,
    Tick,
    VmListRead,
)
from bronzeline_kernel.membership.outbox import EventOutbox
from bronzeline_kernel.membership.overlay import MAX_FULL_MESH, Overlay

__all__ = ["Membership", "MembershipOptions"]

N_SAMPLED_EVENTS = 12


@dataclass(frozen=True)
class MembershipOptions:
    """Hold the intervals, time limits and byte rates of membership."""

    heartbeat_interval_ms: float = 500.0
    wide_heartbeat_interval_ms: float = 1_000.0
    n_missed_heartbeats: int = 3
    suspicion_ms: float = 2_000.0
    probe_interval_ms: float = 4_000.0
    repair_interval_ms: float = 3_000.0
    forget_after_ms: float = 120_000.0
    max_event_bytes_per_s: float = 1_500.0
    event_burst_bytes: float = 6_000.0


DEFAULT_OPTIONS = MembershipOptions()


class Membership:
    """Maintain one router's view and flood its changes over the overlay."""

    def __init__(
        self,
        own: RouterInfo,
        incarnation: int,
        members: Members,
        random: Random,
        options: MembershipOptions = DEFAULT_OPTIONS,
    ) -> None:
        self.members = members
        self.n_refused_messages = 0
        self.n_refuted = 0
        self._own = Member(own, incarnation)
        self._random = random
        self._options = options
        self._overlay = Overlay(own.router_id)
        self._outbox = EventOutbox(
            options.max_event_bytes_per_s, options.event_burst_bytes
        )
        self._heard_at_ms: dict[str, float] = {}
        self._sampled_at_ms: dict[str, float] = {}
        self._next_heartbeat_ms = 0.0
        self._next_probe_ms = 0.0
        self.is_announced = False

    @property
    def own(self) -> Member:
        """Return the state that this router announces of itself."""
        return self._own

    def neighbours(self) -> frozenset[str]:
        """Return the ids of the routers that heartbeats are sent to."""
        return self._overlay.neighbours()

    def handle(
        self, message: MembershipMessage, now_ms: float
    ) -> list[MembershipAction]:
        """Process one message and return the resulting actions."""
        match message:
            case VmListRead(routers):
                return self._on_vm_list(routers, now_ms)
            case PeerMessageReceived():
                return self._on_peer(message, now_ms)
            case Tick():
                return self._on_tick(now_ms)
            case DrainStarted():
                return self._on_drain_started(now_ms)

    def _on_vm_list(
        self, routers: tuple[RouterInfo, ...], now_ms: float
    ) -> list[MembershipAction]:
        is_first = not self.neighbours()
        changed = self.members.apply_listing(routers, now_ms)
        if is_first:
            self._overlay.add_all(item.info.router_id for item in changed)
        actions: list[MembershipAction] = []
        for member in changed:
            self._update_overlay(member, now_ms)
            router_id = member.info.router_id
            actions.append(MemberChanged(router_id, member.state, "list"))
            if member.incarnation != UNKNOWN_INCARNATION:
                self._flood(self._event_of(member), "")
        return actions

    def _on_peer(
        self, received: PeerMessageReceived, now_ms: float
    ) -> list[MembershipAction]:
        router_id = received.router_id
        member = self.members.member(router_id)
        if member is not None and received.incarnation < member.incarnation:
            self.n_refused_messages += 1
            return []
        self._heard_at_ms[router_id] = now_ms
        actions = self._on_contact(member, received, now_ms)
        if isinstance(received.message, MemberEvents):
            for event in received.message.events:
                self._outbox.on_peer_event(router_id, event)
                actions += self._on_event(event, router_id, now_ms)
        else:
            self._queue_sample(router_id, received.message, now_ms)
            if router_id not in self.neighbours() and not received.message.is_answer:
                actions.append(SendToPeer(router_id, self._heartbeat(is_answer=True)))
        return actions

    def _on_contact(
        self, member: Member | None, received: PeerMessageReceived, now_ms: float
    ) -> list[MembershipAction]:
        """Record a new incarnation, or notify a peer that it is suspected or failed."""
        if member is None:
            return []
        if received.incarnation > member.incarnation:
            is_listed_leaving = (
                member.incarnation == UNKNOWN_INCARNATION
                and member.state is MemberState.LEAVING
            )
            state = MemberState.LEAVING if is_listed_leaving else MemberState.ALIVE
            fresh = Member(member.info, received.incarnation, 0, state)
            self._queue_full_view(received.router_id)
            return self._update_member(fresh, "", "heard", now_ms)
        if member.state in (MemberState.SUSPECTED, MemberState.FAILED):
            suspicion = MemberEvents((member.event(),))
            return [SendToPeer(received.router_id, suspicion)]
        return []

    def _on_event(
        self, event: MemberEvent, source: str, now_ms: float
    ) -> list[MembershipAction]:
        if event.router_id == self._own.info.router_id:
            return self._on_own_event(event, source)
        member = self.members.member(event.router_id)
        if member is not None and event.order <= member.order:
            return []
        if member is None and (event.state is MemberState.FAILED or not event.host):
            return []
        info = member.info if member is not None else _info_of(event)
        state = self._merged_state(member, event)
        updated = Member(info, event.incarnation, event.revision, state)
        return self._update_member(updated, source, "told", now_ms)

    def _merged_state(self, member: Member | None, event: MemberEvent) -> MemberState:
        """Return the state to record; LEAVING is kept within an incarnation."""
        if member is None or member.state is not MemberState.LEAVING:
            return event.state
        is_same = member.incarnation in (UNKNOWN_INCARNATION, event.incarnation)
        return max(member.state, event.state) if is_same else event.state

    def _on_own_event(self, event: MemberEvent, source: str) -> list[MembershipAction]:
        """Refute a suspicion of this router with a higher revision."""
        own = self._own
        if event.incarnation != own.incarnation or event.order <= own.order:
            return []
        if event.state is MemberState.LEAVING:
            self._own = replace(own, revision=event.revision, state=event.state)
            return []
        self.n_refuted += 1
        self._own = replace(own, revision=event.revision + 1)
        self._flood(self._own.event(), source)
        # The sender may no longer be a neighbour, if either router had marked
        # the other as failed, so the refutation is also sent to it directly.
        return [SendToPeer(source, MemberEvents((self._own.event(),)))]

    def _update_member(
        self, member: Member, source: str, reason: str, now_ms: float
    ) -> list[MembershipAction]:
        """Replace a member's record, flood the event and report the change."""
        member = replace(member, changed_at_ms=now_ms)
        self.members.put(member)
        self._update_overlay(member, now_ms)
        self._flood(self._event_of(member), source)
        return [MemberChanged(member.info.router_id, member.state, reason)]

    def _update_overlay(self, member: Member, now_ms: float) -> None:
        router_id = member.info.router_id
        if member.state is MemberState.FAILED:
            self._overlay.discard(router_id)
            return
        before = self._overlay.neighbours()
        self._overlay.add(router_id)
        for neighbour in self._overlay.neighbours() - before:
            self._heard_at_ms[neighbour] = now_ms

    def _flood(self, event: MemberEvent, source: str) -> None:
        for neighbour in self._overlay.neighbours():
            if neighbour not in (source, event.router_id):
                self._outbox.queue(neighbour, event)

    def _queue_sample(
        self, router_id: str, heartbeat: Heartbeat, now_ms: float
    ) -> None:
        """Queue a sample of the view for a neighbour whose view digest differs."""
        if heartbeat.view_digest == self.members.view_digest_with(self._own):
            return
        last_ms = self._sampled_at_ms.get(router_id, 0.0)
        if now_ms - last_ms < self._options.repair_interval_ms:
            return
        self._sampled_at_ms[router_id] = now_ms
        known = self._reportable_members()
        sample = self._random.sample(known, min(N_SAMPLED_EVENTS, len(known)))
        self._outbox.queue(router_id, self._own.event())
        for member in sample:
            self._outbox.queue(router_id, self._event_of(member))

    def _queue_full_view(self, router_id: str) -> None:
        """Queue the whole view for a restarted router, if it is the ring successor."""
        if router_id != self._overlay.successor():
            return
        for member in self._reportable_members():
            self._outbox.queue(router_id, self._event_of(member))

    def _event_of(self, member: Member) -> MemberEvent:
        """Return a member's event, without its address if the list of VMs has it."""
        return member.event(omits_address=self.members.is_listed(member.info.router_id))

    def _reportable_members(self) -> list[Member]:
        """Return the members whose state is not known from the list of VMs alone."""
        return [
            item
            for item in self.members.all()
            if item.incarnation or item.state is not MemberState.ALIVE
        ]

    def _heartbeat(self, is_answer: bool = False) -> Heartbeat:
        return Heartbeat(self.members.view_digest_with(self._own), is_answer)

    def _on_tick(self, now_ms: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        if not self.is_announced and self._overlay.neighbours():
            self.is_announced = True
            self._flood(self._own.event(), "")
        self._expire(now_ms, actions)
        self._outbox.keep_only(self._overlay.neighbours())
        for neighbour, message in self._outbox.take_messages(now_ms):
            actions.append(SendToPeer(neighbour, message))
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self._interval_ms()
            heartbeat = self._heartbeat()
            actions += [
                SendToPeer(item, heartbeat) for item in sorted(self.neighbours())
            ]
            self._suspect_silent_neighbours(now_ms, actions)
        if now_ms >= self._next_probe_ms:
            self._next_probe_ms = now_ms + self._options.probe_interval_ms
            actions += self._probe()
        return actions

    def _interval_ms(self) -> float:
        is_wide = len(self._overlay) > MAX_FULL_MESH
        options = self._options
        return (
            options.wide_heartbeat_interval_ms
            if is_wide
            else options.heartbeat_interval_ms
        )

    def _suspect_silent_neighbours(
        self, now_ms: float, actions: list[MembershipAction]
    ) -> None:
        limit_ms = self._options.n_missed_heartbeats * self._interval_ms()
        for router_id in self.neighbours():
            member = self.members.member(router_id)
            heard_at_ms = self._heard_at_ms.setdefault(router_id, now_ms)
            if member is None or now_ms - heard_at_ms <= limit_ms:
                continue
            if member.state is MemberState.ALIVE:
                suspected = replace(member, state=MemberState.SUSPECTED)
                actions += self._update_member(suspected, "", "silent", now_ms)
            elif member.state is MemberState.LEAVING:
                failed = replace(member, state=MemberState.FAILED)
                actions += self._update_member(failed, "", "left", now_ms)

    def _expire(self, now_ms: float, actions: list[MembershipAction]) -> None:
        """Mark members whose suspicion was not refuted as failed; drop old failures."""
        options = self._options
        for member in self.members.suspected_or_failed():
            age_ms = now_ms - member.changed_at_ms
            if member.state is MemberState.SUSPECTED and age_ms > options.suspicion_ms:
                failed = replace(member, state=MemberState.FAILED, changed_at_ms=now_ms)
                self.members.put(failed)
                self._update_overlay(failed, now_ms)
                router_id = member.info.router_id
                actions.append(
                    MemberChanged(router_id, MemberState.FAILED, "not_refuted")
                )
            elif self._can_forget(member, age_ms):
                self.members.forget(member.info.router_id)

    def _can_forget(self, member: Member, age_ms: float) -> bool:
        is_old = age_ms > self._options.forget_after_ms
        is_failed = member.state is MemberState.FAILED
        return (
            is_failed and is_old and not self.members.is_listed(member.info.router_id)
        )

    def _probe(self) -> list[MembershipAction]:
        """Send a heartbeat to a random failed router, so that a partition heals."""
        failed = [
            item.info.router_id
            for item in self.members.suspected_or_failed()
            if item.state is MemberState.FAILED
        ]
        if not failed:
            return []
        return [SendToPeer(self._random.choice(failed), self._heartbeat())]

    def _on_drain_started(self, now_ms: float) -> list[MembershipAction]:
        own = self._own
        self._own = replace(own, revision=own.revision + 1, state=MemberState.LEAVING)
        event = MemberEvents((self._own.event(),))
        return [SendToPeer(item, event) for item in sorted(self.neighbours())]


def _info_of(event: MemberEvent) -> RouterInfo:
    return RouterInfo(
        event.router_id,
        event.host,
        event.peer_port,
        event.availability_zone,
        event.region,
    )
