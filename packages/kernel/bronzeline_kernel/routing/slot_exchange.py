"""Transfer free slots to routers where work waits."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from bronzeline_kernel.admission.queue import WaiterOrder
from bronzeline_kernel.admission.usage import Usage
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.membership.overlay import Overlay
from bronzeline_kernel.routing.demand import PeerDemand
from bronzeline_kernel.routing.demand_timer import DemandBroadcastTimer
from bronzeline_kernel.routing.messages import (
    DemandRow,
    SendToRouter,
    Slot,
    SlotDemand,
    SlotTransfer,
    SlowRow,
    UsageReport,
    UsageRow,
)
from bronzeline_kernel.routing.slot_home import SlotHome
from bronzeline_kernel.routing.slots import SlotLedger

if TYPE_CHECKING:
    from bronzeline_kernel.routing.dispatcher import Dispatcher

__all__ = ["SlotExchange"]

NEAR_INTERVAL_MS = 30.0
FAR_INTERVAL_MS = 60.0
SPILL_AFTER_MS = 25.0
KEEP_IDLE_MS = 400.0
REPORT_INTERVAL_MS = 1_000.0
EARLY_REPORT_MS = 100.0
PROBE_INTERVAL_MS = 4_000.0
MAX_ROWS = 24
MAX_UNALLOCATED_UPSTREAMS = 64
TIE_MS = 30.0


class SlotExchange:
    """Request slots for local demand and transfer unused ones to peers."""

    def __init__(self, dispatcher: Dispatcher, own: RouterInfo, random: Random) -> None:
        self.ledger = SlotLedger()
        self.peer_ids: frozenset[str] = frozenset()
        self.is_draining = False
        self._dispatcher = dispatcher
        self._own = own
        self._random = random
        self.home = SlotHome(dispatcher, self, own, random)
        self._routers: dict[str, RouterInfo] = {}
        self._near = Overlay(own.router_id)
        self._far = Overlay(own.router_id)
        self._near_timer = DemandBroadcastTimer(NEAR_INTERVAL_MS)
        self._far_timer = DemandBroadcastTimer(FAR_INTERVAL_MS)
        self._last_received_id = ""
        self._idle_since_ms: dict[str, float] = {}
        self._next_usage_ms = 0.0
        self._next_audit_ms = 0.0
        self._probed_at_ms: dict[str, float] = {}

    def start_drain(self) -> None:
        """Transfer free slots to other routers, now and whenever work ends."""
        self.is_draining = True
        self.home.update_routers(list(self._routers.values()))

    def update_routers(self, routers: tuple[RouterInfo, ...]) -> None:
        """Replace the routers that slots can be transferred to."""
        known = {item.router_id: item for item in routers}
        for router_id in self._routers.keys() - known.keys():
            self._near.discard(router_id)
            self._far.discard(router_id)
        for router_id, info in known.items():
            self._far.add(router_id)
            if info.region == self._own.region:
                self._near.add(router_id)
        new_ids = known.keys() - self._routers.keys()
        self._routers = known
        self.home.update_routers(routers)
        self.peer_ids = self._far.neighbours() | self.near_ids
        for upstream_id in self.ledger.allocated_ids() if new_ids else ():
            self.home.announce_allocated(upstream_id)

    @property
    def near_ids(self) -> frozenset[str]:
        """Return the routers of this region that slots are exchanged with."""
        return self._near.neighbours()

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Drop the slots of all other upstreams."""
        for upstream_id in [
            item for item in self.ledger.held() if item not in upstream_ids
        ]:
            self.ledger.forget(upstream_id)
            self.home.forget(upstream_id)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether this router may send work to an upstream now."""
        upstream_id = upstream.upstream_id
        if upstream.kind is not UpstreamKind.ENGINE:
            return True
        if self.ledger.n_free(upstream_id):
            return True
        if self.ledger.is_allocated(upstream_id):
            return False
        n_slots = self._dispatcher.n_slots.get(upstream_id, 0)
        is_few = len(self._dispatcher.upstreams) <= MAX_UNALLOCATED_UPSTREAMS
        return is_few and (not n_slots or self.ledger.n_used(upstream_id) < n_slots)

    def may_probe(self, upstream_id: str) -> bool:
        """Return whether this router should test a slow upstream for recovery."""
        upstream = self._dispatcher.upstreams.find(upstream_id)
        if upstream is None or self.home.home_of(upstream) != self._own.router_id:
            return False
        last_ms = self._probed_at_ms.get(upstream_id, float("-inf"))
        return self._dispatcher.now_ms - last_ms >= PROBE_INTERVAL_MS

    def record_probe(self, upstream_id: str) -> None:
        """Record that work was sent to an upstream."""
        self._probed_at_ms[upstream_id] = self._dispatcher.now_ms

    def transfer_if_peer_first(self, upstream: Upstream, order: WaiterOrder) -> bool:
        """Transfer a slot if a peer's ticket is ahead; return whether it was sent."""
        if upstream.upstream_id == self._last_received_id:
            # The sender has compared the tickets already. Routers with different
            # views would transfer a slot back and forth while it stays idle.
            return False
        if not self.ledger.n_free(upstream.upstream_id):
            return False
        best = self._best_peer(upstream)
        if best is None or not _is_before(best[0], order):
            return False
        best[1].n_waiting -= self.transfer(upstream, best[1].router_id, 1)
        return True

    def transfer_free(self) -> None:
        """Transfer slots without local demand to peers with waiting work."""
        self._last_received_id = ""
        dispatcher = self._dispatcher
        for upstream_id in self.ledger.free_ids():
            upstream = dispatcher.upstreams.find(upstream_id)
            if upstream is None or not dispatcher.is_usable(upstream_id):
                continue
            while self.ledger.n_free(upstream_id):
                best = self._best_peer(upstream)
                if best is None:
                    break
                n_transferred = self.transfer(
                    upstream, best[1].router_id, best[1].n_waiting
                )
                best[1].n_waiting -= n_transferred
            self._return_idle(upstream)

    def _best_peer(self, upstream: Upstream) -> tuple[WaiterOrder, PeerDemand] | None:
        dispatcher = self._dispatcher
        slow_delay_ms = dispatcher.slow_delay_ms(upstream.upstream_id)
        return dispatcher.demand.best(upstream, dispatcher.now_ms, slow_delay_ms)

    def receive(self, upstream_id: str, slots: tuple[Slot, ...]) -> None:
        """Add slots that a peer transferred."""
        self.ledger.receive(upstream_id, slots)
        self._last_received_id = upstream_id
        self._near_timer.record_slots(len(slots))
        self._far_timer.record_slots(len(slots))

    def announce_demand(self) -> None:
        """Announce new local demand to near peers, if an announcement is due."""
        self._announce_near(self._demand_rows())

    def on_usage_report(self, router_id: str, report: UsageReport) -> None:
        """Process a router's usage report."""
        dispatcher = self._dispatcher
        usage = {
            row.workspace: Usage(row.n_running, row.n_waiting) for row in report.rows
        }
        dispatcher.usage.update_peer(router_id, usage, dispatcher.now_ms)
        ratios = {row.upstream_id: row.ratio for row in report.slow}
        dispatcher.health.update_peer_ratios(router_id, ratios, dispatcher.now_ms)
        dispatcher.refusals.peer_rates[router_id] = report.n_released_per_s

    def on_tick(self) -> None:
        """Announce demand, report usage and audit slots when each is due."""
        now_ms = self._dispatcher.now_ms
        rows = self._demand_rows()
        self._announce_near(rows)
        self._announce_far(rows)
        if now_ms >= self._next_usage_ms:
            self._report_usage()
        if now_ms >= self._next_audit_ms:
            self._next_audit_ms = now_ms + REPORT_INTERVAL_MS
            self.home.report_holdings()
            self.home.audit()

    def _demand_rows(self) -> tuple[DemandRow, ...]:
        dispatcher = self._dispatcher
        rows = [
            DemandRow(
                key.service,
                key.model,
                key.version,
                key.workspace,
                key.work_class,
                n_waiting,
                int(dispatcher.now_ms - oldest.enqueued_at_ms),
            )
            for key, oldest, n_waiting in dispatcher.queue.groups()
            if not dispatcher.usage.is_at_limit(key.workspace)
        ]
        return tuple(rows[:MAX_ROWS])

    def _announce_near(self, rows: tuple[DemandRow, ...]) -> None:
        now_ms = self._dispatcher.now_ms
        if self._near_timer.is_due(rows, now_ms):
            self._near_timer.record_sent(rows, now_ms)
            self._send_demand(self.near_ids, rows)

    def _announce_far(self, rows: tuple[DemandRow, ...]) -> None:
        """Request slots from other regions within the cross-region byte budget."""
        dispatcher = self._dispatcher
        now_ms = dispatcher.now_ms
        if rows and all(row.oldest_wait_ms < SPILL_AFTER_MS for row in rows):
            # Recent demand is not announced to other regions. It is not withdrawn
            # either, since that would delay the next announcement by the interval.
            return
        requested = rows if dispatcher.cross_region_budget.has_any(now_ms) else ()
        if self._far_timer.is_due(requested, now_ms):
            self._far_timer.record_sent(requested, now_ms)
            self._send_demand(self._far.neighbours() - self.near_ids, requested)

    def _send_demand(
        self, router_ids: frozenset[str], rows: tuple[DemandRow, ...]
    ) -> None:
        for router_id in sorted(router_ids):
            self._dispatcher.emit(SendToRouter(router_id, SlotDemand(rows)))

    def schedule_early_report(self) -> None:
        """Schedule the next usage report early, since a workspace's limit is near."""
        early_ms = self._dispatcher.now_ms + EARLY_REPORT_MS
        self._next_usage_ms = min(self._next_usage_ms, early_ms)

    def _report_usage(self) -> None:
        dispatcher = self._dispatcher
        now_ms = dispatcher.now_ms
        self._next_usage_ms = now_ms + REPORT_INTERVAL_MS
        report = UsageReport(
            self._usage_rows(),
            tuple(
                SlowRow(*item) for item in dispatcher.health.slow_ratios(now_ms).items()
            ),
            dispatcher.rate.per_s(now_ms),
            sum(self.ledger.n_free(item) for item in self.ledger.free_ids()),
        )
        for router_id in sorted(self.peer_ids):
            dispatcher.emit(SendToRouter(router_id, report))
        dispatcher.refusals.peer_rates = {
            router_id: rate
            for router_id, rate in dispatcher.refusals.peer_rates.items()
            if router_id in self.peer_ids
        }

    def _usage_rows(self) -> tuple[UsageRow, ...]:
        dispatcher = self._dispatcher
        n_waiting: Counter[str] = Counter()
        for key, _, n_group in dispatcher.queue.groups():
            n_waiting[key.workspace] += n_group
        n_running = dispatcher.usage.local_running()
        return tuple(
            UsageRow(workspace, n_running.get(workspace, 0), n_waiting[workspace])
            for workspace in sorted(n_running.keys() | n_waiting.keys())
        )

    def _return_idle(self, upstream: Upstream) -> None:
        """Return idle slots to their home router.

        Slots of this region are kept, unless this router is draining.
        """
        upstream_id = upstream.upstream_id
        n_free = self.ledger.n_free(upstream_id)
        if not n_free:
            self._idle_since_ms.pop(upstream_id, None)
            return
        now_ms = self._dispatcher.now_ms
        idle_ms = now_ms - self._idle_since_ms.setdefault(upstream_id, now_ms)
        is_near = upstream.region == self._own.region
        is_kept = is_near or idle_ms < KEEP_IDLE_MS
        home = self.home.home_of(upstream)
        if home in self._routers and (self.is_draining or not is_kept):
            self.transfer(upstream, home, n_free)

    def transfer(self, upstream: Upstream, router_id: str, n_slots: int) -> int:
        """Transfer free slots to a router and return how many were sent."""
        slots = self.ledger.take_free(upstream.upstream_id, n_slots)
        if slots:
            transfer = SlotTransfer(upstream.upstream_id, slots)
            self._dispatcher.emit(SendToRouter(router_id, transfer))
        return len(slots)


def _is_before(peer: WaiterOrder, own: WaiterOrder) -> bool:
    """Return whether a peer's ticket is ahead of a local one.

    Tickets of equal rank and usage must differ in age by more than `TIE_MS`.
    """
    if (peer.rank, peer.usage) != (own.rank, own.usage):
        return (peer.rank, peer.usage) < (own.rank, own.usage)
    return peer.enqueued_at_ms + TIE_MS < own.enqueued_at_ms
