"""Write answers in the form that clients of model servers read."""

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
    """Build the parts in which chat and plain completions differ."""

    whole_object: str
    chunk_object: str

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of one streamed token."""

    def first_choice(self) -> dict[str, Any] | None:
        """Return the choice that opens a stream, where there is one."""

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice that closes a stream."""


class TextFormat:
    """Write plain completions."""

    whole_object = "text_completion"
    chunk_object = "text_completion"

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": reason}

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of one streamed token."""
        return {"index": 0, "text": text, "logprobs": None, "finish_reason": None}

    def first_choice(self) -> None:
        """Return None: a plain completion opens with its first token."""

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice that closes a stream."""
        return {"index": 0, "text": "", "logprobs": None, "finish_reason": reason}


class ChatFormat:
    """Write chat completions."""

    whole_object = "chat.completion"
    chunk_object = "chat.completion.chunk"

    def whole_choice(self, text: str, reason: str) -> dict[str, Any]:
        """Return the choice of a whole answer."""
        message = {"role": "assistant", "content": text}
        return {"index": 0, "message": message, "finish_reason": reason}

    def chunk_choice(self, text: str) -> dict[str, Any]:
        """Return the choice of one streamed token."""
        return {"index": 0, "delta": {"content": text}, "finish_reason": None}

    def first_choice(self) -> dict[str, Any]:
        """Return the choice that names the role of what follows."""
        delta = {"role": "assistant", "content": ""}
        return {"index": 0, "delta": delta, "finish_reason": None}

    def final_choice(self, reason: str) -> dict[str, Any]:
        """Return the choice that closes a stream."""
        return {"index": 0, "delta": {}, "finish_reason": reason}


@dataclass(frozen=True)
class Usage:
    """Count the tokens of one request."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class ChunkEncoder:
    """Write one answer, with the bytes around each token built once."""

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
        """Return the event of one token."""
        return b"id: %b\n%b%b%b" % (
            event_id.encode(),
            self._before_text,
            encode_json(text),
            self._after_text,
        )

    def first(self) -> bytes:
        """Return the event that opens a stream, where there is one."""
        choice = self._format.first_choice()
        return b"" if choice is None else _event(self._chunk(choice))

    def end(self, end: EndAnswer, must_include_usage: bool) -> bytes:
        """Return the events that close a whole answer."""
        usage = _usage(end)
        final = self._chunk(self._format.final_choice(end.reason))
        events = [_event({**final, "usage": usage})]
        if must_include_usage:
            chunk = {**self._envelope, "choices": [], "usage": usage}
            events.append(_event(chunk))
        return b"".join((*events, DONE))

    def failure(self, detail: ErrorDetail) -> bytes:
        """Return the event that ends an answer that can't go on."""
        return _event(ErrorBody(detail))

    def whole(self, text: str, end: EndAnswer) -> bytes:
        """Return the body of an answer that is not streamed."""
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
