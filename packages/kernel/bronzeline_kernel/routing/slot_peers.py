"""Hold the routers that slots are exchanged with, and transfer slots to them."""

from __future__ import annotations

from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.membership.overlay import Overlay
from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.messages import SendToRouter, SlotTransfer

__all__ = ["SlotPeers"]


class SlotPeers:
    """Choose the peers of each region, and send them slots."""

    def __init__(self, state: DispatchState, own: RouterInfo) -> None:
        self.peer_ids: frozenset[str] = frozenset()
        self.is_draining = False
        self._state = state
        self._own = own
        self._routers: dict[str, RouterInfo] = {}
        self._near = Overlay(own.router_id)
        self._far = Overlay(own.router_id)

    @property
    def routers(self) -> list[RouterInfo]:
        """Return all other routers."""
        return list(self._routers.values())

    @property
    def near_ids(self) -> frozenset[str]:
        """Return the routers of this region that slots are exchanged with."""
        return self._near.neighbours()

    @property
    def far_ids(self) -> frozenset[str]:
        """Return the routers of other regions that slots are exchanged with."""
        return self._far.neighbours() - self.near_ids

    def __contains__(self, router_id: str) -> bool:
        return router_id in self._routers

    def update(self, routers: tuple[RouterInfo, ...]) -> bool:
        """Replace the other routers; return whether any of them is new."""
        known = {item.router_id: item for item in routers}
        for router_id in self._routers.keys() - known.keys():
            self._near.discard(router_id)
            self._far.discard(router_id)
        for router_id, info in known.items():
            self._far.add(router_id)
            if info.region == self._own.region:
                self._near.add(router_id)
        has_new = bool(known.keys() - self._routers.keys())
        self._routers = known
        self.peer_ids = self._far.neighbours() | self.near_ids
        return has_new

    def transfer(self, upstream: Upstream, router_id: str, n_slots: int) -> int:
        """Transfer free slots to a router and return how many were sent."""
        slots = self._state.ledger.take_free(upstream.upstream_id, n_slots)
        if slots:
            transfer = SlotTransfer(upstream.upstream_id, slots)
            self._state.emit(SendToRouter(router_id, transfer))
        return len(slots)
