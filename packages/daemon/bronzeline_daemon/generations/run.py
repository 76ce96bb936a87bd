"""Drive the state machine of one generation."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from xxhash import xxh64_hexdigest

from bronzeline_daemon.generations.host import GenerationHost
from bronzeline_daemon.generations.stream_timing import StreamTiming
from bronzeline_kernel.generation import (
    Action,
    AttachStream,
    CallerLeft,
    CancelAttempt,
    CancelUpstreamRequest,
    Deliver,
    EndAnswer,
    FailAnswer,
    Generation,
    GenerationState,
    Message,
    NoUpstream,
    PeerStateReceived,
    PreviousRunFound,
    ReplicateTokens,
    ReportEngineLost,
    RequestPeerState,
    RequestUpstream,
    StartAttempt,
    Tick,
    TokenReceived,
    TokensReplicated,
    UpstreamGranted,
)
from bronzeline_kernel.routing import Grant, Refusal, Ticket, WorkClass

__all__ = ["AnswerEvent", "GenerationRun", "OnAnswerEvent"]

QUARANTINED = "quarantined"
SUPERSEDED = "superseded"

AnswerEvent = Deliver | EndAnswer | FailAnswer
OnAnswerEvent = Callable[[AnswerEvent], None]


class GenerationRun:
    """Pass messages to one generation's state machine and carry out its actions."""

    def __init__(
        self,
        machine: Generation,
        on_event: OnAnswerEvent,
        service: GenerationHost[GenerationRun],
    ) -> None:
        self.machine = machine
        self._spec = machine.spec
        self._on_event = on_event
        self._service = service
        self._grant: Grant | None = None
        self._ticket_id = ""
        self._n_tickets = 0
        self._epoch = 0
        self._timing = StreamTiming(machine.spec, service.dispatch, service.metrics)
        self.replica_id = 0
        self._started_at_ms = 0.0
        self.attempt_started_at_ms = 0.0
        self._counted_attempt_at_ms = -1.0
        self._quarantine_check: asyncio.Task[None] | None = None
        self.retry_after_ms = 0.0

    @property
    def generation_id(self) -> str:
        """Return the generation's id, which changes when an earlier run is adopted."""
        return self._spec.generation_id

    def start(self) -> None:
        """Start the state machine; replicate only if the request has a key."""
        now_ms = self._service.clock.now_ms()
        self._started_at_ms = now_ms
        self._timing.on_start(now_ms)
        if self.machine.request_key:
            self.replica_id = self._service.replication.open(self._on_replicated)
        self._carry_out(self.machine.start(now_ms))

    def adopt_earlier_run(self, state: GenerationState) -> None:
        """Continue the request's earlier run, unless this one delivered a token."""
        if self.machine.is_ended or self.machine.n_delivered or not state.tokens:
            return
        former_id = self.generation_id
        self._epoch += 1
        self._release()
        now_ms = self._service.clock.now_ms()
        actions = self.machine.handle(PreviousRunFound(state), now_ms)
        self._spec = self.machine.spec
        self._service.on_run_adopted(self, former_id)
        for action in actions:
            if isinstance(action, CancelAttempt):
                self._service.streams.cancel(former_id, action)
        remaining: list[Action] = [
            item for item in actions if not isinstance(item, CancelAttempt)
        ]
        self._carry_out(remaining)
        if self.machine.is_ended:
            self._close()

    def _stream_handler(
        self, action: StartAttempt | AttachStream
    ) -> Callable[[Message], None]:
        # Two runs can use the same attempt numbers, so messages from a stream of
        # the abandoned run are dropped.
        epoch = self._epoch
        generation_id = self.generation_id
        is_cancelled = False

        def on_message(message: Message) -> None:
            nonlocal is_cancelled
            if type(message) is TokenReceived and not is_cancelled:
                is_abandoned = epoch != self._epoch or self._is_abandoned(action)
                is_cancelled = is_abandoned
                if is_abandoned:
                    self._cancel_again(generation_id, action)
            if epoch == self._epoch:
                self.handle(message)

        return on_message

    def _is_abandoned(self, action: StartAttempt | AttachStream) -> bool:
        machine = self.machine
        if machine.is_ended:
            return machine.end is None and machine.cause != SUPERSEDED
        return action.attempt != machine.attempt and action.upstream != machine.upstream

    def _cancel_again(
        self, generation_id: str, action: StartAttempt | AttachStream
    ) -> None:
        # A paused engine can process the cancellation before the request that it
        # cancels, so an abandoned stream that still sends tokens is cancelled again.
        cancel = CancelAttempt(action.attempt, action.upstream, self.machine.fence)
        self._service.streams.cancel(generation_id, cancel)

    def mark_death_counted(self) -> bool:
        """Mark the attempt's death as counted; return False if it already was."""
        is_first = self._counted_attempt_at_ms != self.attempt_started_at_ms
        self._counted_attempt_at_ms = self.attempt_started_at_ms
        return is_first

    def on_caller_left(self) -> None:
        """Notify the state machine that the caller's connection closed."""
        self.handle(CallerLeft())

    def tick(self, now_ms: float) -> None:
        """Send the state machine a tick if its timer is due."""
        upstream = self.machine.upstream
        if upstream is not None:
            active_at_ms_by_id = self._service.engine_active_at_ms
            active_at_ms = active_at_ms_by_id.get(upstream.upstream_id, 0.0)
            self.machine.engine_active_at_ms = active_at_ms
        due_at_ms = self.machine.timer_at_ms
        if due_at_ms is not None and now_ms >= due_at_ms:
            self.handle(Tick())

    def handle(self, message: Message) -> None:
        """Pass a message to the state machine and carry out the resulting actions."""
        machine = self.machine
        if machine.is_ended:
            return
        now_ms = self._service.clock.now_ms()
        n_tokens = len(machine.tokens)
        actions = machine.handle(message, now_ms)
        if type(message) is TokenReceived and len(machine.tokens) > n_tokens:
            self._record_progress(now_ms)
            gap = self._timing.on_token(self._grant, n_tokens + 1, now_ms)
            if gap is not None:
                self._service.on_resumed(self, gap)
        self._carry_out(actions)
        if machine.is_ended:
            self._close()

    def _record_progress(self, now_ms: float) -> None:
        upstream = self.machine.upstream
        if upstream is not None:
            self._service.engine_active_at_ms[upstream.upstream_id] = now_ms

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Deliver() | EndAnswer() | FailAnswer():
                    self._on_event(action)
                    if type(action) is FailAnswer:
                        self._record("fail", action.code)
                case ReplicateTokens():
                    self._replicate(action)
                case RequestUpstream():
                    self._request_upstream(action)
                case StartAttempt():
                    self._start_attempt(action)
                case AttachStream():
                    self._attach(action)
                case CancelAttempt():
                    self._service.streams.cancel(self.generation_id, action)
                case ReportEngineLost(upstream):
                    self._service.engine_died(self, upstream.upstream_id)
                case CancelUpstreamRequest():
                    self._service.dispatch.withdraw(self._ticket_id)
                case RequestPeerState():
                    self._service.replication.ask(
                        action,
                        self.machine.request_key,
                        self.machine.can_use,
                        self._on_state,
                    )

    def _request_upstream(self, action: RequestUpstream) -> None:
        self._record_loss()
        self._release()
        self._n_tickets += 1
        self._ticket_id = f"{self.generation_id}/{self._n_tickets}"
        quarantine = self._service.quarantine
        if quarantine.is_quarantined(self._spec):
            self._record("quarantine", "in_force")
            self.handle(NoUpstream(QUARANTINED, is_final=True))
        elif quarantine.is_suspect(self._spec):
            work = self._check_quarantine(action, self._ticket_id)
            self._quarantine_check = asyncio.ensure_future(work)
        else:
            self._send_ticket(action)

    async def _check_quarantine(self, action: RequestUpstream, ticket_id: str) -> None:
        is_quarantined = await self._service.quarantine.quarantine_if_to_blame(
            self._spec
        )
        if self.machine.is_ended or ticket_id != self._ticket_id:
            return
        if is_quarantined:
            self._record("quarantine", "engines_died")
            self.handle(NoUpstream(QUARANTINED, is_final=True))
            return
        avoided = self._service.engines_to_avoid(self._spec)
        excluded_ids = tuple({*action.excluded_ids, *avoided})
        self._send_ticket(replace(action, excluded_ids=excluded_ids))

    def _send_ticket(self, action: RequestUpstream) -> None:
        n_held = len(self.machine.tokens)
        ticket = Ticket(
            ticket_id=self._ticket_id,
            workspace=self._spec.workspace,
            service=self._spec.service,
            work_class=WorkClass.RESUME if n_held else WorkClass.SHORT,
            deadline_at_ms=self._started_at_ms + self._spec.deadline_ms,
            model=action.model,
            version=action.version,
            excluded_ids=action.excluded_ids,
            prompt_hash=xxh64_hexdigest(self._spec.prompt.encode()),
            n_tokens_held=n_held,
        )
        self._service.dispatch.request(ticket, self._on_dispatch)

    def _record_loss(self) -> None:
        if not self.machine.is_resumed:
            return
        cause = self.machine.cause or "reconnect"
        self._record("lose_upstream", cause)
        self._timing.on_stream_lost(cause, self._service.clock.now_ms())
        if self._grant is not None:
            self._service.dispatch.record_failure(self._grant, cause)

    def _on_dispatch(self, result: Grant | Refusal) -> None:
        if isinstance(result, Refusal):
            self.retry_after_ms = result.retry_after_ms
            self.handle(NoUpstream(result.code))
        elif result.ticket_id != self._ticket_id or self.machine.is_ended:
            self._service.dispatch.release(result)
        else:
            self._grant = result
            self._service.quarantine.set_placement(
                self._spec, result.upstream.upstream_id
            )
            self.handle(UpstreamGranted(result.upstream))

    def _start_attempt(self, action: StartAttempt) -> None:
        self.attempt_started_at_ms = self._service.clock.now_ms()
        self._timing.on_stream_requested(self.attempt_started_at_ms, is_attached=False)
        priority = self._grant.priority if self._grant else 0
        on_message = self._stream_handler(action)
        self._service.streams.start(self._spec, action, priority, on_message)

    def _attach(self, action: AttachStream) -> None:
        now_ms = self._service.clock.now_ms()
        self._timing.on_stream_lost(self.machine.cause or "silence", now_ms)
        self._timing.on_stream_requested(now_ms, is_attached=True)
        self._record("attach_anew", self.machine.cause or "silence")
        on_message = self._stream_handler(action)
        self._service.streams.attach(self.generation_id, action, on_message)

    def _replicate(self, action: ReplicateTokens) -> None:
        replication = self._service.replication
        router_id = action.router_id
        machine = self.machine
        if action.is_whole_state:
            replication.send_state(router_id, self.replica_id, machine)
            self._service.announce_placement(self, router_id)
        elif action.from_index < len(machine.tokens):
            text = machine.tokens[action.from_index]
            replication.append(router_id, self.replica_id, action.from_index, text)
        elif machine.end is not None:
            replication.send_end(router_id, self.replica_id, machine)

    def _on_replicated(self, router_id: str, n_tokens: int) -> None:
        self.handle(TokensReplicated(router_id, n_tokens))

    def _on_state(
        self, state: GenerationState | None, holder_id: str, has_answered: bool
    ) -> None:
        local_state = self._service.with_local_address(state)
        is_certain = has_answered or not self._service.is_alive(holder_id)
        self.handle(PeerStateReceived(local_state, is_certain))

    def _record(self, kind: str, reason: str) -> None:
        upstream = self.machine.upstream
        self._service.recorder.record(
            self._spec,
            kind,
            upstream.upstream_id if upstream else "",
            reason,
            tokens_delivered=str(self.machine.n_delivered),
        )

    def _release(self) -> None:
        if self._grant is not None:
            self._service.dispatch.release(self._grant)
            self._grant = None

    def _close(self) -> None:
        self._release()
        if self.machine.end is not None:
            self._service.quarantine.clear(self._spec)
        else:
            self._service.quarantine.set_placement(self._spec, "")
        if self.replica_id:
            self._service.replication.close(self.replica_id)
        self._service.on_ended(self)
