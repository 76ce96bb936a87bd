"""Generate and verify tokens that depend on all the tokens before them."""

from __future__ import annotations

import re
from collections.abc import Iterator, Sequence
from dataclasses import dataclass

from xxhash import xxh64_hexdigest, xxh64_intdigest

from bronzeline_kernel.protocols import EngineRequest

__all__ = [
    "TokenChain",
    "engine_request",
    "first_broken_index",
    "kill_length",
    "natural_length",
    "reference_tokens",
]

WORDS = (
    "thread",
    "satin",
    "stitch",
    "hem",
    "robe",
    "crest",
    "linen",
    "cuff",
    "collar",
    "gold",
    "navy",
    "ivory",
    "hoop",
    "needle",
    "bobbin",
    "proof",
)
TAG_LENGTH = 6
LENGTH_MARKER = re.compile(r"\[length=(\d+)\]")
KILL_MARKER = re.compile(r"\[kill-after=(\d+)\]")


@dataclass(frozen=True)
class ChainKey:
    """Hold the request fields that determine the tokens of a generation."""

    model: str
    version: str
    adapter: str
    prompt: str
    sampling_seed: int
    temperature: float


class TokenChain:
    """Derive each token from a hash of the tokens before it.

    Engines with different salts continue the same prefix differently, as real
    engines do; the tag in each token identifies the prefix that it follows.
    """

    def __init__(self, request: EngineRequest, salt: str = "") -> None:
        key = ChainKey(
            request.model,
            request.version,
            request.adapter,
            request.prompt,
            request.sampling_seed,
            request.temperature,
        )
        self._hash = xxh64_hexdigest(repr(key).encode())
        self._salt = salt
        for token in request.prefix_tokens:
            self.append(token)

    @property
    def tag(self) -> str:
        """Return the tag that the next token must end with."""
        return self._hash[:TAG_LENGTH]

    def append(self, token: str) -> None:
        """Add a token to the prefix."""
        self._hash = xxh64_hexdigest((self._hash + token).encode())

    def next_token(self) -> str:
        """Generate the next token and add it to the prefix."""
        word = WORDS[self._next_hash() % len(WORDS)]
        token = f" {word}.{self.tag}"
        self.append(token)
        return token

    def _next_hash(self) -> int:
        return xxh64_intdigest((self._hash + self._salt).encode())


def engine_request(
    model: str,
    prompt: str,
    max_tokens: int,
    *,
    generation_id: str = "",
    version: str = "1",
) -> EngineRequest:
    """Build a request; fields that don't affect the tokens have defaults."""
    return EngineRequest(
        generation_id=generation_id,
        attempt=1,
        fence=1,
        workspace="",
        model=model,
        version=version,
        adapter="",
        prompt=prompt,
        prefix_tokens=(),
        max_tokens=max_tokens,
        stop=(),
        sampling_seed=0,
        temperature=1.0,
        priority=0,
    )


def natural_length(request: EngineRequest) -> int:
    """Return the number of tokens after which the model stops by itself."""
    match = LENGTH_MARKER.search(request.prompt)
    return int(match.group(1)) if match else request.max_tokens


def kill_length(request: EngineRequest) -> int | None:
    """Return the number of tokens after which the request kills its engine, or None."""
    match = KILL_MARKER.search(request.prompt)
    return int(match.group(1)) if match else None


def reference_tokens(request: EngineRequest, salt: str = "") -> Iterator[str]:
    """Yield the tokens of one uninterrupted run."""
    chain = TokenChain(request, salt)
    text = ""
    for _ in range(min(natural_length(request), request.max_tokens)):
        token = chain.next_token()
        yield token
        text += token
        if any(word in text for word in request.stop):
            return


def first_broken_index(request: EngineRequest, tokens: Sequence[str]) -> int | None:
    """Return the index of the first token that doesn't match its prefix, or None."""
    chain = TokenChain(request)
    for index, token in enumerate(tokens):
        if not token.endswith(f".{chain.tag}"):
            return index
        chain.append(token)
    return None
