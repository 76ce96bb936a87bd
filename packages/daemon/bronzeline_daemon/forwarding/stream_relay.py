"""Relay streams event by event, and resume them when upstreams are lost."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.event_splitter import EventSplitter
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import (
    CallerRequest,
    CopySource,
    Fault,
    ResponseHead,
    RunRecord,
    StreamRun,
    WorkspaceKeys,
)

__all__ = ["StreamRelay"]

# Peers expire a record after 5 s, and datagrams may be lost.
SHARE_INTERVAL_MS = 1_500.0


class StreamRelay(Relay):
    """Relay one stream."""

    def __init__(
        self,
        context: RelayContext,
        run: StreamRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        response: CallerResponse,
        hash_of_request: str,
    ) -> None:
        super().__init__(context, run, request, workspace, response, hash_of_request)
        self._run = run
        self._splitters: dict[int, EventSplitter] = {}
        self._failure_bodies: dict[int, list[bytes]] = {}
        self._shared_copy: CopySource | None = None
        self._shared_at_ms = 0.0

    def on_head(self, number: int, head: ResponseHead) -> None:
        """Start the caller's response if the head shows success."""
        if not head.is_success:
            self._failure_bodies[number] = []
            return
        self._splitters[number] = EventSplitter()
        self.response.start(head.status, head.headers)

    def on_data(self, number: int, chunk: bytes) -> None:
        """Pass on the events that the caller lacks; a gap fails the attempt."""
        splitter = self._splitters.get(number)
        if splitter is None:
            self._failure_bodies.setdefault(number, []).append(chunk)
            return
        for event in splitter.feed(chunk):
            event_id = self.context.wire.event_id(event)
            if event_id is None:
                continue
            if self._run.is_gap(number, event_id):
                self._fail_attempt(number, Fault.GARBLED)
                return
            if self._run.accept_event(number, event_id, self.now_ms()):
                self.record_event()
                self.response.write(event)

    def on_complete(self, number: int) -> None:
        """Handle the end of an attempt's response."""
        if number in self._failure_bodies:
            self._end_failure(number)
        elif self._splitters[number].has_partial_event:
            self._fail_attempt(number, Fault.BROKEN)
        else:
            self.perform(self._run.ended(number))

    def on_probe_result(self, upstream: tuple[str, int], is_alive: bool) -> None:
        """Pass the result of a probe to the machine."""
        self.perform(self._run.probed(upstream, is_alive, self.now_ms()))

    def on_copy_result(self, number: int, copy: CopySource | None) -> None:
        """Pass the result of copying a run to the machine."""
        self.perform(self._run.copied(number, copy, self.now_ms()))

    def on_earlier_run_search_ended(self) -> None:
        """Report to the machine that the search for an earlier run is over."""
        self.perform(self._run.earlier_run_search_ended(self.now_ms()))

    def finish(self, number: int) -> None:
        """Complete the caller's response, or send a failure's response."""
        if number not in self._failure_bodies:
            self.response.finish()
            return
        head = self.head_of(number)
        assert head is not None
        self.response.send(
            head.status, head.headers, b"".join(self._failure_bodies[number])
        )

    def after_tick(self, now_ms: float) -> None:
        """Report a new copy to peers, and again before they expire it."""
        copy = self._run.copy(now_ms)
        if copy is None:
            return
        is_recent = now_ms - self._shared_at_ms < SHARE_INTERVAL_MS
        if copy == self._shared_copy and is_recent:
            return
        self._shared_copy, self._shared_at_ms = copy, now_ms
        self.context.peers.share_run(
            RunRecord(
                self._request_hash,
                copy.keeper.upstream_id,
                copy.named_by.upstream_id,
                copy.copy_id,
            )
        )

    def after_end(self) -> None:
        """Report to peers the end of a run whose response is complete."""
        if self._shared_copy is not None and not self.response.is_incomplete:
            self.context.peers.end_run(self._request_hash)

    def on_upstream_died(self) -> None:
        """Count a death among the upstreams that died in a row."""
        self._run.upstream_died()

    def on_process_stall(self) -> None:
        """Exclude the time in which this process did not run from silence."""
        self._run.process_paused(self.now_ms())

    def _fail_attempt(self, number: int, fault: Fault) -> None:
        self._abandon(number)
        self.log_lost(number, fault)
        self.perform(self._run.lost(number, fault, self.now_ms()))

    def _end_failure(self, number: int) -> None:
        """Pass on the failure if nothing was sent yet; otherwise fail the attempt."""
        if self.response.has_started:
            self._fail_attempt(number, Fault.FAILED)
        else:
            self.perform(self._run.ended(number))
