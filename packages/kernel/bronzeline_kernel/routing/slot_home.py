"""Allocate and audit the slots of upstreams at their home router."""

from __future__ import annotations

from collections.abc import Collection
from random import Random

from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.home import HomeRing
from bronzeline_kernel.routing.messages import (
    HoldingRow,
    SendToRouter,
    Slot,
    SlotHoldings,
    SlotRecall,
    SlotTransfer,
)
from bronzeline_kernel.routing.slot_audit import SlotAudit
from bronzeline_kernel.routing.slot_peers import SlotPeers

__all__ = ["SlotHome"]

MARK_BITS = 32


class SlotHome:
    """Allocate slots that no router holds and recall slots held twice."""

    def __init__(
        self,
        state: DispatchState,
        peers: SlotPeers,
        own: RouterInfo,
        random: Random,
    ) -> None:
        self._state = state
        self._peers = peers
        self._own = own
        self._random = random
        self._audit = SlotAudit()
        self._homes = HomeRing()
        self._router_ids: frozenset[str] = frozenset()
        self._announced: set[tuple[str, str]] = set()
        self._homes.update([own])

    def update_routers(self, routers: Collection[RouterInfo]) -> None:
        """Replace the other routers that can be the home of upstreams."""
        self._router_ids = frozenset(item.router_id for item in routers)
        self._announced = {
            item for item in self._announced if item[0] in self._router_ids
        }
        own = [] if self._peers.is_draining else [self._own]
        self._homes.update([*routers, *own])

    def forget(self, upstream_id: str) -> None:
        """Stop the audit of an upstream that was removed."""
        self._audit.stop(upstream_id)

    def on_holdings(self, router_id: str, rows: tuple[HoldingRow, ...]) -> None:
        """Record the slots that a router reports as held."""
        for row in rows:
            now_ms = self._state.now_ms
            self._audit.record_report(router_id, row.upstream_id, row.slots, now_ms)

    def home_ids(self) -> list[str]:
        """Return the home routers of all known upstreams."""
        upstreams = self._state.upstreams.all()
        return sorted({self.home_of(item) for item in upstreams})

    def report_holdings(self) -> None:
        """Report the slots of this router to their home routers."""
        rows: dict[str, list[HoldingRow]] = {}
        for upstream_id, slots in self._state.ledger.held().items():
            upstream = self._state.upstreams.find(upstream_id)
            home = self.home_of(upstream) if upstream is not None else ""
            if home == self._own.router_id:
                self._audit.record_report(home, upstream_id, slots, self._state.now_ms)
            elif home:
                rows.setdefault(home, []).append(HoldingRow(upstream_id, slots))
        for home, items in rows.items():
            self._state.emit(SendToRouter(home, SlotHoldings(tuple(items))))

    def audit(self) -> None:
        """Audit the slots of the upstreams whose home is this router."""
        state = self._state
        for upstream in state.upstreams.all():
            n_slots = state.n_slots.get(upstream.upstream_id)
            is_home = self.home_of(upstream) == self._own.router_id
            if n_slots is None or not is_home or self._peers.is_draining:
                self._audit.stop(upstream.upstream_id)
            else:
                self._audit_one(upstream, n_slots)

    def _audit_one(self, upstream: Upstream, n_slots: int) -> None:
        upstream_id = upstream.upstream_id
        now_ms = self._state.now_ms
        self._audit.start(upstream_id, now_ms)
        router_ids = self._router_ids | {self._own.router_id}
        result = self._audit.check(upstream_id, n_slots, router_ids, now_ms)
        if result is None:
            return
        if result.lost:
            self._allocate(upstream, result.lost)
        for router_id, slots in result.surplus.items():
            self._recall(router_id, upstream_id, tuple(slots))
        self.announce_allocated(upstream_id)

    def _allocate(self, upstream: Upstream, indexes: tuple[int, ...]) -> None:
        """Divide slots that no router holds among the near routers."""
        now_ms = self._state.now_ms
        slots = [Slot(index, self._random.getrandbits(MARK_BITS)) for index in indexes]
        self._state.ledger.receive(upstream.upstream_id, slots)
        self._audit.record_report(
            self._own.router_id, upstream.upstream_id, slots, now_ms
        )
        receivers = sorted(self._peers.near_ids)
        self._random.shuffle(receivers)
        n_each = len(slots) // (len(receivers) + 1)
        for router_id in receivers if n_each else ():
            self._peers.transfer(upstream, router_id, n_each)

    def announce_allocated(self, upstream_id: str) -> None:
        """Notify each peer once that an upstream's slots are allocated."""
        if not self._state.ledger.is_allocated(upstream_id):
            return
        for router_id in sorted(self._peers.peer_ids):
            if (router_id, upstream_id) not in self._announced:
                self._announced.add((router_id, upstream_id))
                transfer = SlotTransfer(upstream_id, ())
                self._state.emit(SendToRouter(router_id, transfer))

    def _recall(
        self, router_id: str, upstream_id: str, slots: tuple[Slot, ...]
    ) -> None:
        if router_id == self._own.router_id:
            self._state.ledger.drop(upstream_id, slots)
        else:
            self._state.emit(SendToRouter(router_id, SlotRecall(upstream_id, slots)))

    def home_of(self, upstream: Upstream) -> str:
        """Return the home router of an upstream, or an empty string without routers."""
        return self._homes.home_of(upstream)
