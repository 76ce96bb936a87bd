"""Call routers as a usual client that reconnects with its last event id."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random
from typing import Any

import msgspec

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_standins.caller import StreamedCompletion
from bronzeline_standins.ports import HOST
from bronzeline_standins.token_chain import engine_request, first_broken_index

__all__ = ["GenerationCall", "ReconnectingCaller"]

ID_FIELD = b"id:"
DATA_FIELD = b"data:"
TIMEOUT_MS = 120_000.0
RECONNECT_AFTER_S = 0.02
REFUSED_RETRY_AFTER_S = 0.5
MAX_CONNECTIONS = 12
POLL_S = 0.05
SILENCE_LIMIT_MS = 2_500.0
RETRIED_STATUSES = (200, 429, 503)

ListPorts = Callable[[], list[int]]


@dataclass
class GenerationCall:
    """Hold one generation as its caller sees it."""

    key: str
    prompt: str
    max_tokens: int
    answer: StreamedCompletion = field(default_factory=StreamedCompletion)
    token_times_ms: list[float] = field(default_factory=list)
    last_event_id: str = ""
    generation_id: str = ""
    refusals: list[str] = field(default_factory=list)
    port: int = 0
    n_connections: int = 0
    started_at_ms: float = 0.0
    abandoned: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def is_over(self) -> bool:
        """Say whether the answer ended or failed."""
        return self.answer.is_done or bool(self.answer.error)

    def gap_after_ms(self, at_ms: float, within_ms: float) -> float | None:
        """Return the longest gap in the output that begins around a time."""
        times_ms = self.token_times_ms
        before_ms = [item for item in times_ms if item <= at_ms]
        after_ms = [item for item in times_ms if item > at_ms]
        if not before_ms or not after_ms:
            return None
        n_near = sum(item <= at_ms + within_ms for item in after_ms)
        known_ms = [before_ms[-1], *after_ms[: n_near + 1]]
        return max(after - before for before, after in pairwise(known_ms))

    def n_wrong(self, model: str) -> int:
        """Count the tokens that are missing, repeated or mixed."""
        tokens = self.answer.tokens
        request = engine_request(model, self.prompt, self.max_tokens)
        broken = first_broken_index(request, tokens)
        n_missing = self.max_tokens - len(tokens) if self.answer.is_done else 0
        n_broken = 0 if broken is None else len(tokens) - broken
        return n_broken + abs(n_missing)


class ReconnectingCaller:
    """Run generations over any number of connections."""

    def __init__(
        self, model: str, api_key: str, ports: ListPorts, random: Random
    ) -> None:
        self._model = model
        self._headers = {"Authorization": f"Bearer {api_key}"}
        self._ports = ports
        self._random = random
        self._http = HttpClient()

    async def run(self, call: GenerationCall) -> None:
        """Follow one generation to its end."""
        call.started_at_ms = time.monotonic() * 1000.0
        while not call.is_over and call.n_connections < MAX_CONNECTIONS:
            others = [port for port in self._ports() if port != call.port]
            call.port = self._random.choice(others)
            call.n_connections += 1
            n_refusals = len(call.refusals)
            await self._follow(call)
            if not call.is_over:
                was_refused = len(call.refusals) > n_refusals
                await asyncio.sleep(
                    REFUSED_RETRY_AFTER_S if was_refused else RECONNECT_AFTER_S
                )

    async def _follow(self, call: GenerationCall) -> None:
        """Follow one connection until it ends or is silent for too long."""
        call.abandoned.clear()
        reader = EventReader(call)
        task = asyncio.ensure_future(self._connect(call, reader))
        while not task.done() and not call.abandoned.is_set():
            await asyncio.wait({task}, timeout=POLL_S)
            if time.monotonic() * 1000.0 - reader.moved_at_ms > SILENCE_LIMIT_MS:
                call.abandoned.set()
        reader.is_abandoned = not task.done()
        task.add_done_callback(lambda _: None)

    async def _connect(self, call: GenerationCall, reader: EventReader) -> None:
        with suppress(UpstreamError):
            await self._post(call, reader)

    async def _post(self, call: GenerationCall, reader: EventReader) -> None:
        headers = dict(self._headers)
        if call.key:
            headers["Idempotency-Key"] = call.key
        if call.last_event_id:
            headers["Last-Event-ID"] = call.last_event_id
        body = {
            "model": self._model,
            "prompt": call.prompt,
            "max_tokens": call.max_tokens,
            "stream": True,
        }
        response = await self._http.call(
            f"http://{HOST}:{call.port}/v1/completions",
            method="POST",
            headers=headers,
            body=msgspec.json.encode(body),
            timeout_ms=TIMEOUT_MS,
            on_chunk=reader.feed,
        )
        if response.code == 200 or reader.is_abandoned:
            return
        error = reader.error()
        call.refusals.append(str(error.get("code", "")))
        if response.code not in RETRIED_STATUSES:
            call.answer.error = error


class EventReader:
    """Read events with their ids into one call."""

    def __init__(self, call: GenerationCall) -> None:
        self._call = call
        self._rest = b""
        self._event_id = ""
        self.is_abandoned = False
        self.moved_at_ms = time.monotonic() * 1000.0

    def feed(self, chunk: bytes) -> None:
        """Take the next bytes of the stream, unless it was given up."""
        if self.is_abandoned:
            return
        self.moved_at_ms = time.monotonic() * 1000.0
        lines = (self._rest + chunk).split(b"\n")
        self._rest = lines.pop()
        for line in lines:
            if line.startswith(ID_FIELD):
                self._event_id = line[len(ID_FIELD) :].strip().decode()
            elif line.startswith(DATA_FIELD):
                self._take(line[len(DATA_FIELD) :].strip())

    def error(self) -> dict[str, Any]:
        """Return the error of an answer that is no stream."""
        body = msgspec.json.decode(self._rest)
        error: dict[str, Any] = body["error"]
        return error

    def _take(self, data: bytes) -> None:
        call = self._call
        n_tokens = len(call.answer.tokens)
        call.answer.add_event(data)
        if len(call.answer.tokens) > n_tokens:
            call.token_times_ms.append(time.monotonic() * 1000.0)
            call.last_event_id = self._event_id
            if not call.generation_id:
                call.generation_id = msgspec.json.decode(data)["id"]
