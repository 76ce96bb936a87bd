"""Execute the actions of a forwarding state machine for one request."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Awaitable, Callable, Iterable
from typing import ClassVar

from bronzeline_daemon.forwarding.attempt import Attempt, AttemptListener
from bronzeline_daemon.forwarding.attempt_buffers import AttemptBuffers
from bronzeline_daemon.forwarding.attempt_fields import (
    attempt_fields,
    attempt_origin,
    distance_fields,
)
from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.death_check import DeathCheck
from bronzeline_daemon.forwarding.event_times import EventTimes
from bronzeline_daemon.forwarding.failure_response import send_failure
from bronzeline_daemon.forwarding.relay_context import (
    RelayContext,
    RequestMachine,
    RequestReport,
)
from bronzeline_daemon.forwarding.relay_log import CALLER_LEFT, SERVED, RelayLog
from bronzeline_daemon.forwarding.request_holding import RequestHolding
from bronzeline_daemon.forwarding.rollout_samples import RolloutSamples
from bronzeline_kernel.forwarding import (
    Abandon,
    Action,
    CallerRequest,
    CopyRun,
    CopySource,
    DropCopy,
    Fail,
    Failure,
    Fault,
    FindEarlierRun,
    Finish,
    MoveCallResult,
    MoveRun,
    Probe,
    RequestIdentity,
    ResponseHead,
    Send,
    WorkspaceKeys,
)

__all__ = ["Relay"]

# A timer this late means that the process did not run.
STALL_MS = 150.0


class Relay:
    """Drive a state machine for one request; subclassed per kind of work."""

    # The interval at which the machine checks its timeouts, in milliseconds.
    tick_ms: ClassVar[float] = 50.0

    def __init__(
        self,
        context: RelayContext,
        machine: RequestMachine,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        response: CallerResponse,
        identity: RequestIdentity,
    ) -> None:
        self.context = context
        self.request = request
        self.response = response
        self._machine = machine
        self._workspace = workspace
        self._attempts: dict[int, Attempt] = {}
        self._samples = RolloutSamples(context)
        self._buffers = AttemptBuffers(context.connection_pool.response_budget)
        # While the caller does not read, an upstream's events wait.
        self.is_waiting_for_caller = False
        self._started_at_ms = context.clock.now_ms()
        self._upstream_id = ""
        self._identity = identity
        self._log = RelayLog(context.logs, request.request_id)
        self._event_times = EventTimes(self._started_at_ms)
        self._on_end: Callable[[RequestReport], None] = lambda report: None
        self._timer: asyncio.TimerHandle | None = None
        self._listener = AttemptListener(
            self.on_head,
            self.on_data,
            self.on_complete,
            self._on_lost,
            self._log_skipped,
            context.on_response,
        )

    def start(self, on_end: Callable[[RequestReport], None]) -> None:
        """Start the first attempt; call back when the request has ended."""
        self._on_end = on_end
        self._holding = RequestHolding(self.response.reservation)
        self.response.set_close_callback(self._on_caller_left)
        self._schedule_tick()
        self.perform(self._machine.start(self.now_ms()))

    def now_ms(self) -> float:
        """Return the current time in milliseconds."""
        return self.context.clock.now_ms()

    def perform(self, actions: Iterable[Action]) -> None:
        """Execute the machine's actions in order."""
        copier = self.context.run_copier
        for action in actions:
            match action:
                case Send():
                    self._send(action)
                case Abandon(number, fault, is_move):
                    if fault is not None:
                        self.log_lost(number, fault)
                    self._abandon(number, is_move=is_move)
                case Probe(upstream):
                    self._log.silence_suspected(
                        upstream, self._event_times.silent_ms(self.now_ms())
                    )
                    self.context.prober.probe(upstream, self.on_probe_result)
                case CopyRun():
                    copier.make(self.request, action, self.on_copy_result)
                case MoveRun():
                    copier.move(self.request, action, self.on_move_result)
                case DropCopy():
                    copier.drop(action)
                case FindEarlierRun(upstreams):
                    self.context.earlier_runs.find(
                        self.request,
                        self._identity.run_hash,
                        upstreams,
                        self.on_earlier_run_search_ended,
                    )
                case Finish(number):
                    self.finish(number)
                    self.context.quarantine.request_completed(
                        self._identity.work_hash, self.now_ms()
                    )
                    self._report_end(SERVED, "")
                case Fail():
                    self._fail(action)

    def on_head(self, number: int, head: ResponseHead) -> None:
        """Handle the head of an attempt's response."""
        raise NotImplementedError

    def on_data(self, number: int, chunk: bytes) -> Awaitable[None] | None:
        """Handle a chunk of an attempt's response; the result is awaited first."""
        raise NotImplementedError

    def on_complete(self, number: int) -> None:
        """Handle the completion of an attempt's response."""
        raise NotImplementedError

    def on_probe_result(self, upstream: tuple[str, int], is_alive: bool) -> None:
        """Handle the result of probing an upstream."""

    def on_copy_result(self, number: int, copy: CopySource | None) -> None:
        """Handle the result of copying a run; None means failure."""

    def on_move_result(self, call: MoveRun, result: MoveCallResult) -> None:
        """Handle the result of a call that copies a run to move it."""

    def on_earlier_run_search_ended(self) -> None:
        """Handle the end of the search for an earlier run."""

    def finish(self, number: int) -> None:
        """Complete the caller's response with that of an attempt."""
        raise NotImplementedError

    def after_tick(self, now_ms: float) -> None:
        """Do periodic work outside the machine."""

    def after_end(self) -> None:
        """Clean up after the request has ended."""

    def on_upstream_crashed(self) -> None:
        """Handle the crash of an upstream during an attempt."""

    def on_broken_probed(self, number: int, is_responding: bool) -> None:
        """Handle whether the upstream of a broken attempt responds to a probe."""

    def on_process_stall(self) -> None:
        """Handle a pause in which this process or the caller did not read."""

    def n_events(self, number: int) -> int:
        """Return how many events the caller got from an attempt."""
        return 0

    def unanswered_parts(self) -> tuple[str, ...]:
        """Return the shared parts of a prompt that no upstream has answered yet."""
        return ()

    def attempt_fields(self) -> dict[str, object]:
        """Return further fields of the line on an attempt."""
        return {}

    def end_fields(self) -> dict[str, object]:
        """Return further fields of the line on the request's end."""
        return {}

    def record_event(self) -> None:
        """Record the time of an event sent to the caller."""
        self._event_times.record(self.now_ms())

    def head_of(self, number: int) -> ResponseHead | None:
        """Return the head of an attempt's response, or None before it arrived."""
        attempt = self._attempts.get(number)
        return attempt.head if attempt else None

    def _send(self, action: Send) -> None:
        self._upstream_id = action.upstream.upstream_id
        attempt = Attempt(
            action,
            self.request,
            self._workspace,
            self.context.connection_pool,
            self.context.wire,
            self.context.engines,
            self._listener,
            self.now_ms(),
        )
        self._attempts[action.number] = attempt
        self._samples.begin(action, self._machine.route)
        self.context.metrics.attempt_sent(attempt_origin(action))
        distance = distance_fields(action, self._machine.placement.regions)
        if distance:
            self.context.metrics.attempt_placed(**distance)
        self._log.attempt_sent(
            run_hash=self._identity.run_hash,
            **attempt_fields(self.request, action, self._machine.budget.n_left),
            **distance,
            **self.attempt_fields(),
        )
        attempt.start()

    def _abandon(self, number: int, *, is_move: bool = False) -> None:
        attempt = self._attempts.get(number)
        if attempt is not None and is_move:
            attempt.abandon()
            self._samples.record_moved(number)
        elif attempt is not None:
            attempt.abandon()
            self._samples.record_abandoned(number)
            self._log.attempt_abandoned(attempt, self._age_ms())

    def record_response(self, number: int) -> None:
        """Count an event or a complete response of an attempt for its version."""
        self._samples.record_response(number)

    def record_head(self, number: int, head: ResponseHead) -> None:
        """Count the head of a response that is no success for its version."""
        self._samples.record_head(number, head)

    def start_buffer(self, number: int) -> None:
        """Start to buffer the body of an attempt's response."""
        if not self._machine.is_over:
            address = self._attempts[number].send.upstream.address
            self._buffers.start(number, address)

    def buffer(self, number: int, chunk: bytes) -> None:
        """Buffer a chunk; fail an attempt whose response is too large."""
        if not self._buffers.append(number, chunk):
            self.fail_attempt(number, Fault.TOO_LARGE)

    def pop_buffer(self, number: int) -> bytes:
        """Return the buffered body of an attempt's response."""
        return self._buffers.pop(number)

    def fail_attempt(self, number: int, fault: Fault) -> None:
        """Abandon an attempt whose response can't be used."""
        self._samples.record_fault(number, fault)
        self._abandon(number)
        self.log_lost(number, fault)
        self.perform(self._machine.lost(number, fault, self.now_ms()))

    def _on_lost(self, number: int, fault: Fault) -> None:
        self.log_lost(number, fault)
        self.perform(self._machine.lost(number, fault, self.now_ms()))

    def log_lost(self, number: int, fault: Fault) -> None:
        """Log and count a failed attempt; probe the upstream of a broken one."""
        attempt = self._attempts[number]
        self.context.metrics.attempt_lost(fault.value)
        self._samples.record_fault(number, fault)
        n_events = self.n_events(number)
        self._log.attempt_lost(attempt, fault, self._age_ms(), n_events)
        if fault is Fault.BROKEN:
            check = DeathCheck(
                self.context,
                self._identity.work_hash,
                self.unanswered_parts(),
                self.on_upstream_crashed,
                functools.partial(self.on_broken_probed, number),
            )
            check.start(attempt)

    def _log_skipped(self, number: int, head: ResponseHead) -> None:
        """Log a response that belongs to another request and is not used."""
        self._log.response_skipped(self._attempts[number], head)

    def _fail(self, action: Fail) -> None:
        if action.failure is Failure.TIMED_OUT:
            self._samples.record_timeout()
        send_failure(action, self.response, self.context.wire)
        self._report_end(action.failure.value, action.reason)

    def _on_caller_left(self) -> None:
        self._samples.end()
        self.perform(self._machine.cancel())
        self._report_end(CALLER_LEFT, "")

    def _schedule_tick(self) -> None:
        loop = asyncio.get_running_loop()
        due_ms = self.now_ms() + self.tick_ms
        self._timer = loop.call_later(self.tick_ms / 1000.0, self._tick, due_ms)

    def _tick(self, due_ms: float) -> None:
        if self._machine.is_over:
            return
        now_ms = self.now_ms()
        if now_ms - due_ms > STALL_MS or self.is_waiting_for_caller:
            self.on_process_stall()
        answer_by_ms = self.context.answer_by_ms()
        self._machine.deadline_ms = min(self._machine.deadline_ms, answer_by_ms)
        self.perform(self._machine.tick(now_ms))
        self.after_tick(now_ms)
        if not self._machine.is_over:
            self._schedule_tick()

    def _report_end(self, outcome: str, reason: str) -> None:
        if self._timer is not None:
            self._timer.cancel()
        self._buffers.clear()
        self._samples.end()
        self._holding.end(attempt.task for attempt in self._attempts.values())
        self.request = self.request.with_body(b"")
        self.after_end()
        report = RequestReport(
            outcome,
            reason,
            self._upstream_id,
            len(self._attempts),
            self._age_ms(),
            self._event_times.first_event_ms,
            self._event_times.longest_gap_ms,
        )
        self._log.request_ended(report, self.response.status, self.end_fields())
        self._on_end(report)

    def _age_ms(self) -> float:
        return self.now_ms() - self._started_at_ms
