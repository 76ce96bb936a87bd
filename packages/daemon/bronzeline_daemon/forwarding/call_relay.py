"""Relay short calls: the answer goes to the caller once it is whole."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_parts import RelayParts
from bronzeline_kernel.forwarding import (
    CallerRequest,
    CallRun,
    ResponseHead,
    WorkspaceKeys,
)

__all__ = ["CallRelay"]


class CallRelay(Relay):
    """Run one short call."""

    def __init__(
        self,
        parts: RelayParts,
        run: CallRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        answer: CallerResponse,
        hash_of_request: str,
    ) -> None:
        super().__init__(parts, run, request, workspace, answer, hash_of_request)
        self._run = run
        self._chunks: dict[int, list[bytes]] = {}

    def take_head(self, number: int, head: ResponseHead) -> None:
        """Wait for the body."""
        self._chunks[number] = []

    def take_data(self, number: int, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._chunks[number].append(chunk)

    def take_end(self, number: int) -> None:
        """Offer the whole answer to the machine."""
        self.perform(self._run.answered(number, self.now_ms()))

    def finish(self, number: int) -> None:
        """Send the whole answer to the caller."""
        head = self.head_of(number)
        assert head is not None
        self.answer.send(head.status, head.headers, b"".join(self._chunks[number]))
