"""Run the attempts of one call that may be repeated."""

from __future__ import annotations

import asyncio

from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_daemon.order_service.order_run import RunContext
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.orders import OrderResult, Outcome
from bronzeline_kernel.orders.repeatable import (
    AttemptEnded,
    AttemptRefused,
    AttemptStarted,
    CallAction,
    CallDeadlinePassed,
    CallMessage,
    CallTimerFired,
    DeliverResult,
    LatencyWindow,
    RepeatableCall,
    SetCallTimer,
    StartAttempt,
)
from bronzeline_kernel.protocols import PlainRequest
from bronzeline_kernel.routing import Grant, Refusal, Ticket, WorkClass

__all__ = ["RepeatableRun"]


class RepeatableRun:
    """Drive one repeatable call until it has a result."""

    def __init__(
        self,
        context: RunContext,
        call: RepeatableCall,
        latencies: LatencyWindow,
        ticket: Ticket,
        request: PlainRequest,
    ) -> None:
        self._context = context
        self._call = call
        self._latencies = latencies
        self._ticket = ticket
        self._request = request
        self._loop = asyncio.get_running_loop()
        self._result: asyncio.Future[OrderResult] = self._loop.create_future()
        self._timer: asyncio.TimerHandle | None = None
        self._tasks = BackgroundTasks()
        self._waiting_ids: set[str] = set()

    async def run(self) -> OrderResult:
        """Return the first response of any attempt, or the reason for the failure."""
        now_ms = self._context.clock.now_ms()
        delay_s = max(0.0, self._ticket.deadline_at_ms - now_ms) / 1000.0
        deadline = self._loop.call_later(delay_s, self._handle, CallDeadlinePassed())
        try:
            self._carry_out(self._call.start(now_ms))
            return await self._result
        finally:
            deadline.cancel()
            self._clean_up()

    def _clean_up(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
        for ticket_id in self._waiting_ids:
            self._context.dispatch.withdraw(ticket_id)
        self._tasks.cancel()

    def _handle(self, message: CallMessage) -> None:
        self._carry_out(self._call.handle(message, self._context.clock.now_ms()))

    def _carry_out(self, actions: list[CallAction]) -> None:
        for action in actions:
            match action:
                case StartAttempt():
                    self._loop.call_soon(self._request_grant, action)
                case SetCallTimer(at_ms):
                    self._set_timer(at_ms)
                case DeliverResult(result):
                    self._result.set_result(result)

    def _set_timer(self, at_ms: float) -> None:
        if self._timer is not None:
            self._timer.cancel()
        delay_s = max(0.0, at_ms - self._context.clock.now_ms()) / 1000.0
        self._timer = self._loop.call_later(delay_s, self._handle, CallTimerFired())

    def _request_grant(self, action: StartAttempt) -> None:
        if self._call.is_ended:
            return
        ticket = Ticket(
            ticket_id=f"{self._ticket.ticket_id}#{action.attempt}",
            workspace=self._ticket.workspace,
            service=self._ticket.service,
            work_class=WorkClass.PLAIN,
            deadline_at_ms=action.deadline_at_ms,
            excluded_ids=action.excluded_ids,
        )
        self._waiting_ids.add(ticket.ticket_id)
        self._context.dispatch.request(
            ticket, lambda result: self._on_dispatch_result(action.attempt, result)
        )

    def _on_dispatch_result(self, attempt: int, result: Grant | Refusal) -> None:
        self._waiting_ids.discard(result.ticket_id)
        if isinstance(result, Refusal):
            self._handle(AttemptRefused(attempt, result.code, result.retry_after_ms))
        elif self._call.is_ended:
            self._context.dispatch.release(result)
        else:
            self._handle(AttemptStarted(attempt, result.upstream.upstream_id))
            self._tasks.start(self._send(attempt, result))

    async def _send(self, attempt: int, grant: Grant) -> None:
        started_ms = self._context.clock.now_ms()
        timeout_ms = max(1.0, self._ticket.deadline_at_ms - started_ms)
        outcome: Outcome | None = None
        try:
            response = await self._context.plain.call(
                grant.upstream, self._request, timeout_ms
            )
            headers = dict(response.headers)
            outcome = Outcome(response.status, headers, response.body)
            self._latencies.add(self._context.clock.now_ms() - started_ms)
        except UpstreamError:
            self._context.dispatch.record_failure(grant, "broken")
        finally:
            self._context.dispatch.release(grant)
        self._handle(AttemptEnded(attempt, outcome))
