"""Assign upstreams to tickets."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from bronzeline_kernel.admission.budget import RetryBudget
from bronzeline_kernel.admission.queue import (
    Waiter,
)
from bronzeline_kernel.fleet import RouterInfo, Upstream, UpstreamKind
from bronzeline_kernel.protocols import LoadReport
from bronzeline_kernel.routing.dispatch import Grant, Ticket, WorkClass
from bronzeline_kernel.routing.dispatch_state import DispatchState, RunningGrant
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
from bronzeline_kernel.routing.view import UpstreamView, describe_upstreams

__all__ = ["Dispatcher"]

PRIORITIES = {
    WorkClass.RESUME: 3,
    WorkClass.PLAIN: 2,
    WorkClass.SHORT: 2,
    WorkClass.LONG: 1,
}
LEAVING_REASON = "leaving"
REQUEST_BYTES = 2_000.0
TOKEN_BYTES = 60.0


class Dispatcher:
    """Queue tickets and assign upstreams from local and peer state."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.state = DispatchState()
        self._own = own
        self._retry_budget = RetryBudget(self.state.options.retry_ratio, n_reserve=20.0)
        self._refusals = RefusalPolicy(self.state, random)
        self._slots = SlotExchange(self.state, own, random)
        self._placement = Placement(self.state, self._slots, own, random)

    def handle(self, message: DispatchMessage, now_ms: float) -> list[DispatchAction]:
        """Process one message and return the resulting actions."""
        self.state.begin(now_ms)
        self._apply(message)
        self._grant_waiting()
        return self.state.actions

    def record_tokens(
        self, ticket_id: str, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record received tokens; called for each token, so it must stay cheap."""
        running = self.state.running.get(ticket_id)
        if running is None or not n_tokens:
            return
        running.last_token_at_ms = now_ms
        upstream = running.grant.upstream
        gap_ms = elapsed_ms / n_tokens
        self.state.health.record_token_gap(
            upstream.upstream_id, upstream.model, gap_ms, now_ms
        )
        if upstream.region != self._own.region:
            self.state.cross_region_budget.spend(n_tokens * TOKEN_BYTES)

    def is_stalled(self, ticket_id: str, now_ms: float) -> bool:
        """Return whether a grant got no token within the stall timeout."""
        running = self.state.running.get(ticket_id)
        if running is None or running.last_token_at_ms is None:
            return False
        return now_ms - running.last_token_at_ms > self.state.options.stall_timeout_ms

    def expected_first_response_ms(self, service: str) -> float:
        """Return the moving average of a service's time to first response, in ms."""
        return self._refusals.expected_first_response_ms(service)

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting tickets."""
        return len(self.state.queue)

    def home_ids(self) -> list[str]:
        """Return the home routers of all known upstreams."""
        return self._slots.home.home_ids()

    def upstreams_to_poll(self) -> list[Upstream]:
        """Return the upstreams whose load should be polled."""
        return self.state.upstreams.all()

    def upstreams_to_watch(self) -> list[Upstream]:
        """Return the engines that are leaving or in back-off."""
        return [
            item
            for item in self.state.upstreams.all()
            if not self.state.is_usable(item.upstream_id)
            and item.kind is UpstreamKind.ENGINE
        ]

    def describe(self) -> list[UpstreamView]:
        """Describe each upstream and why it gets more or less work."""
        return describe_upstreams(self.state)

    def _apply(self, message: DispatchMessage) -> None:
        match message:
            case TicketRequested(ticket):
                self._on_ticket(ticket)
            case TicketWithdrawn(ticket_id):
                self.state.queue.remove(ticket_id)
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
                self._slots.start_drain()

    def _on_ticket(self, ticket: Ticket) -> None:
        matching = [
            item
            for item in self.state.upstreams.matching(
                ticket.service, ticket.model, ticket.version
            )
            if item.upstream_id not in ticket.excluded_ids
        ]
        if not matching:
            self._refusals.refuse(ticket, "no_upstream")
            return
        is_retry = ticket.work_class is WorkClass.RESUME or bool(ticket.excluded_ids)
        is_over_budget = is_retry and not self._retry_budget.spend()
        if is_over_budget and ticket.work_class is WorkClass.PLAIN:
            self._refusals.refuse(ticket, "retry_budget")
            return
        if is_retry and ticket.work_class in (WorkClass.SHORT, WorkClass.LONG):
            # The request was accepted, and its caller has waited for an upstream
            # that failed, so it takes precedence over new work.
            ticket = replace(ticket, work_class=WorkClass.RESUME)
        limit_ms = self._refusals.wait_limit_ms(ticket)
        expires_at_ms = min(self.state.now_ms + limit_ms, ticket.deadline_at_ms)
        self.state.queue.put(
            Waiter(ticket, self.state.now_ms, expires_at_ms, is_over_budget)
        )
        self._grant_waiting()
        if ticket.ticket_id in self.state.queue:
            self._refusals.refuse_if_late(ticket.ticket_id)
        if ticket.ticket_id in self.state.queue:
            self._slots.announce_demand()

    def _on_released(self, ticket_id: str) -> None:
        running = self.state.running.pop(ticket_id, None)
        if running is None:
            return
        upstream = running.grant.upstream
        self.state.usage.ended(running.ticket.workspace)
        self.state.rate.count(self.state.now_ms)
        if running.is_streaming:
            self.state.health.stream_ended(upstream.upstream_id)
        self.state.ledger.release(upstream.upstream_id)

    def _on_first_token(self, received: FirstTokenReceived) -> None:
        running = self.state.running.get(received.ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if not running.is_streaming:
            running.is_streaming = True
            self.state.health.stream_started(
                upstream.upstream_id, upstream.model, self.state.now_ms
            )
        running.last_token_at_ms = self.state.now_ms
        self._refusals.record_first_token(upstream.service, received.elapsed_ms)

    def _on_failure(self, ticket_id: str, reason: str) -> None:
        running = self.state.running.get(ticket_id)
        if running is None:
            return
        upstream = running.grant.upstream
        if LEAVING_REASON in reason:
            self._on_leaving(upstream.upstream_id, "upstream_said_so")
            return
        self.state.upstreams.mark_unreachable(upstream.upstream_id)
        self.state.health.record_failure(
            upstream.upstream_id, upstream.model, self.state.now_ms
        )
        self.state.record(upstream.upstream_id, "eject", "", f"failure: {reason}")

    def _on_leaving(self, upstream_id: str, reason: str) -> None:
        if not self.state.upstreams.mark_leaving(upstream_id):
            return
        self._announce_leaving(upstream_id, reason)

    def _announce_leaving(self, upstream_id: str, reason: str) -> None:
        self.state.record(upstream_id, "stop_new_work", "", reason)
        for router_id in sorted(self._slots.peers.peer_ids):
            self.state.emit(SendToRouter(router_id, UpstreamLeaving(upstream_id)))

    def _on_upstreams(self, upstreams: tuple[Upstream, ...]) -> None:
        for upstream_id in self.state.upstreams.read(upstreams, self.state.now_ms):
            self._announce_leaving(upstream_id, "list")
        self._slots.keep_only({item.upstream_id for item in self.state.upstreams.all()})

    def _on_routers(self, routers: tuple[RouterInfo, ...], n_known: int) -> None:
        self._slots.update_routers(routers)
        router_ids = frozenset(item.router_id for item in routers)
        self.state.demand.keep_only(router_ids)
        self.state.usage.keep_only(router_ids, self.state.now_ms)
        self.state.usage.n_routers = max(len(routers), n_known) + 1

    def _on_load(self, upstream_id: str, report: LoadReport | None) -> None:
        if report is None:
            self.state.upstreams.mark_unreachable(upstream_id)
            return
        self.state.health.mark_reachable(upstream_id)
        self.state.n_slots[upstream_id] = report.n_slots

    def _on_options(self, options: DispatchOptions) -> None:
        self.state.options = options
        self.state.usage.shares = options.shares
        self.state.cross_region_budget.set_rate(options.cross_region_bytes_per_s)
        self._retry_budget.ratio = options.retry_ratio

    def _on_peer(self, peer_message: PeerMessageReceived) -> None:
        message = peer_message.message
        match message:
            case SlotDemand(rows):
                self.state.demand.update(
                    peer_message.router_id, rows, self.state.now_ms
                )
            case SlotTransfer(upstream_id, slots):
                self._slots.receive(upstream_id, slots)
            case SlotHoldings(rows):
                self._slots.home.on_holdings(peer_message.router_id, rows)
            case SlotRecall(upstream_id, slots):
                self.state.ledger.drop(upstream_id, slots)
            case UsageReport():
                self._slots.on_usage_report(peer_message.router_id, message)
            case UpstreamLeaving(upstream_id):
                self._on_leaving(upstream_id, f"told by {peer_message.router_id}")

    def _on_tick(self) -> None:
        self._refusals.expire()
        self._placement.count_long_running()
        self._slots.on_tick()

    def _grant_waiting(self) -> None:
        """Assign the free local slots to the tickets that are first in order."""
        while True:
            best = self.state.queue.best(
                lambda item: self._placement.choose(item) is not None
            )
            if best is None:
                break
            order, waiter = best
            upstream = self._placement.choose(waiter)
            assert upstream is not None
            if not self._slots.transfer_if_peer_first(upstream, order):
                self._grant(waiter, upstream)
        self._slots.transfer_free()

    def _grant(self, waiter: Waiter, upstream: Upstream) -> None:
        state = self.state
        ticket = waiter.ticket
        state.queue.remove(ticket.ticket_id)
        wait_ms = state.now_ms - waiter.enqueued_at_ms
        priority = PRIORITIES[ticket.work_class]
        grant = Grant(ticket.ticket_id, upstream, wait_ms, priority)
        state.running[ticket.ticket_id] = RunningGrant(grant, ticket, state.now_ms)
        state.usage.started(ticket.workspace)
        if state.usage.is_borrowing(ticket.workspace):
            self._slots.schedule_early_report()
        state.ledger.acquire(upstream.upstream_id)
        self._slots.record_probe(upstream.upstream_id)
        self._placement.record_grant(ticket, upstream)
        if upstream.region != self._own.region:
            state.cross_region_budget.spend(REQUEST_BYTES)
        if not ticket.excluded_ids and ticket.work_class is not WorkClass.RESUME:
            self._retry_budget.earn()
        state.emit(grant)
        reason = "waited" if wait_ms else "free_slot"
        state.record(
            ticket.ticket_id,
            "grant",
            upstream.upstream_id,
            reason,
            ticket.excluded_ids,
            {"wait_ms": f"{wait_ms:.0f}", "class": ticket.work_class},
        )
