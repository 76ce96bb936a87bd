"""Drive the state machine of one order."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from functools import partial

from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_daemon.order_service.claim_store import ClaimStore
from bronzeline_daemon.order_service.look_up import OrderLookUp
from bronzeline_kernel.exceptions import UpstreamError, UpstreamUnreachableError
from bronzeline_kernel.orders import OrderMachine, OrderResult, Outcome
from bronzeline_kernel.orders.messages import (
    Action,
    CallUpstream,
    CancelUpstreamRequest,
    Deliver,
    EndOrder,
    LookUp,
    LookUpEnded,
    Message,
    ReadClaim,
    ReleaseUpstream,
    RequestUpstream,
    SetTimer,
    Timer,
    TimerFired,
    UpstreamAnswered,
    UpstreamGranted,
    UpstreamOutcomeUnknown,
    UpstreamRefused,
    UpstreamUnreachable,
    WatchClaim,
    WriteClaim,
)
from bronzeline_kernel.protocols import Clock, PlainConnector, PlainRequest
from bronzeline_kernel.routing import Grant, Refusal, Ticket, WorkClass

__all__ = ["OrderRun", "RunContext"]


@dataclass(frozen=True)
class RunContext:
    """Hold the services that the runs of orders and repeatable calls use."""

    claims: ClaimStore
    plain: PlainConnector
    dispatch: DispatchService
    order_look_up: OrderLookUp
    clock: Clock


class OrderRun:
    """Pass messages to one order's state machine and carry out its actions."""

    def __init__(
        self,
        context: RunContext,
        machine: OrderMachine,
        key: str,
        ticket: Ticket,
        request: PlainRequest,
        on_end: Callable[[OrderRun], None],
    ) -> None:
        self.machine = machine
        self.result: asyncio.Future[OrderResult] = (
            asyncio.get_running_loop().create_future()
        )
        self._context = context
        self._key = key
        self._ticket = ticket
        self._request = request
        self._on_end = on_end
        self._grant: Grant | None = None
        self._n_tickets = 0
        self._waiting_ticket_id = ""
        self._timers: dict[Timer, asyncio.TimerHandle] = {}
        self._tasks = BackgroundTasks()

    def start(self) -> None:
        """Start the state machine."""
        self._carry_out(self.machine.start(self._context.clock.now_ms()))

    def handle(self, message: Message) -> None:
        """Pass a message to the state machine and carry out the resulting actions."""
        self._carry_out(self.machine.handle(message, self._context.clock.now_ms()))

    def cancel(self) -> None:
        """Cancel every task and timer without ending the order, as in a crash."""
        self._tasks.cancel()
        for timer in self._timers.values():
            timer.cancel()

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            self._perform(action)

    def _perform(self, action: Action) -> None:
        claims = self._context.claims
        match action:
            case SetTimer(timer, at_ms):
                self._set_timer(timer, at_ms)
            case RequestUpstream(deadline_at_ms, excluded_ids):
                self._request_upstream(deadline_at_ms, excluded_ids)
            case CancelUpstreamRequest():
                self._context.dispatch.withdraw(self._waiting_ticket_id)
                self._waiting_ticket_id = ""
            case ReleaseUpstream():
                self._release()
            case WriteClaim(claim, expected_version):
                self._spawn(partial(claims.write, self._key, claim, expected_version))
            case ReadClaim():
                self._spawn(partial(claims.read, self._key))
            case WatchClaim(after_version, timeout_ms):
                self._spawn(partial(claims.watch, self._key, after_version, timeout_ms))
            case CallUpstream():
                self._spawn(partial(self._call, action))
            case LookUp():
                self._spawn(self._look_up)
            case Deliver(result):
                if not self.result.done():
                    self.result.set_result(result)
            case EndOrder():
                self._end()

    def _set_timer(self, timer: Timer, at_ms: float) -> None:
        if timer in self._timers:
            self._timers[timer].cancel()
        delay_s = max(0.0, at_ms - self._context.clock.now_ms()) / 1000.0
        loop = asyncio.get_running_loop()
        self._timers[timer] = loop.call_later(delay_s, self.handle, TimerFired(timer))

    def _request_upstream(
        self, deadline_at_ms: float, excluded_ids: tuple[str, ...]
    ) -> None:
        self._n_tickets += 1
        ticket = Ticket(
            ticket_id=f"{self._ticket.ticket_id}#{self._n_tickets}",
            workspace=self._ticket.workspace,
            service=self._ticket.service,
            work_class=WorkClass.PLAIN,
            deadline_at_ms=deadline_at_ms,
            excluded_ids=excluded_ids,
        )
        self._waiting_ticket_id = ticket.ticket_id
        on_result = partial(self._on_dispatch_result, ticket.ticket_id)
        # Dispatch may call back at once, but the remaining actions of this step must
        # be carried out first.
        asyncio.get_running_loop().call_soon(self._request_grant, ticket, on_result)

    def _request_grant(
        self, ticket: Ticket, on_result: Callable[[Grant | Refusal], None]
    ) -> None:
        if self._waiting_ticket_id == ticket.ticket_id:
            self._context.dispatch.request(ticket, on_result)

    def _on_dispatch_result(self, ticket_id: str, result: Grant | Refusal) -> None:
        if self._waiting_ticket_id != ticket_id:
            if isinstance(result, Grant):
                self._context.dispatch.release(result)
            return
        self._waiting_ticket_id = ""
        if isinstance(result, Refusal):
            self.handle(UpstreamRefused(result.code, result.retry_after_ms))
            return
        self._grant = result
        self.handle(UpstreamGranted(result.upstream.upstream_id))

    def _release(self) -> None:
        if self._grant is not None:
            self._context.dispatch.release(self._grant)
            self._grant = None

    async def _call(self, action: CallUpstream) -> Message:
        grant = self._grant
        if grant is None or self._context.clock.now_ms() >= action.dispatch_by_ms:
            return UpstreamUnreachable()
        try:
            response = await self._context.plain.call(
                grant.upstream, self._request, action.timeout_ms
            )
        except UpstreamUnreachableError:
            self._context.dispatch.record_failure(grant, "unreachable")
            return UpstreamUnreachable()
        except UpstreamError as error:
            self._context.dispatch.record_failure(grant, "broken")
            return UpstreamOutcomeUnknown(str(error))
        headers = dict(response.headers)
        return UpstreamAnswered(Outcome(response.status, headers, response.body))

    async def _look_up(self) -> LookUpEnded:
        labels = dict(self.machine.spec.labels)
        return LookUpEnded(await self._context.order_look_up.find(labels))

    def _spawn(self, work: Callable[[], Awaitable[Message]]) -> None:
        self._tasks.start(self._handle_result(work))

    async def _handle_result(self, work: Callable[[], Awaitable[Message]]) -> None:
        self.handle(await work())

    def _end(self) -> None:
        self._release()
        for timer in self._timers.values():
            timer.cancel()
        self._on_end(self)
