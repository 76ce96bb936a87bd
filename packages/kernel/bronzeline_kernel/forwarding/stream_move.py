"""Decide the steps by which one live stream moves to another engine.

Addresses upstreams that leave, with two seconds' notice or more, while many long
streams run on them.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

from bronzeline_kernel.forwarding.messages import CopySource
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "MoveCallOutcome",
    "MoveCallResult",
    "MoveNext",
    "MoveOptions",
    "MoveReport",
    "StreamMove",
]


class MoveCallOutcome(Enum):
    """Classify the result of a call that copies a run."""

    COPIED = "copied"
    NO_RUN = "no_run"
    BUSY = "busy"
    NO_ROOM = "no_room"
    # The source certainly did not get the call.
    NOT_SENT = "not_sent"
    # The call may have taken effect.
    UNKNOWN = "unknown"


@dataclass(frozen=True)
class MoveCallResult:
    """Hold the result of a call, with the copy's id and events if they were named."""

    outcome: MoveCallOutcome
    copy_id: str = ""
    n_events: int = 0


class MoveNext(Enum):
    """Tell what is to be done next for a move."""

    WAIT = "wait"
    COPY = "copy"
    # Copy the rest; the source stops the run first.
    STOP = "stop"
    # Close the stream at the source, and send the request to `StreamMove.copies`.
    CONTINUE = "continue"
    # The stream stays at the source.
    STAY = "stay"


class _Stage(Enum):
    COPYING = "copying"
    BACKING_OFF = "backing_off"
    STOPPING = "stopping"
    DRAINING = "draining"
    OVER = "over"


@dataclass(frozen=True)
class MoveOptions:
    """Set the bounds of a move."""

    # Share of the longest gap of the route that the source may take to stop the run
    # and copy the rest; what is left covers the first event of the continued run.
    stop_share: float = 0.5
    # A copy that took longer than this share of the longest gap is repeated, so that
    # little is left to copy while the run is stopped.
    copy_again_share: float = 0.2
    max_copies: int = 3
    # A call in progress ends within this time unless the links are full.
    retry_ms: float = 200.0
    max_retries: int = 2
    # Events that the source sent before it stopped arrive within this time.
    drain_ms: float = 100.0


@dataclass(frozen=True)
class MoveReport:
    """Describe the end of a move; `steps` are pairs of a step and its time."""

    request_id: str
    source_id: str
    destination_id: str
    outcome: str
    n_tokens: int
    rest_ms: float
    steps: tuple[tuple[str, float], ...]
    duration_ms: float


@dataclass
class StreamMove:
    """Move one run: copy, copy again, stop, continue.

    The run is stopped only after a complete copy; until then each failure leaves the
    stream at the source.
    """

    source: ListedUpstream
    destination: ListedUpstream
    max_gap_ms: float
    started_at_ms: float
    options: MoveOptions = field(default_factory=MoveOptions)
    # The copy at the destination; the id is the source's.
    copy: CopySource | None = None
    outcome: str = ""
    # Whether the source confirmed that the run has stopped.
    is_stopped: bool = False
    # Whether the stream at the source closed and the call to stop the run failed.
    is_source_lost: bool = False
    # Whether the copy at the destination is complete enough to go on from.
    is_at_destination: bool = True
    steps: list[tuple[str, float]] = field(default_factory=list)
    _stage: _Stage = _Stage.COPYING
    _is_closed: bool = False
    _is_extended: bool = False
    _n_copies: int = 0
    _n_retries: int = 0
    _n_events: int = 0
    _called_at_ms: float = 0.0
    _due_ms: float = 0.0

    @property
    def is_stopping(self) -> bool:
        """Return whether the run may have been stopped."""
        return self._stage in {_Stage.STOPPING, _Stage.DRAINING}

    @property
    def copies(self) -> list[CopySource]:
        """Return the copies from which the stopped run can go on, the best first."""
        copies = []
        if self.copy is not None and self.is_at_destination:
            copies.append(self.copy)
        if self.copy is not None and self.is_stopped:
            copies.append(CopySource(self.source, self.source, self.copy.copy_id))
        return copies

    def start(self, now_ms: float) -> MoveNext:
        """Begin with a copy, during which the run continues."""
        return self._call_copy(now_ms)

    def call_ended(
        self, result: MoveCallResult, last_event: int, now_ms: float
    ) -> MoveNext:
        """Handle the result of the call that was made last."""
        self._record(result.outcome.value, now_ms)
        if self._stage is _Stage.COPYING:
            return self._copy_ended(result, now_ms)
        if self._stage is _Stage.STOPPING:
            return self._stop_ended(result, last_event, now_ms)
        return MoveNext.WAIT

    def tick(self, last_event: int, now_ms: float) -> MoveNext:
        """Perform what is due."""
        if self._stage is _Stage.DRAINING and last_event >= self._n_events:
            return self._continue(now_ms)
        if now_ms < self._due_ms:
            return MoveNext.WAIT
        if self._stage is _Stage.BACKING_OFF:
            return self._call_copy(now_ms)
        if self._stage is _Stage.DRAINING:
            return self._continue(now_ms)
        if self._stage is _Stage.STOPPING:
            # The run may have stopped or not: closing the stream ends it either way.
            self._record("timed_out", now_ms)
            return self._continue(now_ms)
        return MoveNext.WAIT

    def source_closed(self, now_ms: float) -> MoveNext:
        """Handle the end of the source's stream while the run is being stopped."""
        self._is_closed = True
        self._record("closed", now_ms)
        if self._stage is _Stage.DRAINING:
            return self._continue(now_ms)
        return MoveNext.WAIT

    def process_paused(self, now_ms: float) -> None:
        """Extend the time for a response that may have arrived during a pause.

        It is extended once: pauses are also reported while the caller doesn't read.
        """
        if self._stage is _Stage.STOPPING and not self._is_extended:
            self._is_extended = True
            self._due_ms = now_ms + self.options.stop_share * self.max_gap_ms

    def stay(self, outcome: str) -> MoveNext:
        """End the move; the stream stays where it is."""
        self._stage = _Stage.OVER
        self.outcome = outcome
        return MoveNext.STAY

    def _copy_ended(self, result: MoveCallResult, now_ms: float) -> MoveNext:
        if result.copy_id:
            self.copy = CopySource(self.destination, self.source, result.copy_id)
        if result.outcome in {MoveCallOutcome.BUSY, MoveCallOutcome.UNKNOWN}:
            # Only another call can tell the id of a copy that was made.
            return self._back_off(result, now_ms)
        if result.outcome is not MoveCallOutcome.COPIED:
            return self.stay(result.outcome.value)
        took_ms = now_ms - self._called_at_ms
        is_slow = took_ms > self.options.copy_again_share * self.max_gap_ms
        if is_slow and self._n_copies < self.options.max_copies:
            return self._call_copy(now_ms)
        self._stage = _Stage.STOPPING
        self._due_ms = now_ms + self.options.stop_share * self.max_gap_ms
        self._record("stop", now_ms)
        return MoveNext.STOP

    def _stop_ended(
        self, result: MoveCallResult, last_event: int, now_ms: float
    ) -> MoveNext:
        failures = {MoveCallOutcome.UNKNOWN, MoveCallOutcome.NOT_SENT}
        self.is_source_lost = self._is_closed and result.outcome in failures
        if result.outcome is MoveCallOutcome.UNKNOWN:
            return self._continue(now_ms)
        if result.copy_id:
            self.copy = CopySource(self.destination, self.source, result.copy_id)
            self.is_stopped = True
            self.is_at_destination = result.outcome is MoveCallOutcome.COPIED
            self._n_events = result.n_events
            if self._is_closed or last_event >= result.n_events > 0:
                return self._continue(now_ms)
            self._stage = _Stage.DRAINING
            self._due_ms = now_ms + self.options.drain_ms
            return MoveNext.WAIT
        if self._is_closed:
            return self._continue(now_ms)
        return self.stay(f"not_stopped_{result.outcome.value}")

    def _call_copy(self, now_ms: float) -> MoveNext:
        self._stage = _Stage.COPYING
        self._n_copies += 1
        self._called_at_ms = now_ms
        self._record("copy", now_ms)
        return MoveNext.COPY

    def _back_off(self, result: MoveCallResult, now_ms: float) -> MoveNext:
        if self._n_retries >= self.options.max_retries:
            return self.stay(result.outcome.value)
        self._n_retries += 1
        self._stage = _Stage.BACKING_OFF
        self._due_ms = now_ms + self.options.retry_ms
        return MoveNext.WAIT

    def _continue(self, now_ms: float) -> MoveNext:
        self._stage = _Stage.OVER
        self._record("continue", now_ms)
        return MoveNext.CONTINUE

    def _record(self, step: str, now_ms: float) -> None:
        self.steps.append((step, now_ms - self.started_at_ms))
