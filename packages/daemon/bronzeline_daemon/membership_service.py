"""Run the membership protocol between routers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership import (
    DrainStarted,
    Heartbeat,
    MemberChanged,
    MemberEvents,
    Members,
    Membership,
    MembershipMessage,
    MembershipOptions,
    MemberState,
    PeerMessageReceived,
    Tick,
    VmListRead,
)
from bronzeline_kernel.protocols import Clock, VmListing

__all__ = ["MembershipService"]

TICK_S = 0.1

Listener = Callable[[MemberChanged], None]


class MembershipService:
    """Track which other routers are alive."""

    def __init__(
        self,
        own: RouterInfo,
        members: Members,
        peers: PeerNetwork,
        clock: Clock,
        random: Random,
        decisions: DecisionLog,
        options: MembershipOptions,
    ) -> None:
        self.machine = Membership(own, peers.incarnation, members, random, options)
        self._peers = peers
        self._clock = clock
        self._decisions = decisions
        self._listeners: list[Listener] = []
        self._n_refuted = 0
        peers.on(Heartbeat, self._on_message)
        peers.on(MemberEvents, self._on_message)

    def subscribe(self, listener: Listener) -> None:
        """Register a listener that is called with each change of a member."""
        self._listeners.append(listener)

    def apply_listing(self, listing: VmListing) -> None:
        """Apply the routers of a listing of the VMs."""
        self._handle(VmListRead(listing.routers))

    def announce_drain(self) -> None:
        """Notify the other routers that this one starts to drain."""
        self._handle(DrainStarted())

    async def run(self) -> None:
        """Send the machine a tick every 0.1 s until cancelled."""
        while True:
            self._handle(Tick())
            await asyncio.sleep(TICK_S)

    def _on_message(
        self, identity: PeerIdentity, message: Heartbeat | MemberEvents
    ) -> None:
        self._handle(
            PeerMessageReceived(identity.router_id, identity.incarnation, message)
        )

    def _handle(self, message: MembershipMessage) -> None:
        for action in self.machine.handle(message, self._clock.now_ms()):
            if isinstance(action, MemberChanged):
                self._on_member_changed(action)
            else:
                self._peers.send(action.router_id, action.message)
        if self.machine.n_refuted != self._n_refuted:
            # A peer suspected this router, so connections may have gone silent.
            self._n_refuted = self.machine.n_refuted
            self._peers.reset_all()

    def _on_member_changed(self, changed: MemberChanged) -> None:
        if changed.state is not MemberState.ALIVE:
            self._record(changed)
        if changed.state is MemberState.FAILED:
            self._peers.reset(changed.router_id)
        for listener in self._listeners:
            listener(changed)

    def _record(self, changed: MemberChanged) -> None:
        self._decisions.record(
            Decision(
                at_ms=self._clock.now_ms(),
                subject=changed.router_id,
                kind="membership",
                chosen=changed.state.name.lower(),
                reason=changed.reason,
            )
        )
