"""Answer chat and plain completions, streamed and whole."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from math import ceil
from typing import TYPE_CHECKING

from bronzeline_daemon.generation_service import AnswerEvent, GenerationRun
from bronzeline_daemon.handlers.answer_format import (
    AnswerFormat,
    ChatFormat,
    ChunkWriter,
    TextFormat,
)
from bronzeline_daemon.handlers.answers import Answer, StreamedAnswer, WholeAnswer
from bronzeline_daemon.handlers.base import TIMEOUT_HEADER, CallerHandler
from bronzeline_daemon.handlers.completion_body import (
    CompletionBody,
    check_max_tokens,
    parse_completion,
)
from bronzeline_daemon.handlers.errors import RETRY_AFTER_S
from bronzeline_kernel.exceptions import RequestError
from bronzeline_kernel.generation import EndAnswer, FailAnswer, GenerationSpec
from bronzeline_kernel.routing import WorkClass

if TYPE_CHECKING:
    from bronzeline_daemon.daemon import Daemon

__all__ = ["ChatCompletionsHandler", "CompletionsHandler"]

DEFAULT_MAX_TOKENS = 256
LONG_AFTER_MS = 30_000.0
MS_PER_S = 1_000.0


class CompletionsHandler(CallerHandler):
    """Answer plain completions."""

    answer_format: AnswerFormat = TextFormat()
    run: GenerationRun | None = None
    answer: Answer | None = None

    async def post(self) -> None:
        """Run a generation and answer it."""
        workspace = self.find_workspace()
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
        """Stop the generation when the caller leaves."""
        super().on_connection_close()
        if self.run is not None:
            self.run.on_caller_left()
        if self.answer is not None:
            self.answer.close()

    def initialize(self, daemon: Daemon) -> None:
        """Take the daemon from the application's table."""
        super().initialize(daemon)
        self.early_events: list[AnswerEvent] = []

    @property
    def was_dispatched(self) -> bool:
        """Say whether any engine was given the generation."""
        return self.run is not None and self.run.machine.attempt > 0

    @property
    def retry_after_s(self) -> int:
        """Return when a later try can succeed, as dispatch said."""
        retry_after_ms = self.run.retry_after_ms if self.run else 0.0
        return max(RETRY_AFTER_S, ceil(retry_after_ms / MS_PER_S))

    def prompt_of(self, body: CompletionBody) -> str:
        """Return the prompt that the engine gets."""
        return body.prompt if isinstance(body.prompt, str) else body.prompt[0]

    def _service_of(self, model: str) -> str:
        for name, service in self.daemon.rollout.config.services.items():
            if service.kind == "engine" and model in service.models:
                return name
        message = f"no model {model!r}; GET /v1/models lists them"
        raise RequestError("unknown_model", message, "model")

    def _spec(
        self, workspace: str, service: str, body: CompletionBody
    ) -> GenerationSpec:
        resolve = partial(
            self.daemon.rollout.resolve,
            workspace=workspace,
            service=service,
            model=body.model,
        )
        max_tokens_limit = resolve("max_tokens_limit").value
        check_max_tokens(body, max_tokens_limit)
        max_tokens = body.max_completion_tokens or body.max_tokens
        return GenerationSpec(
            generation_id=self.daemon.generations.make_id(),
            workspace=workspace,
            service=service,
            model=body.model,
            prompt=self.prompt_of(body),
            max_tokens=max_tokens or min(DEFAULT_MAX_TOKENS, max_tokens_limit),
            stop=body.stop_sequences,
            sampling_seed=body.seed or 0,
            temperature=1.0 if body.temperature is None else body.temperature,
            deadline_ms=self.timeout_ms(resolve("generation_deadline_ms").value),
            idempotency_key=self.request.headers.get("Idempotency-Key", ""),
            last_event_id=self.request.headers.get("Last-Event-ID", ""),
        )

    async def _generate(self, spec: GenerationSpec, body: CompletionBody) -> None:
        started_at_ms = time.monotonic() * MS_PER_S
        self.run = self.daemon.generations.start(spec, self._take)
        # A reconnect goes on with the generation that it names.
        spec = self.run.machine.spec
        self.set_header("X-Request-Id", spec.generation_id)
        self.answer = self._make_answer(spec, body)
        for event in self.early_events:
            self.answer.take(event)
        with self._time_limit(spec):
            end = await self.answer.wait()
        duration_ms = time.monotonic() * MS_PER_S - started_at_ms
        is_long = duration_ms > LONG_AFTER_MS
        self.daemon.metrics.request_ended(
            spec.workspace,
            WorkClass.LONG if is_long else WorkClass.SHORT,
            _outcome(end),
            duration_ms,
        )

    @contextmanager
    def _time_limit(self, spec: GenerationSpec) -> Iterator[None]:
        """End the answer at the caller's own limit, where there is one."""
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
        if self.run is not None and self.answer is not None:
            n_delivered = self.run.machine.n_delivered
            self.answer.take(FailAnswer("deadline_passed", n_delivered))
            self.run.on_caller_left()

    def _take(self, event: AnswerEvent) -> None:
        if self.answer is None:
            self.early_events.append(event)
        else:
            self.answer.take(event)

    def _make_answer(self, spec: GenerationSpec, body: CompletionBody) -> Answer:
        writer = ChunkWriter(spec, self.answer_format)
        if body.stream:
            return StreamedAnswer(self, writer, body.must_include_usage)
        return WholeAnswer(self, writer)


class ChatCompletionsHandler(CompletionsHandler):
    """Answer chat completions."""

    answer_format: AnswerFormat = ChatFormat()

    def prompt_of(self, body: CompletionBody) -> str:
        """Return the chat's messages as one prompt."""
        return "\n".join(f"{item.role}: {item.text}" for item in body.messages)


def _outcome(end: object) -> str:
    if isinstance(end, EndAnswer):
        return "whole"
    return end.code if isinstance(end, FailAnswer) else "caller_left"
