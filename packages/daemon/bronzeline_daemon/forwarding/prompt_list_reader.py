"""Read from engines which prompts they have cached."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.forwarding import (
    EngineClient,
    Incarnation,
    ListedUpstream,
    PromptIndex,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["PromptListReader"]


class PromptListReader:
    """Update the index of prompts from engines' lists."""

    def __init__(self, engines: EngineClient, index: PromptIndex, clock: Clock) -> None:
        self._engines = engines
        self._index = index
        self._clock = clock
        self._calls: dict[Incarnation, asyncio.Task[str]] = {}

    async def read(self, request_id: str, upstreams: Sequence[ListedUpstream]) -> None:
        """Read the prompt lists of upstreams; concurrent reads of one share a call."""
        if not upstreams:
            return
        started_at_ms = self._clock.now_ms()
        errors = await asyncio.gather(
            *(self._start_or_join(item) for item in upstreams)
        )
        failed = [error for error in errors if error]
        log_event(
            "prompts_listed",
            request_id=request_id,
            n_asked=len(errors),
            n_failed=len(failed),
            error=failed[0] if failed else "",
            took_ms=round(self._clock.now_ms() - started_at_ms),
        )

    def _start_or_join(self, upstream: ListedUpstream) -> asyncio.Task[str]:
        """Return the running call to an upstream, or start one."""
        incarnation = upstream.incarnation
        call = self._calls.get(incarnation)
        if call is None:
            call = asyncio.create_task(self._read_one(upstream))
            self._calls[incarnation] = call
            call.add_done_callback(lambda done: self._calls.pop(incarnation))
        return call

    async def _read_one(self, upstream: ListedUpstream) -> str:
        """Add an upstream's list to the index; return the error, if any."""
        try:
            tokens = await self._engines.list_prompts(upstream)
        except UpstreamError as error:
            return str(error)
        self._index.put(upstream.incarnation, tokens, self._clock.now_ms())
        return ""
