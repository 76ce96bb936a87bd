"""Assign upstreams to tickets."""

from __future__ import annotations

from dataclasses import dataclass, replace
from random import Random

from bronzeline_kernel.admission.budget import ByteBudget, RetryBudget
from bronzeline_kernel.admission.queue import (
    AdmissionQueue,
    QueueKey,
    Waiter,
    WaiterOrder,
)
from bronzeline_kernel.admission.release_rate import ReleaseRate
from bronzeline_kernel.admission.usage import WorkspaceUsage
from bronzeline_kernel.decisions import Decision
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.protocols import LoadReport
from bronzeline_kernel.routing.demand import DemandTable
from bronzeline_kernel.routing.dispatch import Grant, Ticket, WorkClass
from bronzeline_kernel.routing.health import HealthTable
from bronzeline_kernel.routing.messages import (
    DispatchAction,
    DispatchMessage,
    DispatchOptions,
    DispatchTick,
    DrainStarted,
    FirstTokenReceived,
    GrantFailed,
    GrantReleased,
    LoadRead,
    OptionsUpdated,
    PeerMessageReceived,
    RoutersUpdated,
    SendToRouter,
    SlotDemand,
    SlotHoldings,
    SlotRecall,
    SlotTransfer,
    TicketRequested,
    TicketWithdrawn,
    UpstreamLeaving,
    UpstreamsRead,
    UsageReport,
)
from bronzeline_kernel.routing.placement import Placement
from bronzeline_kernel.routing.refusals import RefusalPolicy
from bronzeline_kernel.routing.slot_exchange import SlotExchange
from bronzeline_kernel.routing.upstreams import UpstreamTable
from bronzeline_kernel.routing.view import UpstreamView, describe_upstreams

__all__ = ["Dispatcher"]

LONG_PROMOTION_MS = 2_000.0
PRIORITIES = {
    WorkClass.RESUME: 3,
    WorkClass.PLAIN: 2,
    WorkClass.SHORT: 2,
    WorkClass.LONG: 1,
}
RANKS = {
    WorkClass.RESUME: 0,
    WorkClass.PLAIN: 1,
    WorkClass.SHORT: 1,
    WorkClass.LONG: 2,
}
LEAVING_REASON = "leaving"
REQUEST_BYTES = 2_000.0
TOKEN_BYTES = 60.0


@dataclass
class RunningGrant:
    """Track a grant whose work has not ended."""

    grant: Grant
    ticket: Ticket
    granted_at_ms: float
    last_token_at_ms: float | None = None
    is_streaming: bool = False


class Dispatcher:
    """Queue tickets and assign upstreams from local and peer state."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.options = DispatchOptions()
        self.upstreams = UpstreamTable()
        self.health = HealthTable()
        self.usage = WorkspaceUsage()
        self.rate = ReleaseRate()
        self.queue = AdmissionQueue(self.queue_order)
        self.demand = DemandTable(self._order_of)
        self.cross_region_budget = ByteBudget(self.options.cross_region_bytes_per_s)
        self.retry_budget = RetryBudget(self.options.retry_ratio, n_reserve=20.0)
        self.refusals = RefusalPolicy(self, random)
        self.slots = SlotExchange(self, own, random)
        self.running: dict[str, RunningGrant] = {}
        self.n_slots: dict[str, int] = {}
        self.now_ms = 0.0
        self._own = own
        self.placement = Placement(self, own, random)
        self._actions: list[DispatchAction] = []

    def handle(self, message: DispatchMessage, now_ms: float) -> list[DispatchAction]:
        """Process one message and return the resulting actions."""
        self.now_ms = now_ms
        self._actions = []
        self._apply(message)
        self._grant_waiting()
        return self._actions

    def emit(self, action: DispatchAction) -> None:
        """Add an action to the results of the current message."""
        self._actions.append(action)

    def record_tokens(
        self, ticket_id: str, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record received tokens; called for each token, so it must stay cheap."""
        running = self.running.get(ticket_id)
        if running is None or not n_tokens:
            return
        running.last_token_at_ms = now_ms
        upstream = running.grant.upstream
        gap_ms = elapsed_ms / n_tokens
        self.health.record_token_gap(
            upstream.upstream_id, upstream.model, gap_ms, now_ms
        )
        if upstream.region != self._own.region:
            self.cross_region_budget.spend(n_tokens * TOKEN_BYTES)

    def is_stalled(self, ticket_id: str, now_ms: float) -> bool:
        """Return whether a grant got no token within the stall timeout."""
        running = self.running.get(ticket_id)
        if running is None or running.last_token_at_ms is None:
            return False
        return now_ms - running.last_token_at_ms > self.options.stall_timeout_ms

    def expected_first_response_ms(self, service: str) -> float:
        """Return the moving average of a service's time to first response, in ms."""
        return self.refusals.expected_first_response_ms(service)

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.queue)

    def upstreams_to_poll(self) -> list[Upstream]:
        """Return the upstreams whose load should be polled."""
        return self.upstreams.all()

    def upstreams_to_watch(self) -> list[Upstream]:
        """Return the engines that are leaving or in back-off."""
        return [
            item
            for item in self.upstreams.all()
            if not self.is_usable(item.upstream_id) and item.kind is UpstreamKind.ENGINE
        ]

    def describe(self) -> list[UpstreamView]:
        """Describe each upstream and why it gets more or less work."""
        return describe_upstreams(self)

    def _apply(self, message: DispatchMessage) -> None:
        match message:
            case TicketRequested(ticket):
                self._on_ticket(ticket)
            case TicketWithdrawn(ticket_id):
                self.queue.remove(ticket_id)
            case GrantReleased(ticket_id):
                self._on_released(ticket_id)
            case FirstTokenReceived():
                self._on_first_token(message)
            case GrantFailed(ticket_id, reason):
                self._on_failure(ticket_id, reason)
            case UpstreamsRead(upstreams):
                self._on_upstreams(upstreams)
            case RoutersUpdated(routers, n_known):
                self._on_routers(routers, n_known)
            case LoadRead(upstream_id, report):
                self._on_load(upstream_id, report)
            case OptionsUpdated(options):
                self._on_options(options)
            case PeerMessageReceived():
                self._on_peer(message)
            case DispatchTick():
                self._on_tick()
            case DrainStarted():
                self.slots.start_drain()

    def _on_ticket(self, ticket: Ticket) -> None:
        matching = [
            item
            for item in self.upstreams.matching(
                ticket.service, ticket.model, ticket.version
            )
            if item.upstream_id not in ticket.excluded_ids
        ]
        if not matching:
            self.refusals.refuse(ticket, "no_upstream")
            return
        is_retry = ticket.work_class is WorkClass.RESUME or bool(ticket.excluded_ids)
        is_over_budget = is_retry and not self.retry_budget.spend()
        if is_over_budget and ticket.work_class is WorkClass.PLAIN:
            self.refusals.refuse(ticket, "retry_budget")
            return
        if is_retry and ticket.work_class in (WorkClass.SHORT, WorkClass.LONG):
            # The request was accepted, and its caller has waited for an upstream
            # that failed, so it takes precedence over new work.
            ticket = replace(ticket, work_class=WorkClass.RESUME)
        limit_ms = self.refusals.wait_limit_ms(ticket)
        expires_at_ms = min(self.now_ms + limit_ms, ticket.deadline_at_ms)
        self.queue.put(Waiter(ticket, self.now_ms, expires_at_ms, is_over_budget))
        self._grant_waiting()
        if ticket.ticket_id in self.queue:
            self.refusals.refuse_if_late(ticket.ticket_id)
        if ticket.ticket_id in self.queue:
            self.slots.announce_demand()

    def _on_released(self, ticket_id: str) -> None:
        running = self.running.pop(ticket_id, None)
        if running is None:
            return
        upstream = running.grant.upstream
        self.usage.ended(running.ticket.workspace)
        self.rate.count(self.now_ms)
        if running.is_streaming:
            self.health.stream_ended(upstream.upstream_id)
        self.slots.ledger.release(upstream.upstream_id)

    def _on_first_token(self, received: FirstTokenReceived) -> None:
        running = self.running.get(received.ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if not running.is_streaming:
            running.is_streaming = True
            self.health.stream_started(
                upstream.upstream_id, upstream.model, self.now_ms
            )
        running.last_token_at_ms = self.now_ms
        self.refusals.record_first_token(upstream.service, received.elapsed_ms)

    def _on_failure(self, ticket_id: str, reason: str) -> None:
        running = self.running.get(ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if LEAVING_REASON in reason:
            self._on_leaving(upstream.upstream_id, "upstream_said_so")
            return
        self.upstreams.mark_unreachable(upstream.upstream_id)
        self.health.record_failure(upstream.upstream_id, upstream.model, self.now_ms)
        self.record(upstream.upstream_id, "eject", "", f"failure: {reason}")

    def _on_leaving(self, upstream_id: str, reason: str) -> None:
        if not self.upstreams.mark_leaving(upstream_id):
            return
        self._announce_leaving(upstream_id, reason)

    def _announce_leaving(self, upstream_id: str, reason: str) -> None:
        self.record(upstream_id, "stop_new_work", "", reason)
        for router_id in sorted(self.slots.peer_ids):
            self.emit(SendToRouter(router_id, UpstreamLeaving(upstream_id)))

    def _on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        for upstream_id in self.upstreams.read(upstreams, self.now_ms):
            self._announce_leaving(upstream_id, "list")
        self.slots.keep_only({item.upstream_id for item in self.upstreams.all()})

    def _on_routers(self, routers: tuple[RouterInfo, ...], n_known: int) -> None:
        self.slots.update_routers(routers)
        router_ids = frozenset(item.router_id for item in routers)
        self.demand.keep_only(router_ids)
        self.usage.keep_only(router_ids, self.now_ms)
        self.usage.n_routers = max(len(routers), n_known) + 1

    def _on_load(self, upstream_id: str, report: LoadReport | None) -> None:
        if report is None:
            self.upstreams.mark_unreachable(upstream_id)
            return
        self.health.mark_reachable(upstream_id)
        self.n_slots[upstream_id] = report.n_slots

    def _on_options(self, options: DispatchOptions) -> None:
        self.options = options
        self.usage.shares = options.shares
        self.cross_region_budget.set_rate(options.cross_region_bytes_per_s)
        self.retry_budget.ratio = options.retry_ratio

    def _on_peer(self, peer_message: PeerMessageReceived) -> None:
        message = peer_message.message
        match message:
            case SlotDemand(rows):
                self.demand.update(peer_message.router_id, rows, self.now_ms)
            case SlotTransfer(upstream_id, slots):
                self.slots.receive(upstream_id, slots)
            case SlotHoldings(rows):
                self.slots.home.on_holdings(peer_message.router_id, rows)
            case SlotRecall(upstream_id, slots):
                self.slots.ledger.drop(upstream_id, slots)
            case UsageReport():
                self.slots.on_usage_report(peer_message.router_id, message)
            case UpstreamLeaving(upstream_id):
                self._on_leaving(upstream_id, f"told by {peer_message.router_id}")

    def _on_tick(self) -> None:
        self.refusals.expire()
        self.placement.count_long_running()
        self.slots.on_tick()

    def _grant_waiting(self) -> None:
        """Assign the free local slots to the tickets that are first in order."""
        while True:
            best = self.queue.best(lambda item: self.placement.choose(item) is not None)
            if best is None:
                break
            order, waiter = best
            upstream = self.placement.choose(waiter)
            assert upstream is not None
            if not self.slots.transfer_if_peer_first(upstream, order):
                self._grant(waiter, upstream)
        self.slots.transfer_free()

    def is_usable(self, upstream_id: str) -> bool:
        """Return whether an upstream may get new work."""
        is_leaving = self.upstreams.is_leaving(upstream_id)
        return not is_leaving and not self.health.is_down(upstream_id, self.now_ms)

    def slow_delay_ms(self, upstream_id: str) -> float:
        """Return the delay in ms after which waiting work may use a slow upstream."""
        return self.placement.slow_delay_ms(upstream_id)

    def _grant(self, waiter: Waiter, upstream: Upstream) -> None:
        ticket = waiter.ticket
        self.queue.remove(ticket.ticket_id)
        wait_ms = self.now_ms - waiter.enqueued_at_ms
        priority = PRIORITIES[ticket.work_class]
        grant = Grant(ticket.ticket_id, upstream, wait_ms, priority)
        self.running[ticket.ticket_id] = RunningGrant(grant, ticket, self.now_ms)
        self.usage.started(ticket.workspace)
        if self.usage.is_borrowing(ticket.workspace):
            self.slots.schedule_early_report()
        self.slots.ledger.acquire(upstream.upstream_id)
        self.slots.record_probe(upstream.upstream_id)
        self.placement.record_grant(ticket, upstream)
        if upstream.region != self._own.region:
            self.cross_region_budget.spend(REQUEST_BYTES)
        if not ticket.excluded_ids and ticket.work_class is not WorkClass.RESUME:
            self.retry_budget.earn()
        self.emit(grant)
        reason = "waited" if wait_ms else "free_slot"
        self.record(
            ticket.ticket_id,
            "grant",
            upstream.upstream_id,
            reason,
            ticket.excluded_ids,
            {"wait_ms": f"{wait_ms:.0f}", "class": ticket.work_class},
        )

    def record(
        self,
        subject: str,
        kind: str,
        chosen: str,
        reason: str,
        against: tuple[str, ...] = (),
        details: dict[str, str] | None = None,
    ) -> None:
        """Emit a decision with the current time and configuration version."""
        self.emit(
            Decision(
                at_ms=self.now_ms,
                subject=subject,
                kind=kind,
                chosen=chosen,
                reason=reason,
                against=against,
                configuration_version=self.options.version,
                details=details or {},
            )
        )

    def queue_order(self, key: QueueKey, waiter: Waiter) -> WaiterOrder:
        """Return the order of a local waiter; over budget, it ranks as long work."""
        order = self._order_of(key, waiter.enqueued_at_ms)
        if waiter.is_over_budget:
            return WaiterOrder(RANKS[WorkClass.LONG], order.usage, order.enqueued_at_ms)
        return order

    def _order_of(self, key: QueueKey, enqueued_at_ms: float) -> WaiterOrder:
        rank = RANKS[key.work_class]
        is_promoted = self.now_ms - enqueued_at_ms > LONG_PROMOTION_MS
        if key.work_class is WorkClass.LONG and is_promoted:
            rank = RANKS[WorkClass.SHORT]
        usage = self.usage.running_per_weight(key.workspace)
        return WaiterOrder(rank, usage, enqueued_at_ms)
