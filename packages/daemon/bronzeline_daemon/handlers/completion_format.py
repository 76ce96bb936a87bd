"""Encode completion responses in the OpenAI-compatible JSON and SSE format."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec

from bronzeline_daemon.handlers.errors import ErrorBody, ErrorDetail
from bronzeline_kernel.generation import EndAnswer, GenerationSpec

__all__ = ["ChatFormat", "ChunkEncoder", "CompletionFormat", "TextFormat"]

DONE = b"data: [DONE]\n\n"
TEXT_PLACEHOLDER = "\x00"
ENCODED_PLACEHOLDER = msgspec.json.encode(TEXT_PLACEHOLDER)

encode_json = msgspec.json.Encoder().encode


class CompletionFormat(Protocol):
    """Build the `choices` entries, which differ for chat and text completions."""

    whole_object: str
    chunk_object: str

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a response that is not streamed."""

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of a streamed chunk with one token."""

    def first_choice(self) -> dict[str, Any] | None:
        """Return the choice of the first chunk, or None if the format has none."""

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice of the last chunk, which carries the finish reason."""


class TextFormat:
    """Build the choices of text completions."""

    whole_object = "text_completion"
    chunk_object = "text_completion"

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a response that is not streamed."""
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of a streamed chunk with one token."""
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": None}

    def first_choice(self) -> None:
        """Return None: a text completion starts with its first token."""

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice of the last chunk, which carries the finish reason."""
        return {"index": 0, "text": "", "logprobs": None, "finish_reason": reason}


class ChatFormat:
    """Build the choices of chat completions."""

    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a response that is not streamed."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": reason}

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of a streamed chunk with one token."""
        return {"index": 0, "delta": {"content": text}, "finish_reason": None}

    def first_choice(self) -> dict[str, Any]:
        """Return the choice that sets the role of the message to assistant."""
        delta = {"role": "assistant", "content": ""}
        return {"index": 0, "delta": delta, "finish_reason": None}

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice of the last chunk, which carries the finish reason."""
        return {"index": 0, "delta": {}, "finish_reason": reason}


@dataclass(frozen=True)
class Usage:
    """Hold the token counts of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChunkEncoder:
    """Encode one response; the bytes around each token are built only once."""

    def __init__(
        self, spec: GenerationSpec, completion_format: CompletionFormat
    ) -> None:
        self._format = completion_format
        self._envelope = {
            "id": spec.generation_id,
            "object": completion_format.chunk_object,
            "created": int(time.time()),
            "model": spec.model,
        }
        template = _event(self._chunk(completion_format.chunk_choice(TEXT_PLACEHOLDER)))
        self._before_text, self._after_text = template.split(ENCODED_PLACEHOLDER)

    def token(self, event_id: str, text: str) -> bytes:
        """Return the server-sent event of one token with its event id."""
        return b"id: %b\n%b%b%b" % (
            event_id.encode(),
            self._before_text,
            encode_json(text),
            self._after_text,
        )

    def first(self) -> bytes:
        """Return the event of the first chunk; empty if the format has none."""
        choice = self._format.first_choice()
        return b"" if choice is None else _event(self._chunk(choice))

    def end(self, end: EndAnswer, must_include_usage: bool) -> bytes:
        """Return the closing events: finish reason, usage if requested, `[DONE]`."""
        usage = _usage(end)
        final = self._chunk(self._format.final_choice(end.reason))
        events = [_event({**final, "usage": usage})]
        if must_include_usage:
            chunk = {**self._envelope, "choices": [], "usage": usage}
            events.append(_event(chunk))
        return b"".join((*events, DONE))

    def failure(self, detail: ErrorDetail) -> bytes:
        """Return the error event that ends a failed stream."""
        return _event(ErrorBody(detail))

    def whole(self, text: str, end: EndAnswer) -> bytes:
        """Return the JSON body of a response that is not streamed."""
        choice = self._format.whole_choice(text, end.reason)
        body = {
            **self._envelope,
            "object": self._format.whole_object,
            "choices": [choice],
            "usage": _usage(end),
        }
        return encode_json(body)

    def _chunk(self, choice: dict[str, Any]) -> dict[str, Any]:
        return {**self._envelope, "choices": [choice]}


def _usage(end: EndAnswer) -> Usage:
    n_total = end.n_prompt_tokens + end.n_tokens
    return Usage(end.n_prompt_tokens, end.n_tokens, n_total)


def _event(data: object) -> bytes:
    return b"data: " + encode_json(data) + b"\n\n"
