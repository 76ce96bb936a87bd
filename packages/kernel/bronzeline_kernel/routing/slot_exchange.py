"""Transfer free slots to routers where work waits."""

from __future__ import annotations

from collections import Counter
from random import Random

from bronzeline_kernel.admission.queue import WaiterOrder
from bronzeline_kernel.admission.usage import Usage
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.routing.demand import PeerDemand
from bronzeline_kernel.routing.demand_timer import DemandBroadcastTimer
from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.messages import (
    DemandRow,
    SendToRouter,
    Slot,
    SlotDemand,
    SlowRow,
    UsageReport,
    UsageRow,
)
from bronzeline_kernel.routing.slot_home import SlotHome
from bronzeline_kernel.routing.slot_peers import SlotPeers
from bronzeline_kernel.routing.slow_delay import slow_delay_ms

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

    def __init__(self, state: DispatchState, own: RouterInfo, random: Random) -> None:
        self.peers = SlotPeers(state, own)
        self._state = state
        self._own = own
        self._random = random
        self.home = SlotHome(state, self.peers, own, random)
        self._near_timer = DemandBroadcastTimer(NEAR_INTERVAL_MS)
        self._far_timer = DemandBroadcastTimer(FAR_INTERVAL_MS)
        self._last_received_id = ""
        self._idle_since_ms: dict[str, float] = {}
        self._next_usage_ms = 0.0
        self._next_audit_ms = 0.0
        self._probed_at_ms: dict[str, float] = {}

    def start_drain(self) -> None:
        """Transfer free slots to other routers, now and whenever work ends."""
        self.peers.is_draining = True
        self.home.update_routers(self.peers.routers)

    def update_routers(self, routers: tuple[RouterInfo, ...]) -> None:
        """Replace the routers that slots can be transferred to."""
        has_new = self.peers.update(routers)
        self.home.update_routers(routers)
        for upstream_id in self._state.ledger.allocated_ids() if has_new else ():
            self.home.announce_allocated(upstream_id)

    def keep_only(self, upstream_ids: set[str]) -> None:
        """Drop the slots of all other upstreams."""
        for upstream_id in [
            item for item in self._state.ledger.held() if item not in upstream_ids
        ]:
            self._state.ledger.forget(upstream_id)
            self.home.forget(upstream_id)

    def may_send(self, upstream: Upstream) -> bool:
        """Return whether this router may send work to an upstream now."""
        upstream_id = upstream.upstream_id
        if upstream.kind is not UpstreamKind.ENGINE:
            return True
        if self._state.ledger.n_free(upstream_id):
            return True
        if self._state.ledger.is_allocated(upstream_id):
            return False
        n_slots = self._state.n_slots.get(upstream_id, 0)
        is_few = len(self._state.upstreams) <= MAX_UNALLOCATED_UPSTREAMS
        return is_few and (
            not n_slots or self._state.ledger.n_used(upstream_id) < n_slots
        )

    def may_probe(self, upstream_id: str) -> bool:
        """Return whether this router should test a slow upstream for recovery."""
        upstream = self._state.upstreams.find(upstream_id)
        if upstream is None or self.home.home_of(upstream) != self._own.router_id:
            return False
        last_ms = self._probed_at_ms.get(upstream_id, float("-inf"))
        return self._state.now_ms - last_ms >= PROBE_INTERVAL_MS

    def record_probe(self, upstream_id: str) -> None:
        """Record that work was sent to an upstream."""
        self._probed_at_ms[upstream_id] = self._state.now_ms

    def transfer_if_peer_first(self, upstream: Upstream, order: WaiterOrder) -> bool:
        """Transfer a slot if a peer's ticket is ahead; return whether it was sent."""
        if upstream.upstream_id == self._last_received_id:
            # The sender has compared the tickets already. Routers with different
            # views would transfer a slot back and forth while it stays idle.
            return False
        if not self._state.ledger.n_free(upstream.upstream_id):
            return False
        best = self._best_peer(upstream)
        if best is None or not _is_before(best[0], order):
            return False
        best[1].n_waiting -= self.peers.transfer(upstream, best[1].router_id, 1)
        return True

    def transfer_free(self) -> None:
        """Transfer slots without local demand to peers with waiting work."""
        self._last_received_id = ""
        state = self._state
        for upstream_id in self._state.ledger.free_ids():
            upstream = state.upstreams.find(upstream_id)
            if upstream is None or not state.is_usable(upstream_id):
                continue
            while self._state.ledger.n_free(upstream_id):
                best = self._best_peer(upstream)
                if best is None:
                    break
                n_transferred = self.peers.transfer(
                    upstream, best[1].router_id, best[1].n_waiting
                )
                best[1].n_waiting -= n_transferred
            self._return_idle(upstream)

    def _best_peer(self, upstream: Upstream) -> tuple[WaiterOrder, PeerDemand] | None:
        state = self._state
        may_probe = self.may_probe(upstream.upstream_id)
        delay_ms = slow_delay_ms(state, upstream.upstream_id, may_probe=may_probe)
        return state.demand.best(upstream, state.now_ms, delay_ms)

    def receive(self, upstream_id: str, slots: tuple[Slot, ...]) -> None:
        """Add slots that a peer transferred."""
        self._state.ledger.receive(upstream_id, slots)
        self._last_received_id = upstream_id
        self._near_timer.record_slots(len(slots))
        self._far_timer.record_slots(len(slots))

    def announce_demand(self) -> None:
        """Announce new local demand to near peers, if an announcement is due."""
        self._announce_near(self._demand_rows())

    def on_usage_report(self, router_id: str, report: UsageReport) -> None:
        """Process a router's usage report."""
        state = self._state
        usage = {
            row.workspace: Usage(row.n_running, row.n_waiting) for row in report.rows
        }
        state.usage.update_peer(router_id, usage, state.now_ms)
        ratios = {row.upstream_id: row.ratio for row in report.slow}
        state.health.update_peer_ratios(router_id, ratios, state.now_ms)
        state.peer_rates[router_id] = report.n_released_per_s

    def on_tick(self) -> None:
        """Announce demand, report usage and audit slots when each is due."""
        now_ms = self._state.now_ms
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
        state = self._state
        rows = [
            DemandRow(
                key.service,
                key.model,
                key.version,
                key.workspace,
                key.work_class,
                n_waiting,
                int(state.now_ms - oldest.enqueued_at_ms),
            )
            for key, oldest, n_waiting in state.queue.groups()
            if not state.usage.is_at_limit(key.workspace)
        ]
        return tuple(rows[:MAX_ROWS])

    def _announce_near(self, rows: tuple[DemandRow, ...]) -> None:
        now_ms = self._state.now_ms
        if self._near_timer.is_due(rows, now_ms):
            self._near_timer.record_sent(rows, now_ms)
            self._send_demand(self.peers.near_ids, rows)

    def _announce_far(self, rows: tuple[DemandRow, ...]) -> None:
        """Request slots from other regions within the cross-region byte budget."""
        state = self._state
        now_ms = state.now_ms
        if rows and all(row.oldest_wait_ms < SPILL_AFTER_MS for row in rows):
            # Recent demand is not announced to other regions. It is not withdrawn
            # either, since that would delay the next announcement by the interval.
            return
        requested = rows if state.cross_region_budget.has_any(now_ms) else ()
        if self._far_timer.is_due(requested, now_ms):
            self._far_timer.record_sent(requested, now_ms)
            self._send_demand(self.peers.far_ids, requested)

    def _send_demand(
        self, router_ids: frozenset[str], rows: tuple[DemandRow, ...]
    ) -> None:
        for router_id in sorted(router_ids):
            self._state.emit(SendToRouter(router_id, SlotDemand(rows)))

    def schedule_early_report(self) -> None:
        """Schedule the next usage report early, since a workspace's limit is near."""
        early_ms = self._state.now_ms + EARLY_REPORT_MS
        self._next_usage_ms = min(self._next_usage_ms, early_ms)

    def _report_usage(self) -> None:
        state = self._state
        now_ms = state.now_ms
        self._next_usage_ms = now_ms + REPORT_INTERVAL_MS
        report = UsageReport(
            self._usage_rows(),
            tuple(SlowRow(*item) for item in state.health.slow_ratios(now_ms).items()),
            state.rate.per_s(now_ms),
            sum(
                self._state.ledger.n_free(item)
                for item in self._state.ledger.free_ids()
            ),
        )
        for router_id in sorted(self.peers.peer_ids):
            state.emit(SendToRouter(router_id, report))
        state.peer_rates = {
            router_id: rate
            for router_id, rate in state.peer_rates.items()
            if router_id in self.peers.peer_ids
        }

    def _usage_rows(self) -> tuple[UsageRow, ...]:
        state = self._state
        n_waiting: Counter[str] = Counter()
        for key, _, n_group in state.queue.groups():
            n_waiting[key.workspace] += n_group
        n_running = state.usage.local_running()
        return tuple(
            UsageRow(workspace, n_running.get(workspace, 0), n_waiting[workspace])
            for workspace in sorted(n_running.keys() | n_waiting.keys())
        )

    def _return_idle(self, upstream: Upstream) -> None:
        """Return idle slots to their home router.

        Slots of this region are kept, unless this router is draining.
        """
        upstream_id = upstream.upstream_id
        n_free = self._state.ledger.n_free(upstream_id)
        if not n_free:
            self._idle_since_ms.pop(upstream_id, None)
            return
        now_ms = self._state.now_ms
        idle_ms = now_ms - self._idle_since_ms.setdefault(upstream_id, now_ms)
        is_near = upstream.region == self._own.region
        is_kept = is_near or idle_ms < KEEP_IDLE_MS
        home = self.home.home_of(upstream)
        if home in self.peers and (self.peers.is_draining or not is_kept):
            self.peers.transfer(upstream, home, n_free)


def _is_before(peer: WaiterOrder, own: WaiterOrder) -> bool:
    """Return whether a peer's ticket is ahead of a local one.

    Tickets of equal rank and usage must differ in age by more than `TIE_MS`.
    """
    if (peer.rank, peer.usage) != (own.rank, own.usage):
        return (peer.rank, peer.usage) < (own.rank, own.usage)
    return peer.enqueued_at_ms + TIE_MS < own.enqueued_at_ms
