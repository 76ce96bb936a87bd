"""Decide what one router believes of the others and what it tells them."""

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
    """Set the pace of heartbeats, suspicion and repair."""

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
    """Keep one router's view, and flood what changes over the overlay."""

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
        self._repaired_at_ms: dict[str, float] = {}
        self._next_heartbeat_ms = 0.0
        self._next_probe_ms = 0.0
        self.is_announced = False

    @property
    def own(self) -> Member:
        """Return what this router says of itself."""
        return self._own

    def neighbours(self) -> frozenset[str]:
        """Return the routers that heartbeats go to."""
        return self._overlay.neighbours()

    def handle(
        self, message: MembershipMessage, now_ms: float
    ) -> list[MembershipAction]:
        """Take one message and return the actions that follow from it."""
        match message:
            case VmListRead(routers):
                return self._on_list(routers, now_ms)
            case PeerMessageReceived():
                return self._on_peer(message, now_ms)
            case Tick():
                return self._on_tick(now_ms)
            case DrainStarted():
                return self._on_stop(now_ms)

    def _on_list(
        self, routers: tuple[RouterInfo, ...], now_ms: float
    ) -> list[MembershipAction]:
        is_first = not self.neighbours()
        changed = self.members.apply_listing(routers, now_ms)
        if is_first:
            self._overlay.add_all(item.info.router_id for item in changed)
        actions: list[MembershipAction] = []
        for member in changed:
            self._place(member, now_ms)
            router_id = member.info.router_id
            actions.append(MemberChanged(router_id, member.state, "list"))
            if member.incarnation != UNKNOWN_INCARNATION:
                self._flood(self._event_of(member), "")
        return actions

    def _on_peer(
        self, heard: PeerMessageReceived, now_ms: float
    ) -> list[MembershipAction]:
        router_id = heard.router_id
        member = self.members.member(router_id)
        if member is not None and heard.incarnation < member.incarnation:
            self.n_refused_messages += 1
            return []
        self._heard_at_ms[router_id] = now_ms
        actions = self._on_contact(member, heard, now_ms)
        if isinstance(heard.message, MemberEvents):
            for event in heard.message.events:
                self._outbox.heard(router_id, event)
                actions += self._on_event(event, router_id, now_ms)
        else:
            self._repair(router_id, heard.message, now_ms)
            if router_id not in self.neighbours() and not heard.message.is_answer:
                actions.append(SendToPeer(router_id, self._heartbeat(is_answer=True)))
        return actions

    def _on_contact(
        self, member: Member | None, heard: PeerMessageReceived, now_ms: float
    ) -> list[MembershipAction]:
        """Learn an incarnation at first hand, or tell an accused of it."""
        if member is None:
            return []
        if heard.incarnation > member.incarnation:
            known_leaving = (
                member.incarnation == UNKNOWN_INCARNATION
                and member.state is MemberState.LEAVING
            )
            state = MemberState.LEAVING if known_leaving else MemberState.ALIVE
            fresh = Member(member.info, heard.incarnation, 0, state)
            self._snapshot(heard.router_id)
            return self._believe(fresh, "", "heard", now_ms)
        if member.state in (MemberState.SUSPECTED, MemberState.FAILED):
            accusation = MemberEvents((member.event(),))
            return [SendToPeer(heard.router_id, accusation)]
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
        state = self._sticky_state(member, event)
        believed = Member(info, event.incarnation, event.revision, state)
        return self._believe(believed, source, "told", now_ms)

    def _sticky_state(self, member: Member | None, event: MemberEvent) -> MemberState:
        """Keep a router leaving for as long as its incarnation lasts."""
        if member is None or member.state is not MemberState.LEAVING:
            return event.state
        is_same = member.incarnation in (UNKNOWN_INCARNATION, event.incarnation)
        return max(member.state, event.state) if is_same else event.state

    def _on_own_event(self, event: MemberEvent, source: str) -> list[MembershipAction]:
        """Refute a suspicion by a higher revision of this incarnation."""
        own = self._own
        if event.incarnation != own.incarnation or event.order <= own.order:
            return []
        if event.state is MemberState.LEAVING:
            self._own = replace(own, revision=event.revision, state=event.state)
            return []
        self.n_refuted += 1
        self._own = replace(own, revision=event.revision + 1)
        self._flood(self._own.event(), source)
        # The accuser may be no neighbour any more, if either took the other
        # to have failed.
        return [SendToPeer(source, MemberEvents((self._own.event(),)))]

    def _believe(
        self, member: Member, source: str, reason: str, now_ms: float
    ) -> list[MembershipAction]:
        """Replace a belief, pass it on and say so."""
        member = replace(member, changed_at_ms=now_ms)
        self.members.put(member)
        self._place(member, now_ms)
        self._flood(self._event_of(member), source)
        return [MemberChanged(member.info.router_id, member.state, reason)]

    def _place(self, member: Member, now_ms: float) -> None:
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
                self._outbox.put(neighbour, event)

    def _repair(self, router_id: str, heartbeat: Heartbeat, now_ms: float) -> None:
        """Let a sample of the view wait for a neighbour whose view differs."""
        if heartbeat.view_digest == self.members.digest_with(self._own):
            return
        last_ms = self._repaired_at_ms.get(router_id, 0.0)
        if now_ms - last_ms < self._options.repair_interval_ms:
            return
        self._repaired_at_ms[router_id] = now_ms
        known = self._worth_telling()
        sample = self._random.sample(known, min(N_SAMPLED_EVENTS, len(known)))
        self._outbox.put(router_id, self._own.event())
        for member in sample:
            self._outbox.put(router_id, self._event_of(member))

    def _snapshot(self, router_id: str) -> None:
        """Let the whole view wait for a router that started; one neighbour does."""
        if router_id != self._overlay.successor():
            return
        for member in self._worth_telling():
            self._outbox.put(router_id, self._event_of(member))

    def _event_of(self, member: Member) -> MemberEvent:
        """Return an event, with the address only where no list has it."""
        return member.event(is_brief=self.members.is_listed(member.info.router_id))

    def _worth_telling(self) -> list[Member]:
        """Leave out what every router takes from the list of VMs by itself."""
        return [
            item
            for item in self.members.all()
            if item.incarnation or item.state is not MemberState.ALIVE
        ]

    def _heartbeat(self, is_answer: bool = False) -> Heartbeat:
        return Heartbeat(self.members.digest_with(self._own), is_answer)

    def _on_tick(self, now_ms: float) -> list[MembershipAction]:
        actions: list[MembershipAction] = []
        if not self.is_announced and self._overlay.neighbours():
            self.is_announced = True
            self._flood(self._own.event(), "")
        self._expire(now_ms, actions)
        self._outbox.keep_only(self._overlay.neighbours())
        for neighbour, message in self._outbox.take(now_ms):
            actions.append(SendToPeer(neighbour, message))
        if now_ms >= self._next_heartbeat_ms:
            self._next_heartbeat_ms = now_ms + self._interval_ms()
            heartbeat = self._heartbeat()
            actions += [
                SendToPeer(item, heartbeat) for item in sorted(self.neighbours())
            ]
            self._suspect_silent(now_ms, actions)
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

    def _suspect_silent(self, now_ms: float, actions: list[MembershipAction]) -> None:
        limit_ms = self._options.n_missed_heartbeats * self._interval_ms()
        for router_id in self.neighbours():
            member = self.members.member(router_id)
            heard_at_ms = self._heard_at_ms.setdefault(router_id, now_ms)
            if member is None or now_ms - heard_at_ms <= limit_ms:
                continue
            if member.state is MemberState.ALIVE:
                accused = replace(member, state=MemberState.SUSPECTED)
                actions += self._believe(accused, "", "silent", now_ms)
            elif member.state is MemberState.LEAVING:
                gone = replace(member, state=MemberState.FAILED)
                actions += self._believe(gone, "", "left", now_ms)

    def _expire(self, now_ms: float, actions: list[MembershipAction]) -> None:
        """Take a suspicion that nobody refuted for true; each by itself."""
        options = self._options
        for member in self.members.doubtful():
            age_ms = now_ms - member.changed_at_ms
            if member.state is MemberState.SUSPECTED and age_ms > options.suspicion_ms:
                failed = replace(member, state=MemberState.FAILED, changed_at_ms=now_ms)
                self.members.put(failed)
                self._place(failed, now_ms)
                router_id = member.info.router_id
                actions.append(
                    MemberChanged(router_id, MemberState.FAILED, "not_refuted")
                )
            elif self._is_gone(member, age_ms):
                self.members.forget(member.info.router_id)

    def _is_gone(self, member: Member, age_ms: float) -> bool:
        is_old = age_ms > self._options.forget_after_ms
        is_failed = member.state is MemberState.FAILED
        return (
            is_failed and is_old and not self.members.is_listed(member.info.router_id)
        )

    def _probe(self) -> list[MembershipAction]:
        """Try a router taken to have failed, so that a partition heals."""
        failed = [
            item.info.router_id
            for item in self.members.doubtful()
            if item.state is MemberState.FAILED
        ]
        if not failed:
            return []
        return [SendToPeer(self._random.choice(failed), self._heartbeat())]

    def _on_stop(self, now_ms: float) -> list[MembershipAction]:
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
