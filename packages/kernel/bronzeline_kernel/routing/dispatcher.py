"""Decide which ticket gets which upstream, and when."""

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
from bronzeline_kernel.admission.usage import WorkspaceUsage
from bronzeline_kernel.admission.wait import ReleaseRate
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

LONG_AS_SHORT_MS = 2_000.0
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
class Running:
    """Hold a grant whose work has not ended."""

    grant: Grant
    ticket: Ticket
    granted_at_ms: float
    token_at_ms: float | None = None
    is_streaming: bool = False


class Dispatcher:
    """Queue tickets and grant them upstreams by own and peers' knowledge."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.options = DispatchOptions()
        self.upstreams = UpstreamTable()
        self.health = HealthTable()
        self.usage = WorkspaceUsage()
        self.rate = ReleaseRate()
        self.queue = AdmissionQueue(self.queue_order)
        self.demand = DemandTable(self._order_of)
        self.billed = ByteBudget(self.options.cross_region_bytes_per_s)
        self.repeats = RetryBudget(self.options.retry_ratio, n_reserve=20.0)
        self.refusals = RefusalPolicy(self, random)
        self.slots = SlotExchange(self, own, random)
        self.running: dict[str, Running] = {}
        self.n_slots: dict[str, int] = {}
        self.now_ms = 0.0
        self._own = own
        self.placement = Placement(self, own, random)
        self._actions: list[DispatchAction] = []

    def handle(self, message: DispatchMessage, now_ms: float) -> list[DispatchAction]:
        """Take one message and return the actions that follow from it."""
        self.now_ms = now_ms
        self._actions = []
        self._take(message)
        self._serve()
        return self._actions

    def act(self, action: DispatchAction) -> None:
        """Add an action to those that the present message causes."""
        self._actions.append(action)

    def record_tokens(
        self, ticket_id: str, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Take in tokens; this runs for each token and does no more."""
        running = self.running.get(ticket_id)
        if running is None or not n_tokens:
            return
        running.token_at_ms = now_ms
        upstream = running.grant.upstream
        gap_ms = elapsed_ms / n_tokens
        self.health.saw_gap(upstream.upstream_id, upstream.model, gap_ms, now_ms)
        if upstream.region != self._own.region:
            self.billed.spend(n_tokens * TOKEN_BYTES)

    def is_stalled(self, ticket_id: str, now_ms: float) -> bool:
        """Say whether a grant's tokens stopped while others could go on."""
        running = self.running.get(ticket_id)
        if running is None or running.token_at_ms is None:
            return False
        return now_ms - running.token_at_ms > self.options.stall_timeout_ms

    def expected_first_response_ms(self, service: str) -> float:
        """Return how long first answers of a service take of late."""
        return self.refusals.expected_first_ms(service)

    @property
    def n_waiting(self) -> int:
        """Count the tickets that wait."""
        return len(self.queue)

    def upstreams_to_poll(self) -> list[Upstream]:
        """List the upstreams whose load is worth knowing."""
        return self.upstreams.all()

    def upstreams_to_watch(self) -> list[Upstream]:
        """List the upstreams that are away or about to be."""
        return [
            item
            for item in self.upstreams.all()
            if not self.is_usable(item.upstream_id) and item.kind is UpstreamKind.ENGINE
        ]

    def describe(self) -> list[UpstreamView]:
        """Explain, for each upstream, why it gets more or less work."""
        return describe_upstreams(self)

    def _take(self, message: DispatchMessage) -> None:
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
                self.slots.begin_stop()

    def _on_ticket(self, ticket: Ticket) -> None:
        fitting = [
            item
            for item in self.upstreams.fitting(
                ticket.service, ticket.model, ticket.version
            )
            if item.upstream_id not in ticket.excluded_ids
        ]
        if not fitting:
            self.refusals.refuse(ticket, "no_upstream")
            return
        is_repeat = ticket.work_class is WorkClass.RESUME or bool(ticket.excluded_ids)
        is_over_budget = is_repeat and not self.repeats.spend()
        if is_over_budget and ticket.work_class is WorkClass.PLAIN:
            self.refusals.refuse(ticket, "retry_budget")
            return
        if is_repeat and ticket.work_class in (WorkClass.SHORT, WorkClass.LONG):
            # Accepted already: its caller has waited for an upstream that failed.
            ticket = replace(ticket, work_class=WorkClass.RESUME)
        limit_ms = self.refusals.wait_limit_ms(ticket)
        expires_at_ms = min(self.now_ms + limit_ms, ticket.deadline_at_ms)
        self.queue.put(Waiter(ticket, self.now_ms, expires_at_ms, is_over_budget))
        self._serve()
        if ticket.ticket_id in self.queue:
            self.refusals.refuse_if_late(ticket.ticket_id)
        if ticket.ticket_id in self.queue:
            self.slots.announce_soon()

    def _on_released(self, ticket_id: str) -> None:
        running = self.running.pop(ticket_id, None)
        if running is None:
            return
        upstream = running.grant.upstream
        self.usage.ended(running.ticket.workspace)
        self.rate.count(self.now_ms)
        if running.is_streaming:
            self.health.stream_ended(upstream.upstream_id)
        self.slots.ledger.end_use(upstream.upstream_id)

    def _on_first_token(self, seen: FirstTokenReceived) -> None:
        running = self.running.get(seen.ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if not running.is_streaming:
            running.is_streaming = True
            self.health.stream_began(upstream.upstream_id, upstream.model, self.now_ms)
        running.token_at_ms = self.now_ms
        self.refusals.record_first_token(upstream.service, seen.elapsed_ms)

    def _on_failure(self, ticket_id: str, reason: str) -> None:
        running = self.running.get(ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if LEAVING_REASON in reason:
            self._on_leaving(upstream.upstream_id, "upstream_said_so")
            return
        self.upstreams.mark_away(upstream.upstream_id)
        self.health.record_failure(upstream.upstream_id, upstream.model, self.now_ms)
        self.record(upstream.upstream_id, "eject", "", f"failure: {reason}")

    def _on_leaving(self, upstream_id: str, reason: str) -> None:
        if not self.upstreams.mark_leaving(upstream_id):
            return
        self._left(upstream_id, reason)

    def _left(self, upstream_id: str, reason: str) -> None:
        self.record(upstream_id, "stop_new_work", "", reason)
        for router_id in sorted(self.slots.peer_ids):
            self.act(SendToRouter(router_id, UpstreamLeaving(upstream_id)))

    def _on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        for upstream_id in self.upstreams.read(upstreams, self.now_ms):
            self._left(upstream_id, "list")
        self.slots.keep_only({item.upstream_id for item in self.upstreams.all()})

    def _on_routers(self, routers: tuple[RouterInfo, ...], n_known: int) -> None:
        self.slots.update_routers(routers)
        router_ids = frozenset(item.router_id for item in routers)
        self.demand.keep_only(router_ids)
        self.usage.keep_only(router_ids, self.now_ms)
        self.usage.n_routers = max(len(routers), n_known) + 1

    def _on_load(self, upstream_id: str, report: LoadReport | None) -> None:
        if report is None:
            self.upstreams.mark_away(upstream_id)
            return
        self.health.saw_reachable(upstream_id)
        self.n_slots[upstream_id] = report.n_slots

    def _on_options(self, options: DispatchOptions) -> None:
        self.options = options
        self.usage.shares = options.shares
        self.billed.set_rate(options.cross_region_bytes_per_s)
        self.repeats.ratio = options.retry_ratio

    def _on_peer(self, said: PeerMessageReceived) -> None:
        message = said.message
        match message:
            case SlotDemand(rows):
                self.demand.heard(said.router_id, rows, self.now_ms)
            case SlotTransfer(upstream_id, slots):
                self.slots.receive(upstream_id, slots)
            case SlotHoldings(rows):
                self.slots.home.on_holdings(said.router_id, rows)
            case SlotRecall(upstream_id, slots):
                self.slots.ledger.drop(upstream_id, slots)
            case UsageReport():
                self.slots.on_usage(said.router_id, message)
            case UpstreamLeaving(upstream_id):
                self._on_leaving(upstream_id, f"told by {said.router_id}")

    def _on_tick(self) -> None:
        self.refusals.expire()
        self.placement.count_aged()
        self.slots.on_tick()

    def _serve(self) -> None:
        """Give every slot that is free here to the ticket that is due first."""
        while True:
            best = self.queue.best(lambda item: self.placement.choose(item) is not None)
            if best is None:
                break
            order, waiter = best
            upstream = self.placement.choose(waiter)
            assert upstream is not None
            if not self.slots.pass_on_before(upstream, order):
                self._grant(waiter, upstream)
        self.slots.pass_on_free()

    def is_usable(self, upstream_id: str) -> bool:
        """Say whether an upstream may get new work at all."""
        is_leaving = self.upstreams.is_leaving(upstream_id)
        return not is_leaving and not self.health.is_down(upstream_id, self.now_ms)

    def patience_ms(self, upstream_id: str) -> float:
        """Return how long work waits for a faster upstream than this one."""
        return self.placement.patience_ms(upstream_id)

    def _grant(self, waiter: Waiter, upstream: Upstream) -> None:
        ticket = waiter.ticket
        self.queue.remove(ticket.ticket_id)
        wait_ms = self.now_ms - waiter.enqueued_at_ms
        priority = PRIORITIES[ticket.work_class]
        grant = Grant(ticket.ticket_id, upstream, wait_ms, priority)
        self.running[ticket.ticket_id] = Running(grant, ticket, self.now_ms)
        self.usage.started(ticket.workspace)
        if self.usage.is_borrowing(ticket.workspace):
            self.slots.report_soon()
        self.slots.ledger.use(upstream.upstream_id)
        self.slots.probed(upstream.upstream_id)
        self.placement.granted(ticket, upstream)
        if upstream.region != self._own.region:
            self.billed.spend(REQUEST_BYTES)
        if not ticket.excluded_ids and ticket.work_class is not WorkClass.RESUME:
            self.repeats.earn()
        self.act(grant)
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
        """Add a decision to the record."""
        self.act(
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
        """Return the place of an own waiter."""
        order = self._order_of(key, waiter.enqueued_at_ms)
        if waiter.is_over_budget:
            return WaiterOrder(RANKS[WorkClass.LONG], order.usage, order.enqueued_at_ms)
        return order

    def _order_of(self, key: QueueKey, enqueued_at_ms: float) -> WaiterOrder:
        rank = RANKS[key.work_class]
        is_aged = self.now_ms - enqueued_at_ms > LONG_AS_SHORT_MS
        if key.work_class is WorkClass.LONG and is_aged:
            rank = RANKS[WorkClass.SHORT]
        usage = self.usage.normalised(key.workspace)
        return WaiterOrder(rank, usage, enqueued_at_ms)
