"""Relay streams event by event, over the upstreams that are lost."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.event_splitter import EventSplitter
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_parts import RelayParts
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

# Peers forget a record after 5 s, and a datagram may be lost.
SHARE_EVERY_MS = 1_500.0


class StreamRelay(Relay):
    """Run one stream."""

    def __init__(
        self,
        parts: RelayParts,
        run: StreamRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        answer: CallerResponse,
        hash_of_request: str,
    ) -> None:
        super().__init__(parts, run, request, workspace, answer, hash_of_request)
        self._run = run
        self._splitters: dict[int, EventSplitter] = {}
        self._plain: dict[int, list[bytes]] = {}
        self._shared: CopySource | None = None
        self._shared_at_ms = 0.0

    def take_head(self, number: int, head: ResponseHead) -> None:
        """Begin the caller's answer with the first head that is a success."""
        if not head.is_success:
            self._plain[number] = []
            return
        self._splitters[number] = EventSplitter()
        self.answer.start(head.status, head.headers)

    def take_data(self, number: int, chunk: bytes) -> None:
        """Pass on the events that are next."""
        splitter = self._splitters.get(number)
        if splitter is None:
            self._plain.setdefault(number, []).append(chunk)
            return
        for event in splitter.feed(chunk):
            event_id = self.parts.wire.event_id(event)
            if event_id is None:
                continue
            if self._run.is_gap(number, event_id):
                self._lose(number, Fault.GARBLED)
                return
            if self._run.accept_event(number, event_id, self.now_ms()):
                self.note_event()
                self.answer.write(event)

    def take_end(self, number: int) -> None:
        """Take in the end of an attempt's answer."""
        if number in self._plain:
            self._end_plain(number)
        elif self._splitters[number].has_rest:
            self._lose(number, Fault.BROKEN)
        else:
            self.perform(self._run.ended(number))

    def take_probe(self, upstream: tuple[str, int], is_alive: bool) -> None:
        """Take in whether an upstream accepts connections."""
        self.perform(self._run.probed(upstream, is_alive, self.now_ms()))

    def take_copy(self, number: int, copy: CopySource | None) -> None:
        """Take in that a copy of a run was made, or that it could not be."""
        self.perform(self._run.copied(number, copy, self.now_ms()))

    def take_earlier_run(self) -> None:
        """Take in that what is left of an earlier run is known."""
        self.perform(self._run.earlier_run_search_ended(self.now_ms()))

    def finish(self, number: int) -> None:
        """End the caller's answer."""
        if number not in self._plain:
            self.answer.finish()
            return
        head = self.head_of(number)
        assert head is not None
        self.answer.send(head.status, head.headers, b"".join(self._plain[number]))

    def after_tick(self, now_ms: float) -> None:
        """Tell peers of a new copy, and again before they forget it."""
        copy = self._run.copy(now_ms)
        if copy is None:
            return
        is_recent = now_ms - self._shared_at_ms < SHARE_EVERY_MS
        if copy == self._shared and is_recent:
            return
        self._shared, self._shared_at_ms = copy, now_ms
        self.parts.peers.share_run(
            RunRecord(
                self._hash,
                copy.keeper.upstream_id,
                copy.named_by.upstream_id,
                copy.copy_id,
            )
        )

    def after_end(self) -> None:
        """Tell peers of a run whose answer the caller got whole."""
        if self._shared is not None and not self.answer.is_cut:
            self.parts.peers.end_run(self._hash)

    def note_death(self) -> None:
        """Count the upstreams that died in a row."""
        self._run.upstream_died()

    def note_stall(self) -> None:
        """Count no silence for the time in which this process stood still."""
        self._run.process_paused(self.now_ms())

    def _lose(self, number: int, fault: Fault) -> None:
        self._abandon(number)
        self.note_lost(number, fault)
        self.perform(self._run.lost(number, fault, self.now_ms()))

    def _end_plain(self, number: int) -> None:
        """Pass a failure on where nothing was delivered, or go on elsewhere."""
        if self.answer.has_started:
            self._lose(number, Fault.FAILED)
        else:
            self.perform(self._run.ended(number))
