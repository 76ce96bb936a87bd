"""Relay short calls: the answer goes to the caller once it is whole."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_answer import CallerAnswer
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import (
    AnswerHead,
    CallerRequest,
    CallRun,
    WorkspaceKeys,
)

__all__ = ["CallRelay"]


class CallRelay(Relay):
    """Run one short call."""

    def __init__(
        self,
        context: RelayContext,
        run: CallRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        answer: CallerAnswer,
        hash_of_request: str,
    ) -> None:
        super().__init__(context, run, request, workspace, answer, hash_of_request)
        self._run = run
        self._chunks: dict[int, list[bytes]] = {}

    def on_head(self, number: int, head: AnswerHead) -> None:
        """Wait for the body."""
        self._chunks[number] = []

    def on_data(self, number: int, chunk: bytes) -> None:
        """Keep a piece of the body."""
        self._chunks[number].append(chunk)

    def on_complete(self, number: int) -> None:
        """Offer the whole answer to the machine."""
        self.perform(self._run.answered(number, self.now_ms()))

    def finish(self, number: int) -> None:
        """Send the whole answer to the caller."""
        head = self.head_of(number)
        assert head is not None
        self.answer.send(head.status, head.headers, b"".join(self._chunks[number]))
