"""Implement the state machine of one order at one router."""

from __future__ import annotations

from dataclasses import replace

from bronzeline_kernel.orders.claim import Claim, ClaimState, Outcome
from bronzeline_kernel.orders.claim_synchronizer import ClaimSynchronizer, ObservedClaim
from bronzeline_kernel.orders.look_up_schedule import LookUpSchedule
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
from bronzeline_kernel.orders.upstream_reservation import UpstreamReservation

__all__ = ["OrderMachine"]

HOLDER_SILENCE_MS = 1_000.0
RETRY_AFTER_MS = 1_000.0


class OrderMachine:
    """Run one order at most once and report whether it ran.

    Only the router whose nonce is in the claim may dispatch the order. It sends
    the order to a second upstream only if no byte can have reached the first.
    """

    def __init__(self, spec: OrderSpec) -> None:
        self.spec = spec
        self.phase = Phase.RECEIVED
        self.is_answered = False
        self.has_dispatched = False
        self._actions: list[Action] = []
        self._claim_sync = ClaimSynchronizer(self._claim(ClaimState.CLAIMED))
        self._times = OrderTimes(spec.received_at_ms, spec.deadline_ms)
        self._reservation = UpstreamReservation()
        self._look_ups = LookUpSchedule(spec.has_look_up)
        self._is_watching = False
        self._is_holder_silent = False
        self._retry_after_ms = RETRY_AFTER_MS

    def start(self, now_ms: float) -> list[Action]:
        """Set the timers and return the first actions."""
        self._emit(
            SetTimer(Timer.DEADLINE, self._times.deadline_at_ms),
            SetTimer(Timer.GIVE_UP, self._times.give_up_at_ms),
        )
        if self.spec.refusal_reason:
            self._refuse(self.spec.refusal_reason)
        else:
            self._enqueue()
        return self._take_actions()

    def handle(self, message: Message, now_ms: float) -> list[Action]:
        """Process one message and return the resulting actions."""
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
                self._on_watch(ObservedClaim(version, claim), now_ms)
            case TimerFired(timer):
                self._on_timer(timer, now_ms)
            case CallerLeft():
                self.is_answered = True
            case _:
                self._on_store_reply(message, now_ms)
        return self._take_actions()

    # Upstreams

    def _enqueue(self) -> None:
        self.phase = Phase.QUEUED
        queue_by_ms = self._times.queue_by_ms
        self._emit(
            *self._reservation.request(queue_by_ms), SetTimer(Timer.QUEUE, queue_by_ms)
        )
        if self.spec.is_key_from_caller and not self._claim_sync.version:
            self._emit(SetTimer(Timer.EARLY_READ, self._times.early_read_at_ms))

    def _on_granted(self, upstream_id: str, now_ms: float) -> None:
        if self.phase is not Phase.QUEUED:
            return
        self._reservation.grant(upstream_id)
        if self._claim_sync.version:
            self._dispatch(now_ms)
            return
        self.phase = Phase.CLAIMING
        self._write_claim(self._claim(ClaimState.CLAIMED))

    def _on_refused(self, code: str, retry_after_ms: float) -> None:
        if self.phase is Phase.QUEUED:
            self._reservation.refuse()
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
                self._release_upstream()
                self._record(outcome)
            case UpstreamUnreachable():
                self._try_another_upstream(now_ms)
            case UpstreamOutcomeUnknown():
                self._release_upstream()
                self._settle()

    def _try_another_upstream(self, now_ms: float) -> None:
        self.has_dispatched = False
        self._emit(*self._reservation.exclude())
        if now_ms < self._times.queue_by_ms and self._reservation.has_attempts_left:
            self._enqueue()
        else:
            self._refuse("upstream_unreachable")

    def _release_upstream(self) -> None:
        self._emit(*self._reservation.release())

    # Decisions

    def _refuse(self, reason: str) -> None:
        self._release_upstream()
        self.phase = Phase.REFUSING
        if not self.spec.is_key_from_caller:
            self._deliver(OrderStatus.NOT_RUN, reason)
            if self._claim_sync.is_unwritten:
                self._end()
                return
        self._write_claim(self._claim(ClaimState.NOT_RUN, reason=reason))

    def _record(self, outcome: Outcome) -> None:
        self.phase = Phase.RECORDING
        self._deliver(OrderStatus.ANSWERED, outcome=outcome)
        self._write_claim(self._claim(ClaimState.DONE, outcome))

    def _settle(self) -> None:
        self.phase = Phase.SETTLING
        if self._look_ups.has_look_up:
            self._emit(*self._look_ups.begin())
        else:
            self._deliver(OrderStatus.IN_DOUBT, "answer_lost")
            self._end()

    def _follow(self, now_ms: float) -> None:
        self._release_upstream()
        self.phase = Phase.FOLLOWING
        remaining_ms = self._times.deadline_at_ms - now_ms
        if self.is_answered or remaining_ms <= 0:
            self._deliver(OrderStatus.IN_DOUBT, "held_by_another_router")
            self._end()
        elif not self._is_watching:
            self._is_watching = True
            self._emit(
                WatchClaim(self._claim_sync.version, remaining_ms),
                SetTimer(Timer.LOOK_UP, now_ms + HOLDER_SILENCE_MS),
            )

    def _deliver_recorded(self, claim: Claim) -> None:
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

    def _write_claim(self, target: Claim) -> None:
        self._emit(*self._claim_sync.write(target))

    def _on_store_reply(self, message: Message, now_ms: float) -> None:
        actions, observed = self._claim_sync.on_reply(message, now_ms)
        self._emit(*actions)
        if observed is not None:
            self._on_observed(observed, now_ms)
        else:
            self._end_if_unwritten()

    def _on_observed(self, observed: ObservedClaim, now_ms: float) -> None:
        claim = observed.claim
        if claim is None:
            self._on_missing_claim()
        elif claim.request_digest != self.spec.request_digest:
            self._deliver_recorded(claim)
        elif claim.nonce == self.spec.nonce:
            self._on_own_claim(claim, now_ms)
        elif claim.state.is_final:
            self._deliver_recorded(claim)
        else:
            self._on_foreign_claim(claim, now_ms)

    def _on_missing_claim(self) -> None:
        if self.phase is Phase.QUEUED:
            return
        if self._claim_sync.version:
            self._deliver(OrderStatus.IN_DOUBT, "claim_removed")
            self._end()
        else:
            self._write_claim(self._claim_sync.target)

    def _on_own_claim(self, claim: Claim, now_ms: float) -> None:
        if claim.state is self._claim_sync.target.state:
            self._on_target_reached(claim, now_ms)
        elif claim.state.is_final:
            self._deliver_recorded(claim)
        else:
            self._write_claim(self._claim_sync.target)

    def _on_target_reached(self, claim: Claim, now_ms: float) -> None:
        if claim.state.is_final:
            self._deliver_recorded(claim)
        elif self.phase is Phase.CLAIMING and self.spec.is_confirmed:
            self.phase = Phase.CONFIRMING
            self._write_claim(self._claim(ClaimState.DISPATCHING))
        elif self.phase in (Phase.CLAIMING, Phase.CONFIRMING):
            self._dispatch(now_ms)

    def _on_foreign_claim(self, claim: Claim, now_ms: float) -> None:
        can_abort = claim.is_confirmed and claim.state is ClaimState.CLAIMED
        found = self._look_ups.found
        if found is not None:
            self._write_claim(replace(claim, state=ClaimState.DONE, outcome=found))
        elif can_abort and self._is_holder_silent:
            reason = "aborted_before_dispatch"
            self._write_claim(replace(claim, state=ClaimState.NOT_RUN, reason=reason))
        else:
            self._follow(now_ms)

    def _on_watch(self, observed: ObservedClaim, now_ms: float) -> None:
        self._is_watching = False
        if self.phase is not Phase.FOLLOWING:
            return
        claim = observed.claim
        if claim is not None and claim.state.is_final:
            self._deliver_recorded(claim)
            return
        self._claim_sync.version = max(self._claim_sync.version, observed.version)
        self._follow(now_ms)

    # Timers and the service's look-up

    def _on_timer(self, timer: Timer, now_ms: float) -> None:
        match timer:
            case Timer.DEADLINE:
                self._on_deadline()
            case Timer.QUEUE if self.phase is Phase.QUEUED:
                self._refuse("no_upstream_in_time")
            case Timer.EARLY_READ if self.phase is Phase.QUEUED:
                self._emit(*self._claim_sync.read())
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
            self._end_if_unwritten()

    def _end_if_unwritten(self) -> None:
        # The caller was already answered in_doubt and the store holds no claim of
        # this order. Further writes would only prolong an overload of the store.
        is_refused = self.phase is Phase.REFUSING and self.is_answered
        if is_refused and self._claim_sync.is_unwritten:
            self._end()

    def _give_up(self) -> None:
        self._release_upstream()
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
            self._emit(*self._claim_sync.on_retry())

    def _on_look_up_timer(self) -> None:
        if self.phase is Phase.FOLLOWING:
            self._is_holder_silent = True
            self._emit(*self._claim_sync.read())
        if self.phase in AFTER_DISPATCH:
            self._emit(*self._look_ups.begin())

    def _on_looked_up(self, outcome: Outcome | None, now_ms: float) -> None:
        follow_up = self._look_ups.end(outcome, now_ms)
        if self.phase not in AFTER_DISPATCH:
            return
        self._emit(*follow_up)
        if outcome is not None and self.phase is Phase.SETTLING:
            self._record(outcome)
        elif outcome is not None and self.phase is Phase.FOLLOWING:
            self._emit(*self._claim_sync.read())

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
        self._release_upstream()
        self.phase = Phase.ENDED
        self._emit(EndOrder())

    def _emit(self, *actions: Action) -> None:
        self._actions.extend(actions)

    def _take_actions(self) -> list[Action]:
        actions, self._actions = self._actions, []
        return actions
