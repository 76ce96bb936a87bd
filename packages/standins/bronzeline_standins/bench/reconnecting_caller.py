"""Call routers like a client that reconnects with its last event id."""

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
    """Record one generation as seen by its caller, over all its connections."""

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
        """Return whether the generation ended or failed."""
        return self.answer.is_done or bool(self.answer.error)

    def gap_after_ms(self, at_ms: float, within_ms: float) -> float | None:
        """Return the longest gap between tokens that starts around a time, in ms."""
        times_ms = self.token_times_ms
        before_ms = [item for item in times_ms if item <= at_ms]
        after_ms = [item for item in times_ms if item > at_ms]
        if not before_ms or not after_ms:
            return None
        n_near = sum(item <= at_ms + within_ms for item in after_ms)
        arrivals_ms = [before_ms[-1], *after_ms[: n_near + 1]]
        return max(after - before for before, after in pairwise(arrivals_ms))

    def n_wrong_tokens(self, model: str) -> int:
        """Return the number of tokens that are missing, repeated or wrong."""
        tokens = self.answer.tokens
        request = engine_request(model, self.prompt, self.max_tokens)
        broken = first_broken_index(request, tokens)
        n_missing = self.max_tokens - len(tokens) if self.answer.is_done else 0
        n_broken = 0 if broken is None else len(tokens) - broken
        return n_broken + abs(n_missing)


class ReconnectingCaller:
    """Run generations, reconnecting to another router when a connection is lost."""

    def __init__(
        self, model: str, api_key: str, ports: ListPorts, random: Random
    ) -> None:
        self._model = model
        self._headers = {"Authorization": f"Bearer {api_key}"}
        self._ports = ports
        self._random = random
        self._http = HttpClient()

    async def run(self, call: GenerationCall) -> None:
        """Run one generation until it ends, fails or has used 12 connections."""
        call.started_at_ms = time.monotonic() * 1000.0
        while not call.is_over and call.n_connections < MAX_CONNECTIONS:
            other_ports = [port for port in self._ports() if port != call.port]
            call.port = self._random.choice(other_ports)
            call.n_connections += 1
            n_refusals = len(call.refusals)
            await self._run_connection(call)
            if not call.is_over:
                was_refused = len(call.refusals) > n_refusals
                await asyncio.sleep(
                    REFUSED_RETRY_AFTER_S if was_refused else RECONNECT_AFTER_S
                )

    async def _run_connection(self, call: GenerationCall) -> None:
        """Read one connection until it ends, is abandoned or is silent for 2.5 s."""
        call.abandoned.clear()
        reader = EventReader(call)
        task = asyncio.ensure_future(self._connect(call, reader))
        while not task.done() and not call.abandoned.is_set():
            await asyncio.wait({task}, timeout=POLL_S)
            if time.monotonic() * 1000.0 - reader.last_chunk_at_ms > SILENCE_LIMIT_MS:
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
    """Parse the events of one connection, with their ids, into a call."""

    def __init__(self, call: GenerationCall) -> None:
        self._call = call
        self._buffer = b""
        self._event_id = ""
        self.is_abandoned = False
        self.last_chunk_at_ms = time.monotonic() * 1000.0

    def feed(self, chunk: bytes) -> None:
        """Parse the next bytes of the stream; ignore them if it was abandoned."""
        if self.is_abandoned:
            return
        self.last_chunk_at_ms = time.monotonic() * 1000.0
        lines = (self._buffer + chunk).split(b"\n")
        self._buffer = lines.pop()
        for line in lines:
            if line.startswith(ID_FIELD):
                self._event_id = line[len(ID_FIELD) :].strip().decode()
            elif line.startswith(DATA_FIELD):
                self._handle_data(line[len(DATA_FIELD) :].strip())

    def error(self) -> dict[str, Any]:
        """Return the error object of a response that is not a stream."""
        body = msgspec.json.decode(self._buffer)
        error: dict[str, Any] = body["error"]
        return error

    def _handle_data(self, data: bytes) -> None:
        call = self._call
        n_tokens = len(call.answer.tokens)
        call.answer.add_event(data)
        if len(call.answer.tokens) > n_tokens:
            call.token_times_ms.append(time.monotonic() * 1000.0)
            call.last_event_id = self._event_id
            if not call.generation_id:
                call.generation_id = msgspec.json.decode(data)["id"]
