"""Serve text and chat completions, streamed or as one body."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from math import ceil

from bronzeline_daemon.generation_service import AnswerEvent, GenerationRun
from bronzeline_daemon.handlers.base import EVENT_HEADER, KEY_HEADER, TIMEOUT_HEADER
from bronzeline_daemon.handlers.completion_body import (
    CompletionBody,
    check_max_tokens,
    parse_completion,
)
from bronzeline_daemon.handlers.completion_format import (
    ChatFormat,
    ChunkEncoder,
    CompletionFormat,
    TextFormat,
)
from bronzeline_daemon.handlers.errors import RETRY_AFTER_S
from bronzeline_daemon.handlers.responses import (
    BufferedResponse,
    GenerationHandler,
    ResponseWriter,
    StreamedResponse,
)
from bronzeline_daemon.router_services import RouterServices
from bronzeline_kernel.exceptions import RequestError
from bronzeline_kernel.generation import EndAnswer, FailAnswer, GenerationSpec
from bronzeline_kernel.routing import WorkClass

__all__ = ["ChatCompletionsHandler", "CompletionsHandler"]

DEFAULT_MAX_TOKENS = 256
LONG_REQUEST_MS = 30_000.0
MS_PER_S = 1_000.0


class CompletionsHandler(GenerationHandler):
    """Serve `/v1/completions`."""

    completion_format: CompletionFormat = TextFormat()
    run: GenerationRun | None = None
    response: ResponseWriter | None = None

    async def post(self) -> None:
        """Validate the request, run its generation and send the response."""
        workspace = self.authenticate()
        if workspace is None:
            return
        try:
            body = parse_completion(self.request.body)
            spec = self._spec(workspace, self._service_of(body.model), body)
        except RequestError as error:
            self.refuse_invalid(error)
            return
        await self._generate(spec, body)

    def on_connection_close(self) -> None:
        """Notify the generation that its caller left and stop writing."""
        super().on_connection_close()
        if self.run is not None:
            self.run.on_caller_left()
        if self.response is not None:
            self.response.close()

    def initialize(self, services: RouterServices) -> None:
        """Store the services and prepare to buffer events until the response exists."""
        super().initialize(services)
        self.early_events: list[AnswerEvent] = []

    @property
    def was_dispatched(self) -> bool:
        """Return whether the generation was sent to any engine."""
        return self.run is not None and self.run.machine.may_have_run

    @property
    def retry_after_s(self) -> int:
        """Return the retry delay in seconds that dispatch suggested, at least 1."""
        retry_after_ms = self.run.retry_after_ms if self.run else 0.0
        return max(RETRY_AFTER_S, ceil(retry_after_ms / MS_PER_S))

    def prompt_of(self, body: CompletionBody) -> str:
        """Return the prompt to send to the engine."""
        return body.prompt if isinstance(body.prompt, str) else body.prompt[0]

    def _service_of(self, model: str) -> str:
        for name, service in self.services.config_distribution.config.services.items():
            if service.kind == "engine" and model in service.models:
                return name
        message = f"no model {model!r}; GET /v1/models lists them"
        raise RequestError("unknown_model", message, "model")

    def _spec(
        self, workspace: str, service: str, body: CompletionBody
    ) -> GenerationSpec:
        resolve = partial(
            self.services.config_distribution.resolve,
            workspace=workspace,
            service=service,
            model=body.model,
        )
        max_tokens_limit = resolve("max_tokens_limit").value
        check_max_tokens(body, max_tokens_limit)
        max_tokens = body.max_completion_tokens or body.max_tokens
        return GenerationSpec(
            generation_id=self.services.generations.make_id(),
            workspace=workspace,
            service=service,
            model=body.model,
            prompt=self.prompt_of(body),
            max_tokens=max_tokens or min(DEFAULT_MAX_TOKENS, max_tokens_limit),
            stop=body.stop_sequences,
            sampling_seed=body.seed or 0,
            temperature=1.0 if body.temperature is None else body.temperature,
            deadline_ms=self.timeout_ms(resolve("generation_deadline_ms").value),
            idempotency_key=self.request.headers.get(KEY_HEADER, ""),
            last_event_id=self.request.headers.get(EVENT_HEADER, ""),
        )

    async def _generate(self, spec: GenerationSpec, body: CompletionBody) -> None:
        started_at_ms = time.monotonic() * MS_PER_S
        self.run = self.services.generations.start(spec, self._on_event)
        # A reconnect with an event id continues the generation that the id names.
        spec = self.run.machine.spec
        self.set_header("X-Request-Id", spec.generation_id)
        self.response = self._make_response(spec, body)
        for event in self.early_events:
            self.response.write_event(event)
        with self._time_limit(spec):
            end = await self.response.wait()
        duration_ms = time.monotonic() * MS_PER_S - started_at_ms
        is_long = duration_ms > LONG_REQUEST_MS
        self.services.metrics.request_ended(
            spec.workspace,
            WorkClass.LONG if is_long else WorkClass.SHORT,
            _outcome(end),
            duration_ms,
        )

    @contextmanager
    def _time_limit(self, spec: GenerationSpec) -> Iterator[None]:
        """Fail the response at the caller's own time limit, if it set one."""
        if TIMEOUT_HEADER not in self.request.headers:
            yield
            return
        loop = asyncio.get_running_loop()
        timer = loop.call_later(spec.deadline_ms / MS_PER_S, self._on_deadline)
        try:
            yield
        finally:
            timer.cancel()

    def _on_deadline(self) -> None:
        if self.run is not None and self.response is not None:
            n_delivered = self.run.machine.n_delivered
            self.response.write_event(FailAnswer("deadline_passed", n_delivered))
            self.run.on_caller_left()

    def _on_event(self, event: AnswerEvent) -> None:
        if self.response is None:
            self.early_events.append(event)
        else:
            self.response.write_event(event)

    def _make_response(
        self, spec: GenerationSpec, body: CompletionBody
    ) -> ResponseWriter:
        encoder = ChunkEncoder(spec, self.completion_format)
        if body.stream:
            return StreamedResponse(self, encoder, body.must_include_usage)
        return BufferedResponse(self, encoder)


class ChatCompletionsHandler(CompletionsHandler):
    """Serve `/v1/chat/completions`."""

    completion_format: CompletionFormat = ChatFormat()

    def prompt_of(self, body: CompletionBody) -> str:
        """Return the messages as one prompt with a `role: text` line each."""
        return "\n".join(f"{item.role}: {item.text}" for item in body.messages)


def _outcome(end: object) -> str:
    if isinstance(end, EndAnswer):
        return "whole"
    return end.code if isinstance(end, FailAnswer) else "caller_left"
