"""Write a generation's events to its caller's connection."""

from __future__ import annotations

import asyncio
from typing import Protocol

from bronzeline_daemon.handlers.base import CallerHandler
from bronzeline_daemon.handlers.completion_format import ChunkEncoder
from bronzeline_daemon.handlers.errors import (
    error_kind,
    failure_detail,
)
from bronzeline_kernel.generation import Deliver, EndAnswer, FailAnswer

__all__ = [
    "BufferedResponse",
    "GenerationHandler",
    "ResponseWriter",
    "StreamedResponse",
]

SUPERSEDED = "superseded"

AnswerEvent = Deliver | EndAnswer | FailAnswer


class GenerationHandler(CallerHandler):
    """Handle one request for a generation."""

    @property
    def was_dispatched(self) -> bool:
        """Return whether the generation was sent to any engine."""
        raise NotImplementedError

    @property
    def retry_after_s(self) -> int:
        """Return the retry delay in seconds that dispatch suggested, at least 1."""
        raise NotImplementedError


class ResponseWriter(Protocol):
    """Write a generation's events, in order, as an HTTP response."""

    async def wait(self) -> AnswerEvent | None:
        """Return the final event once it is written; None if the caller left."""

    def write_event(self, event: AnswerEvent) -> None:
        """Write the next event, now or with later ones."""

    def close(self) -> None:
        """Stop writing because the caller closed the connection."""


class StreamedResponse:
    """Stream events; those of one event loop iteration share one write."""

    def __init__(
        self,
        handler: GenerationHandler,
        encoder: ChunkEncoder,
        must_include_usage: bool,
    ) -> None:
        self._handler = handler
        self._encoder = encoder
        self._must_include_usage = must_include_usage
        self._loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[AnswerEvent | None] = self._loop.create_future()
        self._pending: list[bytes] = []
        self._end: EndAnswer | FailAnswer | None = None
        self._is_open = False
        self._is_writing = False

    async def wait(self) -> AnswerEvent | None:
        """Return the final event once it is written; None if the caller left."""
        return await self._ended

    def write_event(self, event: AnswerEvent) -> None:
        """Add an event to the next write; events after the final one are dropped."""
        if self._end is not None or self._ended.done():
            return
        if isinstance(event, Deliver):
            self._pending.append(self._encoder.token(event.event_id, event.text))
        else:
            self._end = event
            self._pending.append(self._closing_bytes(event))
        if not self._is_writing:
            self._is_writing = True
            self._loop.call_soon(self._write)

    def close(self) -> None:
        """Stop writing because the caller closed the connection."""
        if not self._ended.done():
            self._ended.set_result(None)

    def _closing_bytes(self, event: EndAnswer | FailAnswer) -> bytes:
        if isinstance(event, EndAnswer):
            return self._encoder.end(event, self._must_include_usage)
        detail = failure_detail(event.code, event.n_delivered, was_dispatched=True)
        return self._encoder.failure(detail)

    def _write(self) -> None:
        if self._ended.done():
            return
        if isinstance(self._end, FailAnswer) and self._must_end_without_event(
            self._end
        ):
            self._end_without_event(self._end)
            return
        data = b"".join(self._pending)
        self._pending.clear()
        written = self._send(data)
        if written.done():
            self._on_written(written)
        else:
            written.add_done_callback(self._on_written)

    def _send(self, data: bytes) -> asyncio.Future[None]:
        if self._is_open:
            return self._handler.request.connection.write(data)  # type: ignore[union-attr]
        self._is_open = True
        self._handler.set_no_delay()
        self._handler.set_header("Content-Type", "text/event-stream")
        self._handler.set_header("Cache-Control", "no-cache")
        self._handler.write(self._encoder.first() + data)
        return asyncio.ensure_future(self._handler.flush())

    def _on_written(self, written: asyncio.Future[None]) -> None:
        if written.cancelled() or written.exception() is not None:
            self.close()
        elif self._pending:
            self._write()
        elif self._end is not None:
            self._handler.finish()
            self._ended.set_result(self._end)
        else:
            self._is_writing = False

    def _must_end_without_event(self, event: FailAnswer) -> bool:
        has_tokens = self._is_open or len(self._pending) > 1
        return event.code == SUPERSEDED or not has_tokens

    def _end_without_event(self, event: FailAnswer) -> None:
        if self._is_open:
            self._handler.close_connection()
        else:
            finish_failure(self._handler, event)
        self._ended.set_result(event)


class BufferedResponse:
    """Collect the tokens and send them as one JSON body."""

    def __init__(self, handler: GenerationHandler, encoder: ChunkEncoder) -> None:
        self._handler = handler
        self._encoder = encoder
        self._parts: list[str] = []
        loop = asyncio.get_running_loop()
        self._ended: asyncio.Future[AnswerEvent | None] = loop.create_future()

    async def wait(self) -> AnswerEvent | None:
        """Return the final event once it is written; None if the caller left."""
        return await self._ended

    def write_event(self, event: AnswerEvent) -> None:
        """Buffer a token, or finish the response at the final event."""
        if self._ended.done():
            return
        if isinstance(event, Deliver):
            self._parts.append(event.text)
            return
        if isinstance(event, FailAnswer):
            finish_failure(self._handler, event)
        else:
            self._handler.set_header("Content-Type", "application/json")
            self._handler.finish(self._encoder.whole("".join(self._parts), event))
        self._ended.set_result(event)

    def close(self) -> None:
        """Stop writing because the caller closed the connection."""
        if not self._ended.done():
            self._ended.set_result(None)


def finish_failure(handler: GenerationHandler, event: FailAnswer) -> None:
    """Finish with the HTTP status and error body of a failed generation."""
    kind = error_kind(event.code)
    detail = failure_detail(
        event.code,
        event.n_delivered,
        was_dispatched=handler.was_dispatched,
        may_run_elsewhere=handler.may_run_elsewhere,
    )
    retry_after_s = handler.retry_after_s if kind.can_retry else None
    handler.finish_error(kind.status, detail, retry_after_s)
