"""Serve the engine model over HTTP."""

from __future__ import annotations

import asyncio
import time
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import RequestHandler

from bronzeline_kernel.protocols import EngineRequest, LoadReport
from bronzeline_standins.engine_model import EngineModel, EngineOptions, EngineStream
from bronzeline_standins.server import StandinHandler, StandinServer

__all__ = ["EngineServer"]

DEFAULT_OPTIONS = EngineOptions()
FENCED_STATUS = 409
SUPERSEDED = "superseded"


class EngineServer(StandinServer):
    """Serve one engine and step its model in real time."""

    def __init__(
        self, upstream_id: str, options: EngineOptions = DEFAULT_OPTIONS, port: int = 0
    ) -> None:
        super().__init__(port)
        self.upstream_id = upstream_id
        self.options = options
        self.model = EngineModel(options)
        self.step_done = asyncio.Condition()
        self._load_reports: list[LoadReport] = []
        self._step_task: asyncio.Task[None] | None = None

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the handlers of the engine's API."""
        options = {"server": self}
        return [
            (r"/generate", GenerateHandler, options),
            (r"/streams/(.+)", StreamHandler, options),
            (r"/load", LoadHandler, options),
        ]

    def start(self) -> None:
        """Listen on the port and step a new model."""
        super().start()
        self.model = EngineModel(self.options)
        self._step_task = asyncio.get_running_loop().create_task(self._run_steps())

    def die(self) -> None:
        """Close every connection and stop the model, which loses its streams."""
        super().die()
        if self._step_task is not None:
            self._step_task.cancel()

    def load_report(self) -> LoadReport:
        """Return the newest report at least `load_lag_ms` old, else an empty one."""
        latest_ms = _now_ms() - self.faults.load_lag_ms
        old_enough = [
            item for item in self._load_reports if item.measured_at_ms <= latest_ms
        ]
        return (
            old_enough[-1]
            if old_enough
            else LoadReport(self.upstream_id, 0.0, 0, 0, self.options.n_slots)
        )

    async def _run_steps(self) -> None:
        next_ms = _now_ms()
        while True:
            next_ms += self.options.inter_token_ms * self.faults.slow_factor
            await asyncio.sleep(max(0.0, next_ms - _now_ms()) / 1000.0)
            if self.faults.is_paused or self.faults.is_stalled:
                next_ms = _now_ms()
                continue
            self.model.step(_now_ms())
            if self.model.is_killed:
                asyncio.get_running_loop().call_soon(self.die)
                return
            self._record_load()
            async with self.step_done:
                self.step_done.notify_all()

    def _record_load(self) -> None:
        load_report = LoadReport(
            self.upstream_id,
            _now_ms(),
            len(self.model.running),
            len(self.model.queued),
            self.options.n_slots,
        )
        self._load_reports = [*self._load_reports[-500:], load_report]


class EngineStreamHandler(StandinHandler):
    """Write a stream's tokens as server-sent events."""

    server: EngineServer

    async def write_stream(self, stream: EngineStream, index: int) -> None:
        """Write the tokens from an index on until the stream ends or is superseded."""
        self.set_header("Content-Type", "text/event-stream")
        self.fence = stream.fence
        stream.add_follower(self)
        try:
            await self._write_tokens(stream, index)
        except StreamClosedError:
            return
        finally:
            stream.remove_follower(self, _now_ms())
        self.finish()

    def on_connection_close(self) -> None:
        """Stop following the stream, which may then expire."""
        stream: EngineStream | None = getattr(self, "stream", None)
        if stream is not None:
            stream.remove_follower(self, _now_ms())

    async def _write_tokens(self, stream: EngineStream, index: int) -> None:
        while True:
            while self.is_silent:
                await self._wait_for_step()
            end = stream.end
            if self.fence < stream.fence and not self.server.faults.ignores_fence:
                end = SUPERSEDED
            while index < stream.next_index and end != SUPERSEDED:
                self._write_token(stream, index)
                index += 1
            if end:
                self._write_end(stream, end)
                await self.flush()
                return
            await self.flush()
            await self._wait_for_step()

    def refuse_outdated_fence(self, generation_id: str, fence: int) -> bool:
        """Respond 409 to an outdated fencing number; return whether it did."""
        stream = self.server.model.streams.get(generation_id)
        is_outdated = stream is not None and fence < stream.fence
        if not is_outdated or self.server.faults.ignores_fence:
            return False
        self.set_status(FENCED_STATUS)
        self.finish()
        return True

    async def _wait_for_step(self) -> None:
        if self.request.connection.stream.closed():  # type: ignore[union-attr]
            raise StreamClosedError
        async with self.server.step_done:
            await self.server.step_done.wait()

    def _write_token(self, stream: EngineStream, index: int) -> None:
        event = {
            "attempt": stream.request.attempt,
            "index": index,
            "text": stream.token(index),
        }
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")

    def _write_end(self, stream: EngineStream, end: str) -> None:
        event = {
            "attempt": stream.request.attempt,
            "end": end,
            "n_tokens": stream.next_index,
            "n_prompt_tokens": stream.n_prompt_tokens,
        }
        self.write(b"data: " + msgspec.json.encode(event) + b"\n\n")


class GenerateHandler(EngineStreamHandler):
    """Start an attempt at a generation."""

    async def post(self) -> None:
        """Queue the request and stream its tokens."""
        request = msgspec.json.decode(self.request.body, type=EngineRequest)
        if self.refuse_outdated_fence(request.generation_id, request.fence):
            return
        self.stream = self.server.model.submit(request)
        await self.write_stream(self.stream, self.stream.first_index)


class StreamHandler(EngineStreamHandler):
    """Attach to a running attempt or cancel it."""

    async def get(self, generation_id: str) -> None:
        """Stream the tokens from an index on; 404 if the attempt is unknown."""
        stream = self.server.model.streams.get(generation_id)
        attempt = int(self.get_query_argument("attempt"))
        if stream is None or stream.request.attempt != attempt:
            self.set_status(404)
            self.finish()
            return
        fence = int(self.get_query_argument("fence"))
        if self.refuse_outdated_fence(generation_id, fence):
            return
        self.stream = stream
        stream.fence = max(fence, stream.fence)
        await self.write_stream(stream, int(self.get_query_argument("from")))

    def delete(self, generation_id: str) -> None:
        """Cancel a generation."""
        if self.refuse_outdated_fence(
            generation_id, int(self.get_query_argument("fence"))
        ):
            return
        self.server.model.cancel(generation_id)
        self.finish()


class LoadHandler(StandinHandler):
    """Serve the engine's load report, which lags behind its real load."""

    server: EngineServer

    def get(self) -> None:
        """Respond with the report."""
        self.finish(msgspec.to_builtins(self.server.load_report()))


def _now_ms() -> float:
    return time.monotonic() * 1000.0
