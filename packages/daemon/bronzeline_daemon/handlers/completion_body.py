"""Parse and validate the bodies of completion requests."""

from __future__ import annotations

from typing import Any

import msgspec

from bronzeline_kernel.exceptions import RequestError

__all__ = ["CompletionBody", "check_max_tokens", "parse_completion"]

MAX_STOP_SEQUENCES = 16
MAX_TEMPERATURE = 2.0
# Values with the same effect as leaving the parameter out.
NEUTRAL_VALUES: dict[str, tuple[Any, ...]] = {
    "n": (1,),
    "best_of": (1,),
    "echo": (False,),
    "suffix": ("",),
    "logprobs": (False, 0),
    "top_logprobs": (0,),
    "logit_bias": ({},),
    "top_p": (1,),
    "presence_penalty": (0,),
    "frequency_penalty": (0,),
    "tools": ([],),
    "tool_choice": ("none", "auto"),
    "functions": ([],),
    "response_format": ({"type": "text"},),
    "modalities": (["text"],),
    "audio": (),
}
# Decoded in a second pass that skips the prompt, so a long one is built only once.
UnsupportedFields = msgspec.defstruct(
    "UnsupportedFields", [(name, Any, None) for name in NEUTRAL_VALUES]
)


class TextPart(msgspec.Struct, frozen=True):
    """Represent one part of a message's content."""

    type: str
    text: str = ""


class ChatMessage(msgspec.Struct, frozen=True):
    """Represent one message of a chat."""

    role: str
    content: str | tuple[TextPart, ...] | None = None

    @property
    def text(self) -> str:
        """Return the content as one string; parts are concatenated."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content or ())


class StreamOptions(msgspec.Struct, frozen=True):
    """Represent the options of a streamed response."""

    include_usage: bool = False


class CompletionBody(msgspec.Struct, frozen=True):
    """Represent the supported fields of a completion request."""

    model: str
    prompt: str | tuple[str, ...] = ""
    messages: tuple[ChatMessage, ...] = ()
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    stream: bool | None = False
    stream_options: StreamOptions | None = None
    stop: str | tuple[str, ...] | None = None
    seed: int | None = None
    temperature: float | None = None

    @property
    def stop_sequences(self) -> tuple[str, ...]:
        """Return the stop sequences as a tuple, also if one string was given."""
        if isinstance(self.stop, str):
            return (self.stop,)
        return self.stop or ()

    @property
    def must_include_usage(self) -> bool:
        """Return whether a stream must end with a chunk of its token usage."""
        return self.stream_options is not None and self.stream_options.include_usage


def parse_completion(data: bytes) -> CompletionBody:
    """Decode and validate a body; raises `RequestError`."""
    try:
        body = msgspec.json.decode(data, type=CompletionBody)
        fields = msgspec.json.decode(data, type=UnsupportedFields)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise RequestError("invalid_body", str(error), None) from None
    _check_supported(fields)
    _check_content(body)
    _check_ranges(body)
    return body


def check_max_tokens(body: CompletionBody, limit: int) -> None:
    """Check the token limits against the allowed maximum; raises `RequestError`."""
    for name in ("max_tokens", "max_completion_tokens"):
        value = getattr(body, name)
        if value is not None and not 1 <= value <= limit:
            text = f"{name} is {value}; give 1 to {limit}"
            raise RequestError("invalid_parameter", text, name)


def _check_supported(fields: msgspec.Struct) -> None:
    for name, defaults in NEUTRAL_VALUES.items():
        value = getattr(fields, name)
        if value is None or value in defaults:
            continue
        message = f"{name} = {value!r} is not supported; leave it out"
        raise RequestError("unsupported_parameter", message, name)


def _check_content(body: CompletionBody) -> None:
    for message in body.messages:
        if isinstance(message.content, str) or message.content is None:
            continue
        for part in message.content:
            if part.type != "text":
                text = f"content of type {part.type!r} is not supported; use text"
                raise RequestError("unsupported_content", text, "messages")
    if not isinstance(body.prompt, str) and len(body.prompt) != 1:
        text = "a list of prompts is not supported; send one request per prompt"
        raise RequestError("unsupported_parameter", text, "prompt")


def _check_ranges(body: CompletionBody) -> None:
    temperature = body.temperature
    if temperature is not None and not 0.0 <= temperature <= MAX_TEMPERATURE:
        text = f"temperature is {temperature}; give 0 to {MAX_TEMPERATURE}"
        raise RequestError("invalid_parameter", text, "temperature")
    sequences = body.stop_sequences
    if len(sequences) > MAX_STOP_SEQUENCES or "" in sequences:
        text = f"give at most {MAX_STOP_SEQUENCES} stop sequences, none empty"
        raise RequestError("invalid_parameter", text, "stop")
