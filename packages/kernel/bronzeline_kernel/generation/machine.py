"""Decide what happens next to one generation."""

from __future__ import annotations

from dataclasses import replace

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.attempt_stream import FENCE_RAISE
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
CHOICE_RETRY_MS = 100.0
NATURAL_ENDS = frozenset({"stop", "length"})
FENCED = "fenced"
SUPERSEDED = "superseded"


class Generation(GenerationCore):
    """Keep one generation whole over any number of attempts and routers.

    Tokens are named by their index. Only frames of the current attempt are
    appended, and each at its own index, so nothing is repeated or left out.
    """

    def start(self, now_ms: float) -> list[Action]:
        """Ask for the first engine, or for what peers know."""
        if self._recovery is None:
            return [self._choose()]
        self._give_up_at_ms = now_ms + self.options.resume_wait_ms
        return self._ask_peers(self._recovery)

    def _ask_peers(self, recovery: Recovery) -> list[Action]:
        self.step = GenerationStep.RECOVERING
        generation_id = self.spec.generation_id
        return [RequestPeerState(generation_id, recovery.router_ids, self.fence)]

    def abandon(self) -> None:
        """End without any action."""
        self.step = GenerationStep.ENDED

    def handle(self, message: Message, now_ms: float) -> list[Action]:
        """Take one message and return the actions that follow from it."""
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
                return self._on_end(message, now_ms)
            case StreamBroken():
                return self._on_break(message, now_ms)
            case CallerLeft():
                return self._on_caller_left(now_ms)
            case Superseded(fence):
                return self._end_superseded() if fence > self.fence else []
            case PreviousRunFound(state):
                return self._on_earlier_run(state, now_ms)
            case HolderLost(router_id):
                return [*self.delivery.on_holder_lost(router_id, now_ms)]
            case PeerStateReceived():
                return self._on_peers(message, now_ms)
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
            return self._ask_for_rest()
        self._stream.on_token()
        self._silence.on_token(now_ms)
        self._budget.earn(1)
        if index + 1 == self.n_delivered and not self._fits(frame.text):
            return self._move("other_text", now_ms)
        return [*self.delivery.append(frame.text, now_ms)]

    def _fits(self, text: str) -> bool:
        recovery = self._recovery
        return recovery is None or recovery.fits([*self.tokens, text])

    def _ask_for_rest(self) -> list[Action]:
        index = len(self.tokens)
        if self._stream.has_asked_from(index):
            return []
        return [self._stream.attach(index)]

    def _on_end(self, message: StreamEnded, now_ms: float) -> list[Action]:
        if message.attempt != self.attempt or self.end is not None:
            return []
        is_current = self._stream.is_current(message.attempt, message.connection)
        if message.reason not in NATURAL_ENDS and not is_current:
            return []
        if message.reason == SUPERSEDED:
            return self._end_superseded()
        if message.reason not in NATURAL_ENDS:
            return self._move(message.reason, now_ms)
        if message.n_tokens > len(self.tokens):
            return self._ask_for_rest()
        end = StreamEnd(message.reason, message.n_prompt_tokens)
        return [*self.delivery.finish(end, now_ms)]

    def _on_break(self, message: StreamBroken, now_ms: float) -> list[Action]:
        stream = self._stream
        is_current = stream.is_current(message.attempt, message.connection)
        if not is_current or self.end is not None:
            return []
        if message.reason == FENCED and self.n_delivered:
            can_raise = self._recovery is not None and stream.raise_fence()
            return self._attach() if can_raise else self._end_superseded()
        if message.is_unreachable and not stream.is_accepted:
            self.n_attempts -= 1
            return self._move(message.reason, now_ms)
        stream.is_accepted = True
        if not stream.has_asked_from(len(self.tokens)):
            self.cause = message.reason
            stream.is_broken = True
            return self._attach()
        lost: list[Action] = []
        if stream.is_broken and stream.upstream is not None:
            lost.append(ReportEngineLost(stream.upstream))
        return [*lost, *self._move(message.reason, now_ms)]

    def _attach(self) -> list[Action]:
        return [self._stream.attach(len(self.tokens))]

    def _move(
        self, cause: str, now_ms: float, *, is_paid: bool = False
    ) -> list[Action]:
        self.cause = cause
        if len(self.tokens) < self.n_delivered:
            return self._lack_tokens(now_ms)
        actions: list[Action] = [self._stream.leave()]
        if self.n_attempts >= MAX_ATTEMPTS:
            return [*actions, *self._fail("attempts_exhausted")]
        if self.upstream is not None:
            self._excluded_ids.append(self.upstream.upstream_id)
        self._must_pay = self._stream.is_accepted and not is_paid
        return [*actions, *self._choose_again(now_ms)]

    def _choose_again(self, now_ms: float) -> list[Action]:
        self.step = GenerationStep.CHOOSING
        if self._must_pay and not self._pay(is_lost=True):
            return self._wait_for_upstream("resume_budget_exhausted", now_ms)
        self._must_pay = False
        return [self._choose()]

    def _pay(self, *, is_lost: bool) -> bool:
        n_prompt = len(self.spec.prompt) // CHARACTERS_PER_TOKEN + 1
        return self._budget.spend(n_prompt, len(self.tokens), is_lost=is_lost)

    def _choose(self) -> RequestUpstream:
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
        self._silence.restart(now_ms)
        self.delivery.restart()
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
        self._retry_at_ms = now_ms + CHOICE_RETRY_MS
        return []

    def _on_peers(self, message: PeerStateReceived, now_ms: float) -> list[Action]:
        recovery = self._recovery
        if self.step is not GenerationStep.RECOVERING or recovery is None:
            return []
        self._is_certain = message.is_certain
        known = self._usable_state(message.state, recovery)
        self._stream.version = known.version or self._stream.version
        self._stream.fence = max(self.fence, known.fence + 1)
        self.step = GenerationStep.STREAMING
        actions: list[Action] = [*self.delivery.adopt(known.tokens, known.end, now_ms)]
        if known.end is not None:
            return actions
        return [*actions, *self._take_up(known, now_ms)]

    def _usable_state(
        self, state: GenerationState | None, recovery: Recovery
    ) -> GenerationState:
        if state is not None and recovery.fits(state.tokens):
            return state
        # The attempt that computed the last token delivered has all of them.
        attempt = recovery.hints.attempt
        return GenerationState("", "", (), attempt, 0, "", recovery.upstream)

    def _take_up(self, state: GenerationState, now_ms: float) -> list[Action]:
        if state.upstream is not None and state.attempt:
            self._silence.restart(now_ms, is_streaming=bool(state.tokens))
            self.delivery.restart()
            index = len(self.tokens)
            return [self._stream.adopt(state.attempt, state.upstream, index)]
        if len(self.tokens) < self.n_delivered:
            return self._lack_tokens(now_ms)
        return self._choose_again(now_ms)

    def _on_earlier_run(self, state: GenerationState, now_ms: float) -> list[Action]:
        if self.n_delivered or self._recovery is not None or self.end is not None:
            return []
        actions = self._leave_attempt()
        self.spec = replace(self.spec, generation_id=state.generation_id)
        self._stream.version = state.version
        self._stream.fence = max(self.fence, state.fence) + FENCE_RAISE
        self._must_pay = True
        self.step = GenerationStep.STREAMING
        actions += self.delivery.adopt(state.tokens, state.end, now_ms)
        if state.end is not None:
            return actions
        return [*actions, *self._take_up(state, now_ms)]

    def _lack_tokens(self, now_ms: float) -> list[Action]:
        # The engine may be the only one that has the tokens: it is not told to
        # stop, and asked again.
        self.step = GenerationStep.RECOVERING
        code = "continuation_lost" if self._is_certain else "holders_unreachable"
        return self._wait_for_upstream(code, now_ms)

    def _on_caller_left(self, now_ms: float) -> list[Action]:
        self.delivery.has_caller = False
        if not self.request_key:
            return self._stop()
        self._linger_until_ms = now_ms + self.options.reconnect_grace_ms
        return []

    def _stop(self) -> list[Action]:
        actions = self._leave_attempt()
        self.step = GenerationStep.ENDED
        return actions

    def _leave_attempt(self) -> list[Action]:
        if self.step is GenerationStep.CHOOSING:
            return [CancelUpstreamRequest()]
        return [self._stream.leave()] if self.attempt else []

    def _end_superseded(self) -> list[Action]:
        was_choosing = self.step is GenerationStep.CHOOSING
        self.cause = SUPERSEDED
        # Two takeovers can cross: the caller may be the one that is still there.
        is_new = self._recovery is not None and not self._stream.has_progress
        actions = self._fail("takeover_raced" if is_new else SUPERSEDED)
        return [CancelUpstreamRequest(), *actions] if was_choosing else actions

    def _fail(self, code: str) -> list[Action]:
        self.step = GenerationStep.ENDED
        return [FailAnswer(code, self.n_delivered)] if self.has_caller else []

    def _on_tick(self, now_ms: float) -> list[Action]:
        linger_until_ms = self._linger_until_ms
        if linger_until_ms is not None and now_ms >= linger_until_ms:
            return self._stop()
        actions: list[Action] = [*self.delivery.on_tick(now_ms)]
        if self._retry_at_ms is not None and now_ms >= self._retry_at_ms:
            actions += self._try_again(now_ms)
        if self._is_following:
            actions += self._on_silence(now_ms)
        return actions

    def _try_again(self, now_ms: float) -> list[Action]:
        self._retry_at_ms = None
        if self.step is GenerationStep.RECOVERING and self._recovery is not None:
            return self._ask_peers(self._recovery)
        return self._choose_again(now_ms)

    def _on_silence(self, now_ms: float) -> list[Action]:
        if now_ms >= self._silence.move_at_ms():
            # An engine that may still go on is left only if that is paid for.
            is_needed = len(self.tokens) < self.n_delivered
            if not is_needed and not self._pay(is_lost=False):
                return []
            return self._move("stall", now_ms, is_paid=True)
        is_probing = self._stream.has_asked_from(len(self.tokens))
        probe_at_ms = self._silence.probe_at_ms(self.engine_active_at_ms)
        if not is_probing and now_ms >= probe_at_ms:
            return self._attach()
        return []
