"""Simulate the membership protocol of many routers with a simulated clock."""

from __future__ import annotations

import heapq
from collections import Counter
from collections.abc import Callable
from itertools import count
from random import Random

import msgpack
import msgspec

from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership import (
    DrainStarted,
    Heartbeat,
    MemberChanged,
    MemberEvents,
    Members,
    Membership,
    MembershipAction,
    MembershipOptions,
    PeerMessageReceived,
    SendToPeer,
    Tick,
    VmListRead,
)

__all__ = ["MembershipSimulation", "encoded_bytes"]

TICK_MS = 200.0
LATENCY_MS = 5.0
FRAME_BYTES = 22
PACKET_BYTES = 52


def encoded_bytes(message: Heartbeat | MemberEvents) -> int:
    """Return a message's size on the wire in bytes, headers included."""
    fields = msgspec.to_builtins(message, builtin_types=(bytes,))
    packed = msgpack.packb([type(message).__name__, *fields.values()])
    return len(packed) + FRAME_BYTES + PACKET_BYTES


class MembershipSimulation:
    """Run the membership machines of many routers and deliver their messages."""

    def __init__(
        self,
        n_routers: int,
        n_zones: int,
        seed: int,
        options: MembershipOptions,
        *,
        starts_converged: bool = False,
    ) -> None:
        self.now_ms = 1_000.0
        self.random = Random(seed)
        self.routers: dict[str, Membership] = {}
        self.n_bytes_sent: Counter[str] = Counter()
        self.n_messages_handled = 0
        self.changes: list[tuple[float, str, MemberChanged]] = []
        self.is_cut: Callable[[str, str], bool] = lambda source, target: False
        self._options = options
        self._infos: dict[str, RouterInfo] = {}
        self._incarnations = count(1)
        self._sequence = count()
        self._in_flight: list[tuple[float, int, str, int, SendToPeer]] = []
        self.listing = tuple(
            RouterInfo(f"router-{i}", "10.0.0.1", 1, f"zone-{i % n_zones}", "region")
            for i in range(n_routers)
        )
        for info in self.listing:
            self.start(info.router_id)
        if starts_converged:
            self._converge_views()

    def start(self, router_id: str) -> None:
        """Start a router, or restart it with a higher incarnation."""
        if not self._infos:
            self._infos = {item.router_id: item for item in self.listing}
        self.routers[router_id] = Membership(
            self._infos[router_id],
            next(self._incarnations),
            Members(router_id),
            Random(self.random.random()),
            self._options,
        )
        self.deliver_vm_list(router_id)

    def _converge_views(self) -> None:
        """Make every router know every other one, as after a long run."""
        known = [router.own for router in self.routers.values()]
        for router in self.routers.values():
            for member in known:
                if member is not router.own:
                    router.members.put(member)
            router.is_announced = True
        self._in_flight.clear()

    def fail(self, router_id: str) -> None:
        """End a router at once, without a message to its peers."""
        self.routers.pop(router_id, None)

    def stop(self, router_id: str) -> None:
        """Start a router's drain, which it announces to its peers."""
        actions = self.routers[router_id].handle(DrainStarted(), self.now_ms)
        self._execute(router_id, actions)

    def deliver_vm_list(
        self, router_id: str, listing: tuple[RouterInfo, ...] | None = None
    ) -> None:
        """Deliver a VM list to one router, by default the complete one."""
        message = VmListRead(self.listing if listing is None else listing)
        actions = self.routers[router_id].handle(message, self.now_ms)
        self._execute(router_id, actions)

    def run_for(self, duration_ms: float) -> None:
        """Advance the clock in ticks, delivering the messages that are due."""
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            self.now_ms += TICK_MS
            self._deliver()
            for router_id, router in list(self.routers.items()):
                self._execute(router_id, router.handle(Tick(), self.now_ms))

    def _deliver(self) -> None:
        while self._in_flight and self._in_flight[0][0] <= self.now_ms:
            at_ms, _, source, incarnation, action = heapq.heappop(self._in_flight)
            target = self.routers.get(action.router_id)
            if target is None or self.is_cut(source, action.router_id):
                continue
            self.n_messages_handled += 1
            received = PeerMessageReceived(source, incarnation, action.message)
            self._execute(action.router_id, target.handle(received, at_ms))

    def _execute(self, router_id: str, actions: list[MembershipAction]) -> None:
        for action in actions:
            if isinstance(action, MemberChanged):
                self.changes.append((self.now_ms, router_id, action))
                continue
            self.n_bytes_sent[router_id] += encoded_bytes(action.message)
            incarnation = self.routers[router_id].own.incarnation
            at_ms = self.now_ms + LATENCY_MS
            item = (at_ms, next(self._sequence), router_id, incarnation, action)
            heapq.heappush(self._in_flight, item)
