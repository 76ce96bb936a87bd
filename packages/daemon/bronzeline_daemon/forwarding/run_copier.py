"""Copy runs' memory between engines, and free the copies, in the background."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_daemon.logs import log_event, log_exception
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.forwarding import (
    CallerRequest,
    CopyRun,
    CopySource,
    DropCopy,
    EngineClient,
    MoveCallOutcome,
    MoveCallResult,
    MoveRun,
)

__all__ = ["RunCopier"]

OnCopy = Callable[[int, CopySource | None], None]
OnMoved = Callable[[MoveRun, MoveCallResult], None]


class RunCopier:
    """Request and free copies of runs at engines."""

    def __init__(self, engines: EngineClient) -> None:
        self._engines = engines
        self._tasks = BackgroundTasks()

    def make(self, request: CallerRequest, action: CopyRun, on_copy: OnCopy) -> None:
        """Copy a run to another engine and call back with the copy, or None."""
        self._tasks.start(self._make(request, action, on_copy))

    def move(self, request: CallerRequest, call: MoveRun, on_result: OnMoved) -> None:
        """Copy a run that moves to another engine and call back with the result."""
        self._tasks.start(self._move(request, call, on_result))

    def drop(self, action: DropCopy) -> None:
        """Free a copy; failures are logged."""
        self._tasks.start(self._drop(action))

    async def _make(
        self, request: CallerRequest, action: CopyRun, on_copy: OnCopy
    ) -> None:
        copy = None
        error = ""
        try:
            copy = await self._engines.copy_run(request, action.source, action.holder)
        except UpstreamError as failure:
            error = str(failure)
        log_event(
            "copy_made" if copy else "copy_failed",
            request_id=request.request_id,
            source_id=action.source.upstream_id,
            keeper_id=action.holder.upstream_id,
            error=error,
        )
        on_copy(action.number, copy)

    async def _move(
        self, request: CallerRequest, call: MoveRun, on_result: OnMoved
    ) -> None:
        try:
            result = await self._engines.move_run(request, call)
        except Exception as error:
            # The call may have taken effect, and its stream waits for the result.
            result = MoveCallResult(MoveCallOutcome.UNKNOWN)
            log_exception("move_call_failed", (type(error), error, error.__traceback__))
        on_result(call, result)

    async def _drop(self, action: DropCopy) -> None:
        copy = action.copy
        try:
            await self._engines.drop_copy(copy)
            return
        except UpstreamError as failure:
            # Engines free unused copies themselves after some seconds.
            log_event("copy_not_dropped", copy_id=copy.copy_id, error=str(failure))
        if action.also_at_holder and copy.holder != copy.named_by:
            await self._drop(DropCopy(replace(copy, named_by=copy.holder)))
