"""Relay calls: the caller gets the response once it is complete."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import (
    CallerRequest,
    CallRun,
    Fault,
    RequestIdentity,
    ResponseHead,
    WorkspaceKeys,
)

__all__ = ["CallRelay"]


class CallRelay(Relay):
    """Relay one call and buffer its response until it is complete."""

    def __init__(
        self,
        context: RelayContext,
        run: CallRun,
        request: CallerRequest,
        workspace: WorkspaceKeys | None,
        response: CallerResponse,
        identity: RequestIdentity,
    ) -> None:
        super().__init__(context, run, request, workspace, response, identity)
        self._run = run

    def on_head(self, number: int, head: ResponseHead) -> None:
        """Start to buffer the body of an attempt's response."""
        self.start_buffer(number)

    def on_data(self, number: int, chunk: bytes) -> None:
        """Buffer a chunk of the body."""
        self.buffer(number, chunk)

    def on_complete(self, number: int) -> None:
        """Report to the state machine that an attempt's response is complete."""
        head = self.head_of(number)
        assert head is not None
        if not head.is_failure:
            self.record_response(number)
            self.perform(self._run.answered(number, self.now_ms()))
            return
        self.log_lost(number, Fault.FAILED)
        self.perform(self._run.failed(number, self.now_ms()))

    def finish(self, number: int) -> None:
        """Send the buffered response to the caller."""
        head = self.head_of(number)
        assert head is not None
        self.response.send(head.status, head.headers, self.pop_buffer(number))
