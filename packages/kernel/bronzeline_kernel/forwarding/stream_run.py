"""Run one stream and resume it on another upstream when one is lost."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding.attempt_counts import AttemptCounts
from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.messages import (
    Abandon,
    Action,
    CallerRequest,
    CopySource,
    DropCopy,
    Fail,
    Failure,
    Fault,
    FindEarlierRun,
    Finish,
    MoveRun,
    Probe,
    Send,
)
from bronzeline_kernel.forwarding.placement import Choice, Placement
from bronzeline_kernel.forwarding.prompt_choice import PromptChoice
from bronzeline_kernel.forwarding.request_admission import ImmediateAdmission
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_choice import StreamChoice
from bronzeline_kernel.forwarding.stream_copies import StreamCopies
from bronzeline_kernel.forwarding.stream_evidence import StreamEvidence
from bronzeline_kernel.forwarding.stream_failure import StreamFailure
from bronzeline_kernel.forwarding.stream_load import record_stream_fault, remove_load
from bronzeline_kernel.forwarding.stream_move import MoveCallResult
from bronzeline_kernel.forwarding.stream_mover import MoveStep, StreamMover
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.stream_search import EarlierRunSearch
from bronzeline_kernel.forwarding.stream_send import StreamSender
from bronzeline_kernel.forwarding.stream_silence import (
    has_responded,
    is_probe_due,
    silence_limit_ms,
)
from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = ["StreamRun"]


@dataclass
class StreamRun:
    """Decide where a stream runs, and where it resumes when its upstream is lost."""

    binding: StreamBinding
    service: str
    placement: Placement
    budget: RetryBudget
    deadline_ms: float
    options: StreamOptions = field(default_factory=StreamOptions)
    find_copy: Callable[[float], CopySource | None] = lambda now_ms: None
    is_blocked: Callable[[], bool] = lambda: False
    # Called once an engine has answered the prompt without being ended by it.
    on_answered: Callable[[], None] = lambda: None
    admission: ImmediateAdmission = field(default_factory=ImmediateAdmission)
    is_answered: bool = False
    last_event: int = 0
    attempt: Attempt | None = None
    is_over: bool = False
    counts: AttemptCounts = field(default_factory=AttemptCounts)
    mover: StreamMover = field(default_factory=StreamMover)
    # Lost with its connection and not resumed yet.
    _broken: Attempt | None = None
    _tried: set[Incarnation] = field(default_factory=set)
    _retried: set[Incarnation] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.last_event = self.request.after_event
        self._search = EarlierRunSearch(self.options)

    @property
    def request(self) -> CallerRequest:
        """Return the caller's request."""
        return self.binding.request

    @property
    def route(self) -> Route:
        """Return the route of the request."""
        return self.binding.route.admitted

    @property
    def has_delivered(self) -> bool:
        """Return whether the caller got an event of this response."""
        return self.last_event > self.request.after_event

    def start(self, now_ms: float) -> list[Action]:
        """Resume from an earlier run's copy, search for one, or send the prompt."""
        self.budget.earn()
        self.admission.start(now_ms)
        if self._evidence().is_too_late(0.0, self.deadline_ms, self.last_event, now_ms):
            fail = self._failure().too_late("too little time for the answer", now_ms)
            return self._end(fail)
        if not self._is_unproven(now_ms, is_searched=not self.route.is_resumable):
            actions = self._resume_earlier_run(now_ms)
            if actions:
                return actions
            if not self._evidence().is_resent(self.route, self.deadline_ms, now_ms):
                return self._send_prompt(now_ms)
        self._search.begin(now_ms)
        return [FindEarlierRun(self._choice().prompt_list_candidates(now_ms))]

    def earlier_run_search_ended(self, now_ms: float) -> list[Action]:
        """Continue after all have answered the search for an earlier run."""
        self._search.record_answers()
        return self._conclude_search(now_ms)

    def _conclude_search(self, now_ms: float) -> list[Action]:
        if self.is_over or not self._search.is_open:
            return []
        has_lists = self._search.has_answers(now_ms)
        is_unproven = self._is_unproven(now_ms, is_searched=True, has_lists=has_lists)
        if is_unproven and self._search.awaits_proof(self.binding, now_ms):
            return []
        self._search.end()
        if is_unproven:
            return self._end(self._failure().unproven(self.binding))
        return self._resume_earlier_run(now_ms) or self._send_prompt(now_ms)

    def bind(self, number: int, now_ms: float) -> None:
        """Keep the stream at the version of an attempt whose event the caller gets."""
        if self.attempt is not None and self.attempt.number == number:
            self.binding.began(self.attempt.upstream, now_ms)

    def copy(self, now_ms: float) -> CopySource | None:
        """Return the copy that the stream could resume from, None without one."""
        attempt = self.attempt
        return None if attempt is None else self._copies().best(attempt, now_ms)

    def accept_event(self, number: int, event_id: int, now_ms: float) -> bool:
        """Record an event; return whether it is the next one of the response."""
        attempt = self.attempt
        if attempt is None or attempt.number != number or self.is_over:
            return False
        is_first = not attempt.has_events
        self._evidence().record_event(attempt, event_id, now_ms)
        if is_first:
            self.admission.began()
            self.mover.first_event(now_ms)
        if event_id != self.last_event + 1:
            return False
        self.last_event = event_id
        self.bind(number, now_ms)
        self.counts.n_crashes = 0
        self._check_answered(attempt, now_ms)
        return True

    def is_gap(self, number: int, event_id: int) -> bool:
        """Return whether an event before this one is missing."""
        return self._is_current(number) and event_id > self.last_event + 1

    def n_events(self, number: int) -> int:
        """Return how many events of the response an attempt has added."""
        attempt = self.attempt
        if not self._is_current(number) or attempt is None or not attempt.has_events:
            return 0
        return self.last_event - attempt.first_event + 1

    def ended(self, number: int) -> list[Action]:
        """Complete the stream with the response of an attempt."""
        attempt = self.attempt
        if not self._is_current(number) or attempt is None:
            return []
        self._evidence().record_answer(attempt, self.last_event)
        drops = [*self._drop_copy(), *self.mover.close("ended")]
        self._release()
        self.is_over = True
        return [Finish(number), *drops]

    def lost(self, number: int, fault: Fault, now_ms: float) -> list[Action]:
        """Handle a failed attempt: resume, retry or fail the stream."""
        if not self._is_current(number):
            return []
        attempt = self.attempt
        assert attempt is not None
        if self.mover.expects_close(number, attempt, fault):
            return self._move(self.mover.source_closed(attempt, now_ms), now_ms)
        self._release()
        self._record_fault(attempt, fault, now_ms)
        if fault.is_not_run:
            return self._after_rejection(attempt, fault, now_ms)
        is_broken = fault is Fault.BROKEN
        is_cut_off = is_broken or self._is_cut_off(attempt, fault)
        self.counts.record_lost(is_cut_off=is_cut_off, is_in_doubt=is_broken)
        if is_broken and self.route.is_resumable:
            self._broken = attempt
            return self._resume_broken(now_ms)
        return self._resume(attempt, fault, now_ms)

    def upstream_crashed(self) -> None:
        """Count an upstream that had crashed when its connection broke."""
        self.counts.n_crashes += 1

    def broken_probed(
        self, number: int, is_responding: bool, now_ms: float
    ) -> list[Action]:
        """Handle whether the upstream of a broken attempt responds to a probe."""
        self.counts.record_probed(number, is_responding=is_responding)
        return self._resume_broken(now_ms)

    def probed(
        self, upstream: Incarnation, is_alive: bool, now_ms: float
    ) -> list[Action]:
        """Handle the result of a probe; abandon the upstream if it is dead."""
        attempt = self.attempt
        if is_alive:
            self.placement.health.record_connection(upstream, now_ms)
        if is_alive or attempt is None or attempt.upstream.incarnation != upstream:
            return []
        if now_ms - attempt.progress_at_ms < attempt.limits.probe_after_ms:
            return []
        return self._abandon_silent(attempt, now_ms)

    def tick(self, now_ms: float) -> list[Action]:
        """Perform what is due: time out, probe, abandon a silent upstream or copy."""
        attempt = self.attempt
        if self.is_over:
            return []
        is_waiting = self.admission.is_waiting
        if now_ms >= self.deadline_ms:
            # What waits has not run.
            failure = Failure.NOT_RUN if is_waiting else Failure.TIMED_OUT
            return self._fail(failure, "deadline")
        if is_waiting and not self.is_blocked():
            return self._send_prompt(now_ms)
        if not self.has_delivered and self.is_blocked():
            return self._end(self._failure().blocked(is_sent=self.counts.n_sent > 0))
        if attempt is not None:
            self._evidence().check_late(attempt, now_ms)
        else:
            is_due = self._search.is_due(now_ms)
            return self._conclude_search(now_ms) if is_due else []
        if not self.route.is_resumable:
            # The stream can't resume elsewhere, and its upstream may still respond.
            return []
        step = self.mover.tick(attempt, self.last_event, now_ms)
        if step is not None:
            return self._move(step, now_ms)
        silent_ms = now_ms - attempt.progress_at_ms
        if silent_ms >= self._silence_limit_ms(attempt, now_ms):
            return self._abandon_silent(attempt, now_ms)
        if silent_ms < attempt.limits.probe_after_ms:
            copy_request = self._copies().maintain(attempt, now_ms)
            return [] if copy_request is None else [copy_request]
        is_due = is_probe_due(attempt, self.options, now_ms)
        return [Probe(attempt.upstream)] if is_due else []

    def copied(
        self, number: int, copy: CopySource | None, now_ms: float
    ) -> list[Action]:
        """Handle the result of a copy request; `copy` is None if it failed."""
        attempt = self.attempt
        if not self._is_current(number) or attempt is None:
            return [DropCopy(copy)] if copy is not None else []
        self._copies().record(attempt, copy, now_ms)
        return []

    def move_called(
        self, call: MoveRun, result: MoveCallResult, now_ms: float
    ) -> list[Action]:
        """Handle the result of a call that copies a run to move it."""
        attempt = None if self.is_over else self.attempt
        step = self.mover.called(call, result, attempt, self.last_event, now_ms)
        return self._move(step, now_ms)

    def process_paused(self, now_ms: float) -> None:
        """Measure silence and the search's time anew after a pause of this process."""
        self.mover.process_paused(now_ms)
        if self.attempt is not None:
            self.attempt.progress_at_ms = now_ms
        self._search.process_paused(now_ms)

    def cancel(self) -> list[Action]:
        """Handle the caller's disconnect: abandon the attempt and drop its copy."""
        number = self.attempt.number if self.attempt else 0
        drops = [*self._drop_copy(), *self.mover.close("caller_left")]
        self._release()
        self.is_over = True
        return [Abandon(number), *drops] if number else drops

    def _check_answered(self, attempt: Attempt, now_ms: float) -> None:
        answered_ms = now_ms - attempt.first_event_at_ms
        if not self.is_answered and answered_ms >= self.options.answered_after_ms:
            self.is_answered = True
            self.on_answered()

    def _is_current(self, number: int) -> bool:
        attempt = self.attempt
        return not self.is_over and attempt is not None and attempt.number == number

    def _copies(self) -> StreamCopies:
        return StreamCopies(self.request.request_id, self.placement, self.options)

    def _silence_limit_ms(self, attempt: Attempt, now_ms: float) -> float:
        return silence_limit_ms(
            attempt,
            self.placement.health,
            self.options,
            now_ms,
            has_copy=self._copies().best(attempt, now_ms) is not None,
        )

    def _drop_copy(self) -> list[Action]:
        attempt = self.attempt
        if attempt is None or attempt.copy is None:
            return []
        return [DropCopy(attempt.copy)]

    def _abandon_silent(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Abandon a silent upstream and resume elsewhere, if a resume is possible.

        Otherwise the attempt is kept: the upstream may still respond, and if the
        connection is dead, that is reported by `lost`.
        """
        is_cut_off = self._is_cut_off(attempt, Fault.SILENT)
        may_return = self._choice().may_return(attempt, now_ms)
        if self._resume_obstacle(may_return=may_return, is_cut_off=is_cut_off):
            return []
        self._release()
        self._record_fault(attempt, Fault.SILENT, now_ms)
        self.counts.record_lost(is_cut_off=is_cut_off)
        return [Abandon(attempt.number), *self._resume(attempt, Fault.SILENT, now_ms)]

    def _is_cut_off(self, attempt: Attempt, fault: Fault) -> bool:
        """Return whether an upstream is silent and may have ended."""
        is_silent = fault is Fault.SILENT
        return is_silent and not has_responded(attempt, self.placement.health)

    def _resume_broken(self, now_ms: float) -> list[Action]:
        """Resume after a broken attempt, unless that depends on a probe."""
        attempt = self._broken
        if attempt is None or self.is_over:
            return []
        awaits_crash = self.options.is_trial and self.counts.has_doubt
        if awaits_crash or self.counts.awaits_probe(self.route.max_attempts):
            return []
        self._broken = None
        return self._resume(attempt, Fault.BROKEN, now_ms)

    def _move(self, step: MoveStep, now_ms: float) -> list[Action]:
        """Perform a step of a move; it may end the attempt and go on from a copy."""
        attempt = self.attempt
        if not step.continues or attempt is None:
            return step.actions
        self._release()
        fault = Fault.BROKEN if step.is_source_lost else None
        if fault is not None:
            self._record_fault(attempt, fault, now_ms)
        following = self._send_moved(now_ms)
        if not following:
            self.counts.record_lost(is_cut_off=True)
            following = self._resume(attempt, Fault.SILENT, now_ms)
        abandon = Abandon(attempt.number, fault, step.is_stopped)
        return [*step.actions, abandon, *following]

    def _send_moved(self, now_ms: float) -> list[Action]:
        """Continue a run that moved; it is the same run, so no retry is charged."""
        copy = self.mover.next_copy(now_ms)
        if copy is None:
            return []
        send = self._send(copy.holder, now_ms, copy)
        self.counts.record_continued()
        return [send]

    def _resume(self, attempt: Attempt, fault: Fault, now_ms: float) -> list[Action]:
        if not self.route.is_resumable:
            return self._fail(Failure.UNKNOWN_OUTCOME, "upstream lost")
        if now_ms >= self.deadline_ms:
            return self._fail(Failure.TIMED_OUT, "deadline")
        choice = self._choice()
        retries_same = choice.may_retry_same(attempt, fault, now_ms)
        may_return = fault is Fault.SILENT or retries_same
        obstacle = self._resume_obstacle(may_return=may_return)
        if obstacle:
            return self._fail(Failure.UNKNOWN_OUTCOME, obstacle)
        self.budget.spend()
        drops = self.mover.source_lost(attempt, now_ms)
        copy = self.mover.next_copy(now_ms) or choice.copy_after_loss(attempt, now_ms)
        if copy is not None:
            return [*drops, self._send(copy.holder, now_ms, copy)]
        if retries_same:
            return [*drops, self._retry_same(attempt, now_ms)]
        return [*drops, *self._send_prompt(now_ms)]

    def _retry_same(self, attempt: Attempt, now_ms: float) -> Send:
        self._retried.add(attempt.upstream.incarnation)
        send = self._send(attempt.upstream, now_ms)
        self.counts.record_continued()
        return send

    def _resume_obstacle(
        self, *, may_return: bool = False, is_cut_off: bool = False
    ) -> str:
        return self.counts.resume_obstacle(
            self.route.max_attempts,
            self.options.max_crashes,
            is_blocked=self.is_blocked(),
            has_budget=self.budget.has_any,
            may_return=may_return,
            is_cut_off=is_cut_off,
        )

    def _after_rejection(
        self, attempt: Attempt, fault: Fault, now_ms: float
    ) -> list[Action]:
        if now_ms >= self.deadline_ms:
            return self._fail(Failure.TIMED_OUT, "deadline")
        moved = self._send_moved(now_ms)
        if moved:
            return moved
        if self.counts.n_crashes >= self.options.max_crashes:
            return self._fail(Failure.UNKNOWN_OUTCOME, "upstreams died in a row")
        is_unreachable = fault is Fault.UNREACHABLE
        if not is_unreachable and not self.counts.has_left(self.route.max_attempts):
            return self._fail_not_served("attempts used up", now_ms)
        self.counts.record_not_run(fault, is_from_copy=attempt.is_from_copy)
        if self.counts.n_rejected > self.options.max_rejections:
            return self._fail_not_served("every upstream turned it away", now_ms)
        if not is_unreachable and not self.budget.spend():
            return self._fail_not_served("retry budget spent", now_ms)
        return self._send_prompt(now_ms)

    def _resume_earlier_run(self, now_ms: float) -> list[Action]:
        copy = self.find_copy(now_ms)
        if copy is None or not self._choice().may_resume_from(copy, now_ms):
            return []
        return [self._send(copy.holder, now_ms, copy)]

    def _is_unproven(
        self, now_ms: float, *, is_searched: bool, has_lists: bool = True
    ) -> bool:
        """Return whether no upstream is certain to continue what the caller has."""
        self.binding.resolve(
            self.service, now_ms, is_searched=is_searched, has_lists=has_lists
        )
        origin = self.binding.origin
        if origin is not None:
            self.service = origin.service
        return self.binding.is_unproven

    def _send_prompt(self, now_ms: float) -> list[Action]:
        self._follow_route()
        prompt_choice = PromptChoice(
            self.admission,
            self._choice(),
            self._evidence(),
            self._failure(),
            self.deadline_ms,
            self.last_event,
        )
        decision = prompt_choice.decide(
            now_ms,
            is_resumed=self.has_delivered or self.counts.n_lost > 0,
            may_have_run=self._may_have_run,
            is_first=not self.counts.n_sent,
        )
        if decision is None:
            return []
        if isinstance(decision, Fail):
            return self._end(decision)
        return [self._send(decision.upstream, now_ms, choice=decision)]

    def _follow_route(self) -> None:
        """Send a stream that has not begun where the configuration in force leads."""
        if self.binding.is_open:
            self.service = self.binding.route.next_service(self.service)

    def _choice(self) -> StreamChoice:
        return StreamChoice(
            self.binding,
            self.placement,
            self._copies(),
            self.service,
            self._tried,
            self._retried,
            self.counts.only_upstreams(self.route.max_attempts),
        )

    def _evidence(self) -> StreamEvidence:
        return StreamEvidence(self.request, self.service, self.placement, self.options)

    def _send(
        self,
        upstream: ListedUpstream,
        now_ms: float,
        copy: CopySource | None = None,
        choice: Choice | None = None,
    ) -> Send:
        sender = StreamSender(
            self.binding,
            self.placement,
            self._evidence(),
            self.admission,
            self.counts,
            self.deadline_ms,
            self.last_event,
        )
        self.attempt, send = sender.send(upstream, now_ms, copy, choice)
        return send

    def _record_fault(self, attempt: Attempt, fault: Fault, now_ms: float) -> None:
        self._tried.add(attempt.upstream.incarnation)
        record_stream_fault(self.placement, attempt, fault, now_ms)

    def _release(self) -> None:
        self.admission.released()
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            remove_load(self.placement, attempt)

    @property
    def _may_have_run(self) -> bool:
        """Return whether this request or one that it takes up may have run."""
        is_lost = self.counts.n_lost > 0 or self.has_delivered
        return is_lost or self.request.is_taken_up

    def _failure(self) -> StreamFailure:
        return StreamFailure(
            self.service,
            self.placement,
            self.options,
            self.deadline_ms,
            may_have_run=self.counts.n_lost > 0 or self.has_delivered,
        )

    def _fail_not_served(self, reason: str, now_ms: float) -> list[Action]:
        return self._end(self._failure().not_served(reason, self._tried, now_ms))

    def _fail(self, failure: Failure, reason: str) -> list[Action]:
        return self._end(Fail(failure, reason))

    def _end(self, fail: Fail) -> list[Action]:
        """Abandon the attempt, if there is one, and end the stream with an error."""
        number = self.attempt.number if self.attempt else 0
        self._release()
        self.is_over = True
        abandon: list[Action] = [Abandon(number)] if number else []
        return [*abandon, *self.mover.close("failed"), fail]
