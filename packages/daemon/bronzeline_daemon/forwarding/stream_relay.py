"""Relay streams event by event, and resume them when upstreams are lost."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Iterator
from itertools import islice

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.event_format import is_comment, is_event
from bronzeline_daemon.forwarding.event_splitter import EventSplitter
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import (
    CallerRequest,
    CopySource,
    Fault,
    MoveCallResult,
    MoveRun,
    RequestIdentity,
    ResponseHead,
    RunRecord,
    StreamEnd,
    StreamRun,
    WorkspaceKeys,
)

__all__ = ["StreamRelay"]

# Peers expire a record after 5 s, and datagrams may be lost.
SHARE_INTERVAL_MS = 1_500.0
# Datagrams may be lost, and peers may have restarted.
SHARE_ORIGIN_INTERVAL_MS = 3_000.0
# An event holds a few tokens.
MAX_EVENT_BYTES = 64 * 1024
MAX_EVENTS_AT_ONCE = 32
MAX_REPEATED_EVENTS = 1_000
# More than this many bytes are not held back for a caller that does not read.
MAX_UNSENT_BYTES = 64 * 1024


class StreamRelay(Relay):
    """Relay one stream."""

    def __init__(
        self,
        context: RelayContext,
        run: StreamRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        response: CallerResponse,
        identity: RequestIdentity,
    ) -> None:
        super().__init__(context, run, request, workspace, response, identity)
        self._run = run
        run.binding.on_began = lambda origin: self._share_origin(self.now_ms())
        self._splitters: dict[int, EventSplitter] = {}
        self._failed: set[int] = set()
        self._n_repeated_events = 0
        self._end = StreamEnd()
        # The attempt whose head the caller got, and each attempt's last event.
        self._head_number = 0
        self._seen_events: dict[int, int] = {}
        self._shared_copy: CopySource | None = None
        self._shared_at_ms = 0.0
        self._origin_due_ms = 0.0

    def on_head(self, number: int, head: ResponseHead) -> None:
        """Start the caller's response if the head shows success."""
        if not head.is_success:
            self.record_head(number, head)
            self._failed.add(number)
            self.start_buffer(number)
            return
        self._splitters[number] = EventSplitter()
        if not self.response.has_started:
            self._head_number = number
        self.response.start(head.status, head.headers)

    def on_data(self, number: int, chunk: bytes) -> Awaitable[None] | None:
        """Pass on the events that the caller lacks; a gap fails the attempt.

        The caller's unread events are limited: the upstream's next ones wait.
        """
        if number in self._failed:
            self.buffer(number, chunk)
            return None
        events = self._splitters[number].feed(chunk)
        if not self._pass_on(number, events):
            return self._pass_on_rest(number, events)
        if self.response.n_unsent_bytes > MAX_UNSENT_BYTES:
            return self._wait_for_caller()
        return None

    async def _pass_on_rest(self, number: int, events: Iterator[bytes]) -> None:
        """Pass on the events in batches, and let other requests proceed between."""
        is_done = False
        while not is_done:
            await asyncio.sleep(0.0)
            is_done = self._pass_on(number, events)
        if self.response.n_unsent_bytes > MAX_UNSENT_BYTES:
            await self._wait_for_caller()

    async def _wait_for_caller(self) -> None:
        self.is_waiting_for_caller = True
        try:
            await self.response.drain()
        finally:
            self.is_waiting_for_caller = False
            self._samples.restart_gaps()

    def _pass_on(self, number: int, events: Iterator[bytes]) -> bool:
        """Pass on a batch of events; return whether it was the last one."""
        n_events = 0
        for event in islice(events, MAX_EVENTS_AT_ONCE):
            n_events += 1
            if not self._pass_on_event(number, event):
                self.fail_attempt(number, Fault.GARBLED)
                return True
        if n_events == MAX_EVENTS_AT_ONCE:
            return False
        if self._splitters[number].n_buffered_bytes > MAX_EVENT_BYTES:
            self.fail_attempt(number, Fault.TOO_LARGE)
        return True

    def _pass_on_event(self, number: int, event: bytes) -> bool:
        """Write the next event to the caller; return False if the stream is garbled.

        An upstream that resumes a stream may repeat events that the caller has.
        """
        if not is_event(event):
            return False
        event_id = self.context.wire.event_id(event)
        if event_id is None:
            return self._pass_on_unnumbered(number, event)
        if self._run.is_gap(number, event_id):
            return False
        self._seen_events[number] = max(event_id, self._seen_events.get(number, 0))
        if self._run.accept_event(number, event_id, self.now_ms()):
            self.record_event()
            self.record_response(number)
            self.response.write(event)
            return True
        self._n_repeated_events += 1
        return self._n_repeated_events <= MAX_REPEATED_EVENTS

    def _pass_on_unnumbered(self, number: int, event: bytes) -> bool:
        """Write an event without id; return False if it is one of a resumed run.

        Nothing tells whether the caller has such an event already.
        """
        if self._is_own(number):
            self._run.bind(number, self.now_ms())
            self.record_response(number)
            self.response.write(event)
            return True
        return is_comment(event)

    def on_complete(self, number: int) -> None:
        """Handle the end of an attempt's response."""
        if number in self._failed:
            self._end_failure(number)
        elif self._is_stopped(number):
            self._on_lost(number, Fault.BROKEN)
        elif self._splitters[number].has_partial_event:
            self.fail_attempt(number, Fault.BROKEN)
        elif not self._is_end(number):
            self.fail_attempt(number, Fault.EARLY_END)
        else:
            self.perform(self._run.ended(number))

    def on_probe_result(self, upstream: tuple[str, int], is_alive: bool) -> None:
        """Pass the result of a probe to the machine."""
        self.perform(self._run.probed(upstream, is_alive, self.now_ms()))

    def on_copy_result(self, number: int, copy: CopySource | None) -> None:
        """Pass the result of copying a run to the machine."""
        self.perform(self._run.copied(number, copy, self.now_ms()))

    def on_move_result(self, call: MoveRun, result: MoveCallResult) -> None:
        """Pass the result of a call that copies a run to the machine."""
        self.perform(self._run.move_called(call, result, self.now_ms()))

    def on_earlier_run_search_ended(self) -> None:
        """Report to the machine that the search for an earlier run is over."""
        self.perform(self._run.earlier_run_search_ended(self.now_ms()))

    def finish(self, number: int) -> None:
        """Complete the caller's response, or send a failure's response."""
        if number not in self._failed:
            self.response.finish()
            return
        head = self.head_of(number)
        assert head is not None
        self.response.send(head.status, head.headers, self.pop_buffer(number))

    def attempt_fields(self) -> dict[str, object]:
        """Return by what the version is known of a stream that is taken up."""
        is_taken_up = self.request.is_taken_up
        return {"proof": self._run.binding.proof.value} if is_taken_up else {}

    def end_fields(self) -> dict[str, object]:
        """Return what the caller took up; a stream without proof has no attempt."""
        if not self.request.is_taken_up:
            return {}
        return {
            "resumes": self.request.resumes_id,
            "after_event": self.request.after_event,
            **self.attempt_fields(),
        }

    def n_events(self, number: int) -> int:
        """Return how many events the caller got from an attempt."""
        return self._run.n_events(number)

    def unanswered_parts(self) -> tuple[str, ...]:
        """Return the shared parts of a prompt that no upstream has answered yet."""
        return () if self._run.is_answered else self.request.shared_part_ids

    def after_tick(self, now_ms: float) -> None:
        """Report a new copy to peers, and again before they expire it."""
        self._share_origin(now_ms)
        copy = self._run.copy(now_ms)
        if copy is None:
            return
        is_recent = now_ms - self._shared_at_ms < SHARE_INTERVAL_MS
        if copy == self._shared_copy and is_recent:
            return
        self._shared_copy, self._shared_at_ms = copy, now_ms
        self.context.peers.share_run(
            RunRecord(
                self._identity.run_hash,
                copy.holder.upstream_id,
                copy.named_by.upstream_id,
                copy.copy_id,
            )
        )

    def _share_origin(self, now_ms: float) -> None:
        """Record at peers where the stream began, if it may not go on everywhere."""
        binding = self._run.binding
        origin = binding.origin
        if origin is None or now_ms < self._origin_due_ms:
            return
        if binding.is_evident(now_ms):
            return
        self._origin_due_ms = now_ms + SHARE_ORIGIN_INTERVAL_MS
        self.context.origins.share(origin)

    def after_end(self) -> None:
        """Report to peers the end of a run whose response is complete."""
        if self._shared_copy is not None and not self.response.is_incomplete:
            self.context.peers.end_run(self._identity.run_hash)

    def on_upstream_crashed(self) -> None:
        """Count a crash among the upstreams that crashed in a row."""
        self._run.upstream_crashed()

    def on_broken_probed(self, number: int, is_responding: bool) -> None:
        """Pass the result of a broken attempt's probe to the machine."""
        now_ms = self.now_ms()
        self.perform(self._run.broken_probed(number, is_responding, now_ms))

    def on_process_stall(self) -> None:
        """Exclude the time in which this process did not run from silence."""
        self._run.process_paused(self.now_ms())
        self._samples.restart_gaps()

    def log_lost(self, number: int, fault: Fault) -> None:
        """Log and count a failed attempt, unless a move stopped its run."""
        if not self._run.mover.expects_close(number, self._run.attempt, fault):
            super().log_lost(number, fault)

    def _is_stopped(self, number: int) -> bool:
        """Return whether a response without a length ended as a move stopped its run.

        Its end looks like that of a complete response.
        """
        head = self.head_of(number)
        is_framed = head is None or head.is_framed
        return not is_framed and self._run.mover.expects_close(
            number, self._run.attempt
        )

    def _is_own(self, number: int) -> bool:
        """Return whether the caller's whole response comes from this attempt."""
        return number == self._head_number and not self.request.after_event

    def _is_end(self, number: int) -> bool:
        """Return whether a complete response ends the stream."""
        head = self.head_of(number)
        if head is None or self._is_own(number):
            return True
        return self._end.is_proven(
            self._upstream_id,
            self._run.last_event,
            self._seen_events.get(number, 0),
            head.is_framed,
        )

    def _end_failure(self, number: int) -> None:
        """Pass on the failure if nothing was sent yet; otherwise fail the attempt."""
        if self.response.has_started:
            self.fail_attempt(number, Fault.FAILED)
        else:
            self.perform(self._run.ended(number))
