"""Relate one stream's moves to its attempts, and free every copy that they make.

Addresses streams whose upstream leaves while they run; see `stream_move` for the steps
of a move and `move_plan` for which streams move.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace

from bronzeline_kernel.forwarding.messages import (
    Action,
    CopySource,
    DropCopy,
    Fault,
    MoveRun,
)
from bronzeline_kernel.forwarding.move_plan import MoveNeed, MovePlan
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_move import (
    MoveCallOutcome,
    MoveCallResult,
    MoveNext,
    MoveReport,
    StreamMove,
)
from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["MoveStep", "StreamMover"]

# Streams' events carry six or seven tokens.
TOKENS_PER_EVENT = 7
# After so many failed moves off one upstream a stream stays there.
MAX_FAILED_MOVES = 2
# A call may queue behind other copies for so long.
LONGEST_CALL_MS = 6_000.0


@dataclass(frozen=True)
class MoveStep:
    """Hold what a stream does next because of a move.

    `continues` means that the attempt ends now, and that the stream goes on from
    `StreamMover.next_copy`. `is_source_lost` means that the source probably crashed,
    `is_stopped` that it confirmed the end of the run.
    """

    actions: list[Action] = field(default_factory=list)
    continues: bool = False
    is_source_lost: bool = False
    is_stopped: bool = False


@dataclass
class StreamMover:
    """Drive the moves of one stream; without a plan it never moves."""

    plan: MovePlan | None = None
    binding: StreamBinding | None = None
    max_gap_ms: float = 0.0
    # A request that may end engines is not sent to another one.
    is_blocked: Callable[[], bool] = lambda: False
    _move: StreamMove | None = None
    _need: MoveNeed | None = None
    # A move that has stopped its run, until the stream goes on.
    _ending: StreamMove | None = None
    _move_id: int = 0
    _key: int = 0
    _at_ms: float = 0.0
    # The copies left to try after the source's attempt, the best first.
    _copies: list[CopySource] = field(default_factory=list)
    # The copy that the current attempt goes on from, and whether it sent an event.
    _used: CopySource | None = None
    _has_begun: bool = False
    # The copies that are to be freed unless they are used.
    _held: list[CopySource] = field(default_factory=list)
    _excluded: set[Incarnation] = field(default_factory=set)
    _n_failed: dict[Incarnation, int] = field(default_factory=dict)

    def tick(self, attempt: Attempt, last_event: int, now_ms: float) -> MoveStep | None:
        """Begin a move or perform what is due; None if nothing is to be done."""
        if self.plan is None:
            return None
        self._at_ms = now_ms
        if self._move is not None:
            return self._follow(self._move.tick(last_event, now_ms), attempt)
        if self._held and (self._used is None or self._has_begun):
            unused = [x for x in self._held if not self._is_used(x)]
            if unused:
                self._held = [x for x in self._held if self._is_used(x)]
                return MoveStep(_drops(unused))
        return self._begin(attempt, last_event)

    def called(
        self,
        call: MoveRun,
        result: MoveCallResult,
        attempt: Attempt | None,
        last_event: int,
        now_ms: float,
    ) -> MoveStep:
        """Handle the result of a call; the copy of one that came too late is freed."""
        self._at_ms = now_ms
        move = self._move
        if move is None or attempt is None or call.move_id != self._move_id:
            return MoveStep(self._drop_late(call, result))
        former = move.copy
        following = move.call_ended(result, last_event, now_ms)
        copy = move.copy
        step = self._follow(following, attempt) or MoveStep()
        if former is None or copy is None or former.copy_id == copy.copy_id:
            return step
        # The call made another copy instead of completing the former one.
        return replace(step, actions=[*step.actions, *_drops([former])])

    def expects_close(
        self, number: int, attempt: Attempt | None, fault: Fault = Fault.BROKEN
    ) -> bool:
        """Return whether an attempt's stream ends because its run is being stopped."""
        move = self._move
        is_current = attempt is not None and attempt.number == number
        is_stopping = is_current and move is not None and move.is_stopping
        return is_stopping and fault in {Fault.BROKEN, Fault.EARLY_END}

    def source_closed(self, attempt: Attempt, now_ms: float) -> MoveStep:
        """Handle the end of the stream at a source that stops the run."""
        assert self._move is not None
        self._at_ms = now_ms
        return self._follow(self._move.source_closed(now_ms), attempt) or MoveStep()

    def source_lost(self, attempt: Attempt, now_ms: float) -> list[Action]:
        """Handle the loss of an upstream; keep the copies from which to go on."""
        self._at_ms = now_ms
        move = self._move
        if move is None:
            return []
        if move.copy is None:
            return self._end("source_lost")
        self._keep_copies(move, attempt)
        move.steps.append(("source_lost", now_ms - move.started_at_ms))
        self._end_kept()
        return []

    def next_copy(self, now_ms: float) -> CopySource | None:
        """Return the next copy of a moved run to continue from, None if none is left.

        The source may be among them although it leaves: it holds the stopped run.
        """
        self._used, self._has_begun = None, False
        while self._copies and self.plan is not None and self.binding is not None:
            copy = self._copies.pop(0)
            placement, holder = self.plan.placement, copy.holder
            is_source = copy.holder == copy.named_by and any(
                _is_same(copy, item) for item in self._held
            )
            may_serve = placement.may_holder_serve(holder, now_ms) or (
                is_source and self.plan.may_hold_stopped_run(holder, now_ms)
            )
            if may_serve and self.binding.allows(holder):
                if is_source:
                    # It had its chance to move away.
                    self._n_failed[holder.incarnation] = MAX_FAILED_MOVES
                self._used = copy
                return copy
        return None

    def first_event(self, now_ms: float) -> None:
        """Record that the stream goes on, if it moves: from the copy used last."""
        self._at_ms = now_ms
        if self._ending is not None:
            self._report(self._ending, self._way_on())
        self._has_begun = True
        self._copies.clear()
        # A copy that was used is free. At the source it leaves a copy elsewhere, which
        # is freed when the stream ends: before, that might free the run's own memory.
        self._held = [item for item in self._held if item != self._used]

    def process_paused(self, now_ms: float) -> None:
        """Extend the time for a response that may have arrived during a pause."""
        if self._move is not None:
            self._move.process_paused(now_ms)

    def close(self, outcome: str) -> list[Action]:
        """End the move, if there is one, and free all copies as the stream ends."""
        actions = [] if self._move is None else self._end(outcome)
        if self._ending is not None:
            self._report(self._ending, f"{outcome}_before_continuing")
        held, self._held = self._held, []
        self._copies.clear()
        return [*actions, *_drops(held)]

    def _begin(self, attempt: Attempt, last_event: int) -> MoveStep | None:
        plan, binding, source = self.plan, self.binding, attempt.upstream
        assert plan is not None
        if binding is None or not plan.is_leaving(source):
            return None
        is_ready = attempt.has_events and not attempt.is_copying
        if not is_ready or not binding.allows(source) or self.is_blocked():
            return None
        if self._n_failed.get(source.incarnation, 0) >= MAX_FAILED_MOVES:
            return None
        self._key = self._key or plan.new_key()
        answers = plan.placement.pace(source.service).answers
        need = MoveNeed(
            self._key,
            source,
            binding.request.n_prompt_tokens + TOKENS_PER_EVENT * last_event,
            answers.probable_rest_ms(last_event),
            binding.allows,
            self._excluded,
        )
        destination = plan.find_destination(need, self._at_ms)
        if destination is None:
            return None
        plan.reserve(need, destination)
        self._need = need
        self._move = StreamMove(
            source, destination, self.max_gap_ms, self._at_ms, plan.options
        )
        self._move_id += 1
        return self._follow(self._move.start(self._at_ms), attempt)

    def _follow(self, following: MoveNext, attempt: Attempt) -> MoveStep | None:
        move = self._move
        assert move is not None
        if following is MoveNext.STOP:
            obstacle = self._stop_obstacle(move)
            following = move.stay(obstacle) if obstacle else following
        match following:
            case MoveNext.COPY | MoveNext.STOP:
                # The engine takes one call at a time for a run.
                attempt.copy_due_ms = self._at_ms + LONGEST_CALL_MS
                is_last = following is MoveNext.STOP
                call = MoveRun(self._move_id, move.source, move.destination, is_last)
                return MoveStep([call])
            case MoveNext.CONTINUE:
                self._keep_copies(move, attempt)
                self._end_kept()
                return MoveStep(
                    continues=True,
                    is_source_lost=move.is_source_lost,
                    is_stopped=move.is_stopped,
                )
            case MoveNext.STAY:
                source = move.source.incarnation
                self._n_failed[source] = self._n_failed.get(source, 0) + 1
                if move.outcome == MoveCallOutcome.NO_RUN.value:
                    self._n_failed[source] = MAX_FAILED_MOVES
                self._excluded.add(move.destination.incarnation)
                attempt.copy_due_ms = self._at_ms
                copies = [move.copy, attempt.copy]
                if copies[0] and copies[1] and _is_same(copies[0], copies[1]):
                    # Freeing the move's copy frees this one too.
                    attempt.copy = None
                return MoveStep(self._end(move.outcome))
        return MoveStep() if move.is_stopping else None

    def _stop_obstacle(self, move: StreamMove) -> str:
        """Return why the run may not be stopped to go on at the destination."""
        assert self.plan is not None and self.binding is not None
        if not self.plan.may_begin():
            return "router_stops"
        if self.is_blocked():
            return "quarantined"
        is_allowed = self.binding.allows(move.destination)
        may_receive = self.plan.may_receive(move.destination, self._at_ms)
        return "" if is_allowed and may_receive else "destination_lost"

    def _keep_copies(self, move: StreamMove, attempt: Attempt) -> None:
        """Keep the copies of the source's attempt: those of the move, then backups."""
        assert self.binding is not None
        others = attempt.copies(self.binding.request.request_id)
        self._copies = [*move.copies, *others]
        self._held = [move.copy] if move.copy is not None else []
        if attempt.copy is not None and attempt.copy != move.copy:
            self._held.append(attempt.copy)

    def _end(self, outcome: str) -> list[Action]:
        """End a move whose stream stays or has ended, and free its copy."""
        move = self._move
        assert move is not None
        self._report(move, outcome)
        self._release()
        return [] if move.copy is None else _drops([move.copy])

    def _end_kept(self) -> None:
        """End a move whose copies are needed now; it is reported once one is used."""
        self._ending = self._move
        self._release()

    def _release(self) -> None:
        assert self.plan is not None
        self._move = None
        self.plan.release(self._key)

    def _report(self, move: StreamMove, outcome: str) -> None:
        need, plan = self._need, self.plan
        assert need is not None and plan is not None and self.binding is not None
        self._ending = None
        duration_ms = self._at_ms - move.started_at_ms
        plan.on_end(
            MoveReport(
                self.binding.request.request_id,
                move.source.upstream_id,
                move.destination.upstream_id,
                outcome,
                need.n_tokens,
                need.rest_ms,
                tuple(move.steps),
                duration_ms,
            )
        )

    def _way_on(self) -> str:
        """Return from what the stream goes on after a move."""
        used = self._used
        if used is None:
            return "prompt_read_again"
        if any(item == used for item in self._held):
            return "moved"
        return "returned" if any(_is_same(used, x) for x in self._held) else "backup"

    def _is_used(self, copy: CopySource) -> bool:
        return self._used is not None and _is_same(self._used, copy)

    def _drop_late(self, call: MoveRun, result: MoveCallResult) -> list[Action]:
        """Free a copy that was named after its move had ended, unless it is needed."""
        copy = CopySource(call.destination, call.source, result.copy_id)
        is_held = any(_is_same(copy, item) for item in self._held)
        if not result.copy_id or is_held or self._is_used(copy):
            return []
        return _drops([copy])


def _is_same(one: CopySource, other: CopySource) -> bool:
    """Return whether two places hold the same copy, as its source names it."""
    return (one.named_by, one.copy_id) == (other.named_by, other.copy_id)


def _drops(copies: Iterable[CopySource]) -> list[Action]:
    return [DropCopy(copy, also_at_holder=True) for copy in copies]
