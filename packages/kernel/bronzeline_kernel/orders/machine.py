"""Decide the life of one order at one router."""

from __future__ import annotations

from dataclasses import replace

from bronzeline_kernel.orders.claim import Claim, ClaimState, Outcome
from bronzeline_kernel.orders.claim_synchronizer import ClaimKeeper, Seen
from bronzeline_kernel.orders.look_up_schedule import LookUpPace
from bronzeline_kernel.orders.messages import (
    Action,
    CallerLeft,
    CallUpstream,
    Deliver,
    EndOrder,
    LookUpEnded,
    Message,
    OrderResult,
    OrderSpec,
    OrderStatus,
    SetTimer,
    Timer,
    TimerFired,
    UpstreamAnswered,
    UpstreamGranted,
    UpstreamOutcomeUnknown,
    UpstreamRefused,
    UpstreamUnreachable,
    WatchClaim,
    WatchEnded,
)
from bronzeline_kernel.orders.phase import (
    AFTER_DISPATCH,
    BEFORE_DISPATCH,
    UNRECORDED,
    OrderTimes,
    Phase,
)
from bronzeline_kernel.orders.upstream_reservation import UpstreamSlot

__all__ = ["OrderMachine"]

SILENCE_MS = 1_000.0
RETRY_AFTER_MS = 1_000.0


class OrderMachine:
    """Run one order at most once, and say the truth of it.

    The nonce in the claim alone decides who may dispatch. Its holder sends the
    order to a second upstream only if no byte can have reached the first.
    """

    def __init__(self, spec: OrderSpec) -> None:
        self.spec = spec
        self.phase = Phase.RECEIVED
        self.is_answered = False
        self.has_dispatched = False
        self._actions: list[Action] = []
        self._keeper = ClaimKeeper(self._claim(ClaimState.CLAIMED))
        self._times = OrderTimes(spec.received_at_ms, spec.deadline_ms)
        self._slot = UpstreamSlot()
        self._look_ups = LookUpPace(spec.has_look_up)
        self._is_watching = False
        self._is_holder_silent = False
        self._retry_after_ms = RETRY_AFTER_MS

    def start(self, now_ms: float) -> list[Action]:
        """Return the first actions."""
        self._emit(
            SetTimer(Timer.DEADLINE, self._times.deadline_at_ms),
            SetTimer(Timer.GIVE_UP, self._times.give_up_at_ms),
        )
        if self.spec.refusal_reason:
            self._refuse(self.spec.refusal_reason)
        else:
            self._enqueue()
        return self._drain()

    def handle(self, message: Message, now_ms: float) -> list[Action]:
        """Take a message in and return what to do."""
        if self.phase is Phase.ENDED:
            return []
        match message:
            case UpstreamGranted(upstream_id):
                self._on_granted(upstream_id, now_ms)
            case UpstreamRefused(code, retry_after_ms):
                self._on_refused(code, retry_after_ms)
            case UpstreamAnswered() | UpstreamUnreachable() | UpstreamOutcomeUnknown():
                self._on_upstream(message, now_ms)
            case LookUpEnded(outcome):
                self._on_looked_up(outcome, now_ms)
            case WatchEnded(version, claim):
                self._on_watch(Seen(version, claim), now_ms)
            case TimerFired(timer):
                self._on_timer(timer, now_ms)
            case CallerLeft():
                self.is_answered = True
            case _:
                self._on_store(message, now_ms)
        return self._drain()

    # Upstreams

    def _enqueue(self) -> None:
        self.phase = Phase.QUEUED
        queue_by_ms = self._times.queue_by_ms
        self._emit(*self._slot.request(queue_by_ms), SetTimer(Timer.QUEUE, queue_by_ms))
        if self.spec.is_key_from_caller and not self._keeper.version:
            self._emit(SetTimer(Timer.EARLY_READ, self._times.early_read_at_ms))

    def _on_granted(self, upstream_id: str, now_ms: float) -> None:
        if self.phase is not Phase.QUEUED:
            return
        self._slot.take(upstream_id)
        if self._keeper.version:
            self._dispatch(now_ms)
            return
        self.phase = Phase.CLAIMING
        self._want(self._claim(ClaimState.CLAIMED))

    def _on_refused(self, code: str, retry_after_ms: float) -> None:
        if self.phase is Phase.QUEUED:
            self._slot.refuse()
            self._retry_after_ms = retry_after_ms
            self._refuse(code)

    def _dispatch(self, now_ms: float) -> None:
        if now_ms >= self._times.dispatch_by_ms:
            self._refuse("too_late")
            return
        self.phase = Phase.DISPATCHING
        self.has_dispatched = True
        timeout_ms = self._times.give_up_at_ms - now_ms
        self._emit(
            CallUpstream(self._times.dispatch_by_ms, timeout_ms),
            SetTimer(Timer.LOOK_UP, self._times.last_look_up_at_ms),
        )

    def _on_upstream(self, message: Message, now_ms: float) -> None:
        if self.phase is not Phase.DISPATCHING:
            return
        match message:
            case UpstreamAnswered(outcome):
                self._leave_queue()
                self._record(outcome)
            case UpstreamUnreachable():
                self._try_elsewhere(now_ms)
            case UpstreamOutcomeUnknown():
                self._leave_queue()
                self._settle()

    def _try_elsewhere(self, now_ms: float) -> None:
        self.has_dispatched = False
        self._emit(*self._slot.exclude())
        if now_ms < self._times.queue_by_ms and self._slot.can_try_another:
            self._enqueue()
        else:
            self._refuse("upstream_unreachable")

    def _leave_queue(self) -> None:
        self._emit(*self._slot.leave())

    # Decisions

    def _refuse(self, reason: str) -> None:
        self._leave_queue()
        self.phase = Phase.REFUSING
        if not self.spec.is_key_from_caller:
            self._deliver(OrderStatus.NOT_RUN, reason)
            if self._keeper.is_untouched:
                self._end()
                return
        self._want(self._claim(ClaimState.NOT_RUN, reason=reason))

    def _record(self, outcome: Outcome) -> None:
        self.phase = Phase.RECORDING
        self._deliver(OrderStatus.ANSWERED, outcome=outcome)
        self._want(self._claim(ClaimState.DONE, outcome))

    def _settle(self) -> None:
        self.phase = Phase.SETTLING
        if self._look_ups.has_look_up:
            self._emit(*self._look_ups.begin())
        else:
            self._deliver(OrderStatus.IN_DOUBT, "answer_lost")
            self._end()

    def _follow(self, now_ms: float) -> None:
        self._leave_queue()
        self.phase = Phase.FOLLOWING
        remaining_ms = self._times.deadline_at_ms - now_ms
        if self.is_answered or remaining_ms <= 0:
            self._deliver(OrderStatus.IN_DOUBT, "held_by_another_router")
            self._end()
        elif not self._is_watching:
            self._is_watching = True
            self._emit(
                WatchClaim(self._keeper.version, remaining_ms),
                SetTimer(Timer.LOOK_UP, now_ms + SILENCE_MS),
            )

    def _accept(self, claim: Claim) -> None:
        if claim.request_digest != self.spec.request_digest:
            self._deliver(OrderStatus.NOT_RUN, "key_reused")
        elif claim.state is ClaimState.NOT_RUN:
            self._deliver(OrderStatus.NOT_RUN, claim.reason)
        elif claim.outcome is not None and claim.outcome.is_body_kept:
            self._deliver(OrderStatus.ANSWERED, outcome=claim.outcome)
        else:
            self._deliver(OrderStatus.ANSWERED, "answer_not_kept", claim.outcome)
        self._end()

    # The claim

    def _want(self, target: Claim) -> None:
        self._emit(*self._keeper.want(target))

    def _on_store(self, message: Message, now_ms: float) -> None:
        actions, seen = self._keeper.on_reply(message, now_ms)
        self._emit(*actions)
        if seen is not None:
            self._on_seen(seen, now_ms)
        else:
            self._drop_if_untouched()

    def _on_seen(self, seen: Seen, now_ms: float) -> None:
        claim = seen.claim
        if claim is None:
            self._on_absent()
        elif claim.request_digest != self.spec.request_digest:
            self._accept(claim)
        elif claim.nonce == self.spec.nonce:
            self._on_own(claim, now_ms)
        elif claim.state.is_final:
            self._accept(claim)
        else:
            self._on_foreign(claim, now_ms)

    def _on_absent(self) -> None:
        if self.phase is Phase.QUEUED:
            return
        if self._keeper.version:
            self._deliver(OrderStatus.IN_DOUBT, "claim_removed")
            self._end()
        else:
            self._want(self._keeper.target)

    def _on_own(self, claim: Claim, now_ms: float) -> None:
        if claim.state is self._keeper.target.state:
            self._on_held(claim, now_ms)
        elif claim.state.is_final:
            self._accept(claim)
        else:
            self._want(self._keeper.target)

    def _on_held(self, claim: Claim, now_ms: float) -> None:
        if claim.state.is_final:
            self._accept(claim)
        elif self.phase is Phase.CLAIMING and self.spec.is_confirmed:
            self.phase = Phase.CONFIRMING
            self._want(self._claim(ClaimState.DISPATCHING))
        elif self.phase in (Phase.CLAIMING, Phase.CONFIRMING):
            self._dispatch(now_ms)

    def _on_foreign(self, claim: Claim, now_ms: float) -> None:
        can_abort = claim.is_confirmed and claim.state is ClaimState.CLAIMED
        found = self._look_ups.found
        if found is not None:
            self._want(replace(claim, state=ClaimState.DONE, outcome=found))
        elif can_abort and self._is_holder_silent:
            reason = "aborted_before_dispatch"
            self._want(replace(claim, state=ClaimState.NOT_RUN, reason=reason))
        else:
            self._follow(now_ms)

    def _on_watch(self, seen: Seen, now_ms: float) -> None:
        self._is_watching = False
        if self.phase is not Phase.FOLLOWING:
            return
        claim = seen.claim
        if claim is not None and claim.state.is_final:
            self._accept(claim)
            return
        self._keeper.version = max(self._keeper.version, seen.version)
        self._follow(now_ms)

    # Timers and the service's look-up

    def _on_timer(self, timer: Timer, now_ms: float) -> None:
        match timer:
            case Timer.DEADLINE:
                self._on_deadline()
            case Timer.QUEUE if self.phase is Phase.QUEUED:
                self._refuse("no_upstream_in_time")
            case Timer.EARLY_READ if self.phase is Phase.QUEUED:
                self._emit(*self._keeper.look())
            case Timer.RETRY:
                self._retry_store(now_ms)
            case Timer.LOOK_UP:
                self._on_look_up_timer()
            case Timer.GIVE_UP if self.phase not in UNRECORDED:
                self._give_up()

    def _on_deadline(self) -> None:
        if self.phase in BEFORE_DISPATCH:
            self._refuse("too_late")
        if self._look_ups.found is not None:
            self._deliver(OrderStatus.ANSWERED, outcome=self._look_ups.found)
        else:
            self._deliver(OrderStatus.IN_DOUBT, "not_settled_in_time")
        if self.phase is Phase.FOLLOWING:
            self._end()
        else:
            self._drop_if_untouched()

    def _drop_if_untouched(self) -> None:
        # The caller was told in_doubt, and nothing of this order is left behind:
        # further writes would only keep an overloaded store overloaded.
        is_refused = self.phase is Phase.REFUSING and self.is_answered
        if is_refused and self._keeper.is_untouched:
            self._end()

    def _give_up(self) -> None:
        self._leave_queue()
        if self._look_ups.found is not None:
            self._record(self._look_ups.found)
        else:
            self._deliver(OrderStatus.IN_DOUBT, "not_settled")
            self._end()

    def _retry_store(self, now_ms: float) -> None:
        is_late = now_ms >= self._times.dispatch_by_ms
        if is_late and self.phase in (Phase.CLAIMING, Phase.CONFIRMING):
            self._refuse("store_unavailable")
        else:
            self._emit(*self._keeper.on_retry())

    def _on_look_up_timer(self) -> None:
        if self.phase is Phase.FOLLOWING:
            self._is_holder_silent = True
            self._emit(*self._keeper.look())
        if self.phase in AFTER_DISPATCH:
            self._emit(*self._look_ups.begin())

    def _on_looked_up(self, outcome: Outcome | None, now_ms: float) -> None:
        again = self._look_ups.end(outcome, now_ms)
        if self.phase not in AFTER_DISPATCH:
            return
        self._emit(*again)
        if outcome is not None and self.phase is Phase.SETTLING:
            self._record(outcome)
        elif outcome is not None and self.phase is Phase.FOLLOWING:
            self._emit(*self._keeper.look())

    # Results

    def _claim(
        self, state: ClaimState, outcome: Outcome | None = None, reason: str = ""
    ) -> Claim:
        spec = self.spec
        return Claim(
            owner=spec.owner,
            nonce=spec.nonce,
            state=state,
            outcome=outcome,
            request_digest=spec.request_digest,
            reason=reason,
            claimed_at_s=spec.claimed_at_s,
            is_confirmed=spec.is_confirmed,
            labels=dict(spec.labels),
        )

    def _deliver(
        self, status: OrderStatus, reason: str = "", outcome: Outcome | None = None
    ) -> None:
        if self.is_answered:
            return
        self.is_answered = True
        has_answer = status is OrderStatus.ANSWERED
        retry_after_ms = 0.0 if has_answer else self._retry_after_ms
        self._emit(Deliver(OrderResult(status, reason, outcome, retry_after_ms)))

    def _end(self) -> None:
        self._leave_queue()
        self.phase = Phase.ENDED
        self._emit(EndOrder())

    def _emit(self, *actions: Action) -> None:
        self._actions.extend(actions)

    def _drain(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
