"""Simulate an engine with continuous batching, without I/O."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from bronzeline_kernel.protocols import EngineRequest
from bronzeline_standins.token_chain import TokenChain, kill_length, natural_length

__all__ = ["EngineModel", "EngineOptions", "EngineStream"]

CHARACTERS_PER_TOKEN = 4


@dataclass(frozen=True)
class EngineOptions:
    """Set the capacity and speed of one engine."""

    n_slots: int = 16
    inter_token_ms: float = 20.0
    prompt_tokens_per_s: float = 8_000.0
    n_cached_prompts: int = 64
    linger_ms: float = 15_000.0
    salt: str = ""


@dataclass
class EngineStream:
    """Hold a generation that is queued, running or ended in the engine."""

    request: EngineRequest
    chain: TokenChain
    n_prompt_tokens: int
    tokens: list[str] = field(default_factory=list)
    ready_at_ms: float | None = None
    detached_at_ms: float | None = None
    end: str = ""
    fence: int = 0
    followers: set[object] = field(default_factory=set)

    @property
    def first_index(self) -> int:
        """Return the index of the first token that this attempt computes."""
        return len(self.request.prefix_tokens)

    @property
    def next_index(self) -> int:
        """Return the index of the next token to compute."""
        return self.first_index + len(self.tokens)

    def token(self, index: int) -> str:
        """Return the token at an index, which may lie in the prefix."""
        if index < self.first_index:
            return self.request.prefix_tokens[index]
        return self.tokens[index - self.first_index]

    def add_follower(self, follower: object) -> None:
        """Add a follower; a stream with followers doesn't expire."""
        self.followers.add(follower)
        self.detached_at_ms = None

    def remove_follower(self, follower: object, now_ms: float) -> None:
        """Remove a follower; without any, the stream expires after `linger_ms`."""
        self.followers.discard(follower)
        if not self.followers and self.detached_at_ms is None:
            self.detached_at_ms = now_ms

    def has_stop_string(self) -> bool:
        """Return whether the text contains a stop string, which may span tokens."""
        if not self.request.stop or not self.next_index:
            return False
        n_characters = max(len(item) for item in self.request.stop)
        tail = ""
        last = self.token(self.next_index - 1)
        index = self.next_index - 1
        while index >= 0 and len(tail) < n_characters + len(last):
            tail = self.token(index) + tail
            index -= 1
        return any(item in tail for item in self.request.stop)


class EngineModel:
    """Run streams in a limited number of slots, one token per stream and step."""

    def __init__(self, options: EngineOptions) -> None:
        self.options = options
        self.streams: dict[str, EngineStream] = {}
        self.running: dict[str, EngineStream] = {}
        self.queued: list[EngineStream] = []
        self.n_prompt_tokens_processed = 0
        self.n_tokens_computed = 0
        self.is_killed = False
        self._cached_prompts: OrderedDict[str, None] = OrderedDict()

    def submit(self, request: EngineRequest) -> EngineStream:
        """Queue a request and cancel an older attempt at the same generation."""
        self.cancel(request.generation_id)
        n_prompt = len(request.prompt) // CHARACTERS_PER_TOKEN + 1
        chain = TokenChain(request, self.options.salt)
        stream = EngineStream(request, chain, n_prompt, fence=request.fence)
        self.streams[request.generation_id] = stream
        self.queued.append(stream)
        self.queued.sort(key=lambda item: -item.request.priority)
        return stream

    def cancel(self, generation_id: str) -> None:
        """Cancel a generation that is queued or running."""
        stream = self.streams.get(generation_id)
        if stream is not None and not stream.end:
            self._end_stream(stream, "cancelled")

    def step(self, now_ms: float) -> list[EngineStream]:
        """Compute one token for each ready stream; return the streams that advanced."""
        self._remove_detached(now_ms)
        self._fill_slots(now_ms)
        advanced = []
        for stream in list(self.running.values()):
            if stream.ready_at_ms is None or stream.ready_at_ms > now_ms:
                continue
            self._compute_token(stream)
            advanced.append(stream)
        return advanced

    def _fill_slots(self, now_ms: float) -> None:
        while self.queued and len(self.running) < self.options.n_slots:
            stream = self.queued.pop(0)
            stream.ready_at_ms = now_ms + self._prompt_ms(stream)
            self.running[stream.request.generation_id] = stream

    def _prompt_ms(self, stream: EngineStream) -> float:
        prompt = stream.request.prompt
        n_uncached = len(stream.request.prefix_tokens)
        if prompt not in self._cached_prompts:
            n_uncached += stream.n_prompt_tokens
        self._cached_prompts[prompt] = None
        self._cached_prompts.move_to_end(prompt)
        if len(self._cached_prompts) > self.options.n_cached_prompts:
            self._cached_prompts.popitem(last=False)
        self.n_prompt_tokens_processed += n_uncached
        return n_uncached * 1000.0 / self.options.prompt_tokens_per_s

    def _compute_token(self, stream: EngineStream) -> None:
        request = stream.request
        limit = min(natural_length(request), request.max_tokens)
        kill_after = kill_length(request)
        if kill_after is not None and stream.next_index >= kill_after:
            self.is_killed = True
            return
        if stream.next_index < limit and not stream.has_stop_string():
            stream.tokens.append(stream.chain.next_token())
            self.n_tokens_computed += 1
        if stream.has_stop_string():
            self._end_stream(stream, "stop")
        elif stream.next_index >= limit:
            is_natural = limit < request.max_tokens
            self._end_stream(stream, "stop" if is_natural else "length")

    def _end_stream(self, stream: EngineStream, reason: str) -> None:
        stream.end = reason
        self.running.pop(stream.request.generation_id, None)
        if stream in self.queued:
            self.queued.remove(stream)

    def _remove_detached(self, now_ms: float) -> None:
        for generation_id, stream in list(self.streams.items()):
            if stream.detached_at_ms is None:
                continue
            if now_ms - stream.detached_at_ms > self.options.linger_ms:
                self._end_stream(stream, stream.end or "abandoned")
                del self.streams[generation_id]
