"""Grant upstreams to requests, and collect what the requests observe of them."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from typing import Protocol

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.admission import WorkspaceShare
from bronzeline_kernel.config import FleetConfig
from bronzeline_kernel.decisions import DecisionLog
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock, EngineConnector, VmListing
from bronzeline_kernel.routing import Grant, Refusal, Ticket, UpstreamView
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
    RouterMessage,
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

__all__ = ["DispatchMachine", "DispatchService"]

BUSY_TICK_S = 0.02
IDLE_TICK_S = 0.1
LOAD_POLL_S = 0.25
MAX_FIRST_POLLS = 16
MAX_WATCHED_POLLS = 3
MESSAGE_TYPES = (
    SlotDemand,
    SlotTransfer,
    SlotHoldings,
    SlotRecall,
    UsageReport,
    UpstreamLeaving,
)

OnResult = Callable[[Grant | Refusal], None]


class DispatchMachine(Protocol):
    """Decide on tickets; `Dispatcher` is the production implementation."""

    @property
    def n_waiting(self) -> int:
        """Return the number of waiting tickets."""

    def handle(self, message: DispatchMessage, now_ms: float) -> list[DispatchAction]:
        """Process one message and return the resulting actions."""

    def record_tokens(
        self, ticket_id: str, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Record the progress of a grant's tokens."""

    def is_stalled(self, ticket_id: str, now_ms: float) -> bool:
        """Return whether a grant's tokens have stopped."""

    def expected_first_response_ms(self, service: str) -> float:
        """Return the expected time to a service's first response, in milliseconds."""

    def describe(self) -> list[UpstreamView]:
        """Describe each upstream and its share of the work."""

    def upstreams_to_poll(self) -> list[Upstream]:
        """Return the upstreams whose load should be polled in turn."""

    def upstreams_to_watch(self) -> list[Upstream]:
        """Return the upstreams that are unavailable or about to be."""


class DispatchService:
    """Answer each ticket with a grant or a refusal."""

    def __init__(
        self,
        machine: DispatchMachine,
        engine: EngineConnector,
        peers: PeerNetwork,
        members: Members,
        config_distribution: ConfigDistributionService,
        clock: Clock,
        decisions: DecisionLog,
        metrics: Metrics,
    ) -> None:
        self.machine = machine
        self._engine = engine
        self._peers = peers
        self._members = members
        self._rollout = config_distribution
        self._clock = clock
        self._decisions = decisions
        self._metrics = metrics
        self._pending: dict[str, tuple[Ticket, OnResult]] = {}
        self._options_version = -1
        self._poll_queue: deque[Upstream] = deque()
        for message_type in MESSAGE_TYPES:
            peers.on(message_type, self._on_peer_message)

    @property
    def n_waiting(self) -> int:
        """Return the number of tickets that wait for an upstream."""
        return self.machine.n_waiting

    def request(self, ticket: Ticket, on_result: OnResult) -> None:
        """Submit a ticket; call back once with the result unless it is withdrawn."""
        self._pending[ticket.ticket_id] = (ticket, on_result)
        self._handle(TicketRequested(ticket))

    def withdraw(self, ticket_id: str) -> None:
        """Withdraw a ticket that is still waiting."""
        if self._pending.pop(ticket_id, None) is not None:
            self._handle(TicketWithdrawn(ticket_id))

    def release(self, grant: Grant) -> None:
        """End a grant, whether its work succeeded or failed."""
        self._handle(GrantReleased(grant.ticket_id))

    def record_first_token(
        self, grant: Grant, elapsed_ms: float, n_prompt_tokens: int
    ) -> None:
        """Record how long an upstream took to its first token."""
        self._handle(FirstTokenReceived(grant.ticket_id, elapsed_ms, n_prompt_tokens))

    def record_tokens(self, grant: Grant, n_tokens: int, elapsed_ms: float) -> None:
        """Record how fast an upstream produces tokens."""
        now_ms = self._clock.now_ms()
        self.machine.record_tokens(grant.ticket_id, n_tokens, elapsed_ms, now_ms)

    def record_failure(self, grant: Grant, reason: str) -> None:
        """Record that an upstream failed, refused work or stalled."""
        self._handle(GrantFailed(grant.ticket_id, reason))

    def is_stalled(self, grant: Grant) -> bool:
        """Return whether a grant's tokens stopped, so that its work should move."""
        return self.machine.is_stalled(grant.ticket_id, self._clock.now_ms())

    def expected_first_response_ms(self, service: str) -> float:
        """Return the recent time to a service's first response, in milliseconds."""
        return self.machine.expected_first_response_ms(service)

    def describe_upstreams(self) -> list[UpstreamView]:
        """Describe how much work each upstream gets, and why."""
        return self.machine.describe()

    def apply_listing(self, listing: VmListing) -> None:
        """Apply a listing of the VMs."""
        self._handle(UpstreamsRead(listing.upstreams))
        self.update_members()

    def update_members(self) -> None:
        """Apply the routers that membership considers alive."""
        routers = tuple(self._members.alive())
        self._handle(RoutersUpdated(routers, self._members.n_listed()))

    def begin_drain(self) -> None:
        """Stop requesting slots and return those held."""
        self._handle(DrainStarted())

    async def run(self) -> None:
        """Send the machine a tick periodically until cancelled."""
        while True:
            self._update_options()
            self._handle(DispatchTick())
            is_busy = bool(self.machine.n_waiting)
            await asyncio.sleep(BUSY_TICK_S if is_busy else IDLE_TICK_S)

    async def run_polls(self) -> None:
        """Poll engines' load at a bounded rate until cancelled."""
        first = [item for item in self._engines()][:MAX_FIRST_POLLS]
        await asyncio.gather(*(self._poll(item) for item in first))
        while True:
            await asyncio.sleep(LOAD_POLL_S)
            if not self._poll_queue:
                self._poll_queue.extend(self._engines())
            due = [self._poll_queue.popleft()] if self._poll_queue else []
            due += self.machine.upstreams_to_watch()[:MAX_WATCHED_POLLS]
            await asyncio.gather(*(self._poll(item) for item in due))

    def _engines(self) -> list[Upstream]:
        return [
            item
            for item in self.machine.upstreams_to_poll()
            if item.kind is UpstreamKind.ENGINE
        ]

    async def _poll(self, upstream: Upstream) -> None:
        try:
            report = await self._engine.load_report(upstream)
        except UpstreamError:
            self._handle(LoadRead(upstream.upstream_id, None))
        else:
            self._handle(LoadRead(upstream.upstream_id, report))

    def _update_options(self) -> None:
        if self._rollout.version == self._options_version:
            return
        self._options_version = self._rollout.version
        self._handle(
            OptionsUpdated(_options_of(self._rollout.config, self._options_version))
        )

    def _on_peer_message(self, identity: PeerIdentity, message: RouterMessage) -> None:
        self._handle(PeerMessageReceived(identity.router_id, message))

    def _handle(self, message: DispatchMessage) -> None:
        for action in self.machine.handle(message, self._clock.now_ms()):
            match action:
                case Grant() | Refusal():
                    self._deliver_result(action)
                case SendToRouter(router_id, content):
                    self._peers.send(router_id, content)
                case _:
                    self._decisions.record(action)

    def _deliver_result(self, result: Grant | Refusal) -> None:
        ticket, on_result = self._pending.pop(result.ticket_id)
        if isinstance(result, Grant):
            self._metrics.queued(ticket.workspace, ticket.work_class, result.wait_ms)
        on_result(result)


def _options_of(config: FleetConfig, version: int) -> DispatchOptions:
    defaults = config.defaults
    return DispatchOptions(
        first_token_target_ms=defaults.first_token_target_ms,
        long_wait_limit_ms=defaults.long_wait_limit_ms,
        resume_wait_limit_ms=defaults.resume_wait_limit_ms,
        retry_ratio=defaults.resume_budget_ratio,
        cross_region_bytes_per_s=defaults.cross_region_bytes_per_s,
        stall_timeout_ms=defaults.stall_timeout_ms,
        shares={
            name: WorkspaceShare(item.weight, item.max_running)
            for name, item in config.workspaces.items()
        },
        version=version,
    )
