"""Implement the state machine of one generation."""

from __future__ import annotations

from dataclasses import replace

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.attempt_stream import FENCE_INCREMENT
from bronzeline_kernel.generation.core import GenerationCore, GenerationStep
from bronzeline_kernel.generation.messages import (
    Action,
    CallerLeft,
    CancelUpstreamRequest,
    FailAnswer,
    GenerationState,
    HolderLost,
    Message,
    NoUpstream,
    PeerStateReceived,
    PreviousRunFound,
    ReportEngineLost,
    RequestPeerState,
    RequestUpstream,
    StreamBroken,
    StreamEnd,
    StreamEnded,
    Superseded,
    Tick,
    TokenReceived,
    TokensReplicated,
    UpstreamGranted,
)
from bronzeline_kernel.generation.options import (
    CHARACTERS_PER_TOKEN,
    Recovery,
)

__all__ = ["Generation"]

MAX_ATTEMPTS = 8
UPSTREAM_RETRY_MS = 100.0
COMPLETE_END_REASONS = frozenset({"stop", "length"})
FENCED = "fenced"
SUPERSEDED = "superseded"


class Generation(GenerationCore):
    """Assemble one generation from any number of attempts and routers.

    Tokens are identified by their index. A frame is appended only if it belongs
    to the current attempt and has the next index, so no token is repeated or lost.
    """

    def start(self, now_ms: float) -> list[Action]:
        """Request an engine, or the state held by peers if the caller reconnected."""
        if self._recovery is None:
            return [self._request_upstream()]
        self._give_up_at_ms = now_ms + self.options.resume_wait_ms
        return self._request_peer_state(self._recovery)

    def _request_peer_state(self, recovery: Recovery) -> list[Action]:
        self.step = GenerationStep.RECOVERING
        generation_id = self.spec.generation_id
        return [RequestPeerState(generation_id, recovery.router_ids, self.fence)]

    def abandon(self) -> None:
        """End the generation without returning any action."""
        self.step = GenerationStep.ENDED

    def handle(self, message: Message, now_ms: float) -> list[Action]:
        """Process one message and return the resulting actions."""
        if self.step is GenerationStep.ENDED:
            return []
        actions = self._handle(message, now_ms)
        if self.delivery.is_complete:
            self.step = GenerationStep.ENDED
        return actions

    def _handle(self, message: Message, now_ms: float) -> list[Action]:
        match message:
            case TokenReceived():
                return self._on_token(message, now_ms)
            case TokensReplicated():
                return [*self.delivery.on_held(message, now_ms)]
            case UpstreamGranted(upstream):
                return self._on_upstream(upstream, now_ms)
            case NoUpstream():
                return self._on_no_upstream(message, now_ms)
            case StreamEnded():
                return self._on_stream_ended(message, now_ms)
            case StreamBroken():
                return self._on_stream_broken(message, now_ms)
            case CallerLeft():
                return self._on_caller_left(now_ms)
            case Superseded(fence):
                return self._end_superseded() if fence > self.fence else []
            case PreviousRunFound(state):
                return self._on_previous_run(state, now_ms)
            case HolderLost(router_id):
                return [*self.delivery.on_holder_lost(router_id, now_ms)]
            case PeerStateReceived():
                return self._on_peer_state(message, now_ms)
            case Tick():
                return self._on_tick(now_ms)

    def _on_token(self, frame: TokenReceived, now_ms: float) -> list[Action]:
        index = len(self.tokens)
        is_current = frame.attempt == self.attempt and self.end is None
        if not is_current or frame.index < index:
            self.n_dropped_frames += 1
            return []
        if frame.index > index:
            self.n_dropped_frames += 1
            return self._request_missing()
        self._stream.on_token()
        self._stall_detector.on_token(now_ms)
        self._budget.earn(1)
        if index + 1 == self.n_delivered and not self._matches_delivered(frame.text):
            return self._fail_over("other_text", now_ms)
        return [*self.delivery.append(frame.text, now_ms)]

    def _matches_delivered(self, text: str) -> bool:
        recovery = self._recovery
        return recovery is None or recovery.matches([*self.tokens, text])

    def _request_missing(self) -> list[Action]:
        index = len(self.tokens)
        if self._stream.was_opened_at(index):
            return []
        return [self._stream.attach(index)]

    def _on_stream_ended(self, message: StreamEnded, now_ms: float) -> list[Action]:
        if message.attempt != self.attempt or self.end is not None:
            return []
        is_current = self._stream.is_current(message.attempt, message.connection)
        if message.reason not in COMPLETE_END_REASONS and not is_current:
            return []
        if message.reason == SUPERSEDED:
            return self._end_superseded()
        if message.reason not in COMPLETE_END_REASONS:
            return self._fail_over(message.reason, now_ms)
        if message.n_tokens > len(self.tokens):
            return self._request_missing()
        end = StreamEnd(message.reason, message.n_prompt_tokens)
        return [*self.delivery.finish(end, now_ms)]

    def _on_stream_broken(self, message: StreamBroken, now_ms: float) -> list[Action]:
        stream = self._stream
        is_current = stream.is_current(message.attempt, message.connection)
        if not is_current or self.end is not None:
            return []
        if message.reason == FENCED and self.n_delivered:
            can_increment = self._recovery is not None and stream.increment_fence()
            return self._attach() if can_increment else self._end_superseded()
        if message.is_unreachable and not stream.is_accepted:
            self.n_attempts -= 1
            return self._fail_over(message.reason, now_ms)
        stream.is_accepted = True
        if not stream.was_opened_at(len(self.tokens)):
            self.cause = message.reason
            stream.is_broken = True
            return self._attach()
        reports: list[Action] = []
        if stream.is_broken and stream.upstream is not None:
            reports.append(ReportEngineLost(stream.upstream))
        return [*reports, *self._fail_over(message.reason, now_ms)]

    def _attach(self) -> list[Action]:
        return [self._stream.attach(len(self.tokens))]

    def _fail_over(
        self, cause: str, now_ms: float, *, is_budget_spent: bool = False
    ) -> list[Action]:
        self.cause = cause
        if len(self.tokens) < self.n_delivered:
            return self._wait_for_tokens(now_ms)
        actions: list[Action] = [self._stream.cancel()]
        if self.n_attempts >= MAX_ATTEMPTS:
            return [*actions, *self._fail("attempts_exhausted")]
        if self.upstream is not None:
            self._excluded_ids.append(self.upstream.upstream_id)
        self._must_spend_budget = self._stream.is_accepted and not is_budget_spent
        return [*actions, *self._request_another_upstream(now_ms)]

    def _request_another_upstream(self, now_ms: float) -> list[Action]:
        self.step = GenerationStep.CHOOSING
        if self._must_spend_budget and not self._spend_budget(is_lost=True):
            return self._wait_for_upstream("resume_budget_exhausted", now_ms)
        self._must_spend_budget = False
        return [self._request_upstream()]

    def _spend_budget(self, *, is_lost: bool) -> bool:
        n_prompt = len(self.spec.prompt) // CHARACTERS_PER_TOKEN + 1
        return self._budget.spend(n_prompt, len(self.tokens), is_lost=is_lost)

    def _request_upstream(self) -> RequestUpstream:
        self.step = GenerationStep.CHOOSING
        self._retry_at_ms = None
        excluded_ids = tuple(self._excluded_ids)
        return RequestUpstream(self.spec.model, self._stream.version, excluded_ids)

    def _on_upstream(self, upstream: Upstream, now_ms: float) -> list[Action]:
        if self.step is not GenerationStep.CHOOSING:
            return []
        self.step = GenerationStep.STREAMING
        self.n_attempts += 1
        self._give_up_at_ms = None
        self._stall_detector.restart(now_ms)
        self.delivery.begin_attempt()
        return [self._stream.start(upstream, tuple(self.tokens))]

    def _on_no_upstream(self, message: NoUpstream, now_ms: float) -> list[Action]:
        if self.step is not GenerationStep.CHOOSING:
            return []
        if message.is_final or not self.is_resumed:
            return self._fail(message.reason)
        self._excluded_ids.clear()
        return self._wait_for_upstream(message.reason, now_ms)

    def _wait_for_upstream(self, reason: str, now_ms: float) -> list[Action]:
        if self._give_up_at_ms is None:
            self._give_up_at_ms = now_ms + self.options.resume_wait_ms
        if now_ms >= self._give_up_at_ms:
            return self._fail(reason)
        self._retry_at_ms = now_ms + UPSTREAM_RETRY_MS
        return []

    def _on_peer_state(self, message: PeerStateReceived, now_ms: float) -> list[Action]:
        recovery = self._recovery
        if self.step is not GenerationStep.RECOVERING or recovery is None:
            return []
        self._is_state_certain = message.is_certain
        usable_state = self._usable_state(message.state, recovery)
        self._stream.version = usable_state.version or self._stream.version
        self._stream.fence = max(self.fence, usable_state.fence + 1)
        self.step = GenerationStep.STREAMING
        actions: list[Action] = [
            *self.delivery.restore(usable_state.tokens, usable_state.end, now_ms)
        ]
        if usable_state.end is not None:
            return actions
        return [*actions, *self._continue_from(usable_state, now_ms)]

    def _usable_state(
        self, state: GenerationState | None, recovery: Recovery
    ) -> GenerationState:
        if state is not None and recovery.matches(state.tokens):
            return state
        # The attempt that produced the last delivered token has all earlier ones.
        attempt = recovery.hints.attempt
        return GenerationState("", "", (), attempt, 0, "", recovery.upstream)

    def _continue_from(self, state: GenerationState, now_ms: float) -> list[Action]:
        if state.upstream is not None and state.attempt:
            self._stall_detector.restart(now_ms, is_streaming=bool(state.tokens))
            self.delivery.begin_attempt()
            index = len(self.tokens)
            return [self._stream.take_over(state.attempt, state.upstream, index)]
        if len(self.tokens) < self.n_delivered:
            return self._wait_for_tokens(now_ms)
        return self._request_another_upstream(now_ms)

    def _on_previous_run(self, state: GenerationState, now_ms: float) -> list[Action]:
        if self.n_delivered or self._recovery is not None or self.end is not None:
            return []
        actions = self._cancel_attempt()
        self.spec = replace(self.spec, generation_id=state.generation_id)
        self._stream.version = state.version
        self._stream.fence = max(self.fence, state.fence) + FENCE_INCREMENT
        self._must_spend_budget = True
        self.step = GenerationStep.STREAMING
        actions += self.delivery.restore(state.tokens, state.end, now_ms)
        if state.end is not None:
            return actions
        return [*actions, *self._continue_from(state, now_ms)]

    def _wait_for_tokens(self, now_ms: float) -> list[Action]:
        # The engine may hold the only copy of the tokens, so the attempt is not
        # cancelled. The peers, and then the engine, are asked again after a delay.
        self.step = GenerationStep.RECOVERING
        code = "continuation_lost" if self._is_state_certain else "holders_unreachable"
        return self._wait_for_upstream(code, now_ms)

    def _on_caller_left(self, now_ms: float) -> list[Action]:
        self.delivery.has_caller = False
        if not self.request_key:
            return self._stop()
        self._reconnect_until_ms = now_ms + self.options.reconnect_grace_ms
        return []

    def _stop(self) -> list[Action]:
        actions = self._cancel_attempt()
        self.step = GenerationStep.ENDED
        return actions

    def _cancel_attempt(self) -> list[Action]:
        if self.step is GenerationStep.CHOOSING:
            return [CancelUpstreamRequest()]
        return [self._stream.cancel()] if self.attempt else []

    def _end_superseded(self) -> list[Action]:
        was_choosing = self.step is GenerationStep.CHOOSING
        self.cause = SUPERSEDED
        # Two takeovers can race, and this one may serve the caller that is still
        # connected.
        has_new_caller = self._recovery is not None and not self._stream.has_progress
        actions = self._fail("takeover_raced" if has_new_caller else SUPERSEDED)
        return [CancelUpstreamRequest(), *actions] if was_choosing else actions

    def _fail(self, code: str) -> list[Action]:
        self.step = GenerationStep.ENDED
        return [FailAnswer(code, self.n_delivered)] if self.has_caller else []

    def _on_tick(self, now_ms: float) -> list[Action]:
        reconnect_until_ms = self._reconnect_until_ms
        if reconnect_until_ms is not None and now_ms >= reconnect_until_ms:
            return self._stop()
        actions: list[Action] = [*self.delivery.on_tick(now_ms)]
        if self._retry_at_ms is not None and now_ms >= self._retry_at_ms:
            actions += self._retry(now_ms)
        if self._is_streaming:
            actions += self._check_stall(now_ms)
        return actions

    def _retry(self, now_ms: float) -> list[Action]:
        self._retry_at_ms = None
        if self.step is GenerationStep.RECOVERING and self._recovery is not None:
            return self._request_peer_state(self._recovery)
        return self._request_another_upstream(now_ms)

    def _check_stall(self, now_ms: float) -> list[Action]:
        if now_ms >= self._stall_detector.failover_at_ms():
            # The engine may still recover, so it is replaced only within the budget,
            # unless tokens that the caller already received are missing.
            is_needed = len(self.tokens) < self.n_delivered
            if not is_needed and not self._spend_budget(is_lost=False):
                return []
            return self._fail_over("stall", now_ms, is_budget_spent=True)
        is_probing = self._stream.was_opened_at(len(self.tokens))
        probe_at_ms = self._stall_detector.probe_at_ms(self.engine_active_at_ms)
        if not is_probing and now_ms >= probe_at_ms:
            return self._attach()
        return []
