"""Drive one generation's state machine."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace
from typing import TYPE_CHECKING

from xxhash import xxh64_hexdigest

from bronzeline_daemon.generations.evidence import StreamEvidence
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

if TYPE_CHECKING:
    from bronzeline_daemon.generation_service import GenerationService

__all__ = ["AnswerEvent", "GenerationRun", "OnAnswerEvent"]

QUARANTINED = "quarantined"
SUPERSEDED = "superseded"

AnswerEvent = Deliver | EndAnswer | FailAnswer
OnAnswerEvent = Callable[[AnswerEvent], None]


class GenerationRun:
    """Carry out the actions of one generation."""

    def __init__(
        self, machine: Generation, answer: OnAnswerEvent, service: GenerationService
    ) -> None:
        self.machine = machine
        self._spec = machine.spec
        self._answer = answer
        self._service = service
        self._grant: Grant | None = None
        self._ticket_id = ""
        self._n_tickets = 0
        self._epoch = 0
        self._evidence = StreamEvidence(machine.spec, service.dispatch, service.metrics)
        self.replica_id = 0
        self._started_at_ms = 0.0
        self.attempt_started_at_ms = 0.0
        self._blamed_at_ms = -1.0
        self._judgement: asyncio.Task[None] | None = None
        self.retry_after_ms = 0.0

    @property
    def generation_id(self) -> str:
        """Return the generation's id."""
        return self._spec.generation_id

    def start(self) -> None:
        """Carry out the first actions."""
        now_ms = self._service.clock.now_ms()
        self._started_at_ms = now_ms
        self._evidence.on_start(now_ms)
        if self.machine.request_key:
            self.replica_id = self._service.replication.open(self._on_held)
        self._carry_out(self.machine.start(now_ms))

    def adopt_earlier_run(self, state: GenerationState) -> None:
        """Go on with the same request's earlier run in place of a new one."""
        if self.machine.is_ended or self.machine.n_delivered or not state.tokens:
            return
        own_id = self.generation_id
        self._epoch += 1
        self._release()
        now_ms = self._service.clock.now_ms()
        actions = self.machine.handle(PreviousRunFound(state), now_ms)
        self._spec = self.machine.spec
        self._service.on_run_adopted(self, own_id)
        for action in actions:
            if isinstance(action, CancelAttempt):
                self._service.streams.cancel(own_id, action)
        kept: list[Action] = [
            item for item in actions if not isinstance(item, CancelAttempt)
        ]
        self._carry_out(kept)
        if self.machine.is_ended:
            self._close()

    def _stream_handler(
        self, action: StartAttempt | AttachStream
    ) -> Callable[[Message], None]:
        # Attempts of two runs can have the same number: a stream of the run
        # that was given up must not be heard any more.
        epoch = self._epoch
        generation_id = self.generation_id
        is_cancelled = False

        def on_message(message: Message) -> None:
            nonlocal is_cancelled
            if type(message) is TokenReceived and not is_cancelled:
                is_left = epoch != self._epoch or self._was_left(action)
                is_cancelled = is_left
                if is_left:
                    self._cancel_again(generation_id, action)
            if epoch == self._epoch:
                self.handle(message)

        return on_message

    def _was_left(self, action: StartAttempt | AttachStream) -> bool:
        machine = self.machine
        if machine.is_ended:
            return machine.end is None and machine.cause != SUPERSEDED
        return action.attempt != machine.attempt and action.upstream != machine.upstream

    def _cancel_again(
        self, generation_id: str, action: StartAttempt | AttachStream
    ) -> None:
        # A paused engine can take the cancellation before the request itself.
        cancel = CancelAttempt(action.attempt, action.upstream, self.machine.fence)
        self._service.streams.cancel(generation_id, cancel)

    def mark_death_counted(self) -> bool:
        """Say whether the current attempt was not blamed for a death before."""
        is_first = self._blamed_at_ms != self.attempt_started_at_ms
        self._blamed_at_ms = self.attempt_started_at_ms
        return is_first

    def on_caller_left(self) -> None:
        """Say that the caller's connection closed."""
        self.handle(CallerLeft())

    def tick(self, now_ms: float) -> None:
        """Let the machine judge the time that passed."""
        upstream = self.machine.upstream
        if upstream is not None:
            moved_at_ms = self._service.engine_active_at_ms
            moved = moved_at_ms.get(upstream.upstream_id, 0.0)
            self.machine.engine_active_at_ms = moved
        due_at_ms = self.machine.timer_at_ms
        if due_at_ms is not None and now_ms >= due_at_ms:
            self.handle(Tick())

    def handle(self, message: Message) -> None:
        """Pass a message to the machine and carry out what follows."""
        machine = self.machine
        if machine.is_ended:
            return
        now_ms = self._service.clock.now_ms()
        n_tokens = len(machine.tokens)
        actions = machine.handle(message, now_ms)
        if type(message) is TokenReceived and len(machine.tokens) > n_tokens:
            self._note_progress(now_ms)
            gap = self._evidence.on_token(self._grant, n_tokens + 1, now_ms)
            if gap is not None:
                self._service.on_resumed(self, gap)
        self._carry_out(actions)
        if machine.is_ended:
            self._close()

    def _note_progress(self, now_ms: float) -> None:
        upstream = self.machine.upstream
        if upstream is not None:
            self._service.engine_active_at_ms[upstream.upstream_id] = now_ms

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            match action:
                case Deliver() | EndAnswer() | FailAnswer():
                    self._answer(action)
                    if type(action) is FailAnswer:
                        self._record("fail", action.code)
                case ReplicateTokens():
                    self._copy(action)
                case RequestUpstream():
                    self._choose(action)
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

    def _choose(self, action: RequestUpstream) -> None:
        self._on_loss()
        self._release()
        self._n_tickets += 1
        self._ticket_id = f"{self.generation_id}/{self._n_tickets}"
        quarantine = self._service.quarantine
        if quarantine.is_quarantined(self._spec):
            self._record("quarantine", "in_force")
            self.handle(NoUpstream(QUARANTINED, is_final=True))
        elif quarantine.is_suspect(self._spec):
            work = self._judge(action, self._ticket_id)
            self._judgement = asyncio.ensure_future(work)
        else:
            self._request(action)

    async def _judge(self, action: RequestUpstream, ticket_id: str) -> None:
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
        self._request(replace(action, excluded_ids=excluded_ids))

    def _request(self, action: RequestUpstream) -> None:
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

    def _on_loss(self) -> None:
        if not self.machine.is_resumed:
            return
        cause = self.machine.cause or "reconnect"
        self._record("lose_upstream", cause)
        self._evidence.on_loss(cause, self._service.clock.now_ms())
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
        self._evidence.on_stream(self.attempt_started_at_ms, is_attached=False)
        priority = self._grant.priority if self._grant else 0
        on_message = self._stream_handler(action)
        self._service.streams.start(self._spec, action, priority, on_message)

    def _attach(self, action: AttachStream) -> None:
        now_ms = self._service.clock.now_ms()
        self._evidence.on_loss(self.machine.cause or "silence", now_ms)
        self._evidence.on_stream(now_ms, is_attached=True)
        self._record("attach_anew", self.machine.cause or "silence")
        on_message = self._stream_handler(action)
        self._service.streams.attach(self.generation_id, action, on_message)

    def _copy(self, action: ReplicateTokens) -> None:
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

    def _on_held(self, router_id: str, n_tokens: int) -> None:
        self.handle(TokensReplicated(router_id, n_tokens))

    def _on_state(
        self, state: GenerationState | None, holder_id: str, has_answered: bool
    ) -> None:
        known = self._service.with_local_address(state)
        is_certain = has_answered or not self._service.is_alive(holder_id)
        self.handle(PeerStateReceived(known, is_certain))

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
