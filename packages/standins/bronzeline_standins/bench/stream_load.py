"""Keep many token streams open, as a load generator in a process of its own."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

import msgspec

from bronzeline_standins.ports import HOST
from bronzeline_standins.token_chain import engine_request

__all__ = ["StreamLoad", "StreamLoadResult", "StreamTarget"]

TOKEN_FIELD = b'"text":'
EMPTY_TOKEN_FIELD = b'"text":""'
EVENT_END = b"\n\n"
END_OF_CHUNKS = b"0\r\n\r\n"
GAP_BUCKET_MS = 0.25
N_GAP_BUCKETS = 8_000
WARM_UP_SHARE = 0.25
RETRY_S = 0.05


@dataclass(frozen=True)
class StreamTarget:
    """Say where to open streams: directly on engines, or on routers."""

    ports: tuple[int, ...]
    is_router: bool
    key: str
    model: str


@dataclass
class StreamLoadResult:
    """Hold the counts and timings of one load level."""

    n_streams: int
    duration_s: float = 0.0
    n_tokens: int = 0
    n_all_tokens: int = 0
    n_requests: int = 0
    n_failed: int = 0
    first_token_ms: list[float] = field(default_factory=list)
    gap_counts: dict[int, int] = field(default_factory=dict)

    def add_gap(self, gap_ms: float, n: int = 1) -> None:
        """Count `n` gaps between tokens, in buckets of 0.25 ms."""
        bucket = min(N_GAP_BUCKETS, int(gap_ms / GAP_BUCKET_MS))
        self.gap_counts[bucket] = self.gap_counts.get(bucket, 0) + n

    def gap_percentile_ms(self, percent: float) -> float:
        """Return a percentile of the gaps between tokens in milliseconds."""
        n_below = sum(self.gap_counts.values()) * percent / 100.0
        for bucket in sorted(self.gap_counts):
            n_below -= self.gap_counts[bucket]
            if n_below <= 0:
                return (bucket + 1) * GAP_BUCKET_MS
        return 0.0

    def merge(self, other: StreamLoadResult) -> None:
        """Add the result that another process measured at the same time."""
        self.n_streams += other.n_streams
        self.duration_s = max(self.duration_s, other.duration_s)
        self.n_tokens += other.n_tokens
        self.n_all_tokens += other.n_all_tokens
        self.n_requests += other.n_requests
        self.n_failed += other.n_failed
        self.first_token_ms += other.first_token_ms
        for bucket, n in other.gap_counts.items():
            self.gap_counts[bucket] = self.gap_counts.get(bucket, 0) + n

    @property
    def tokens_per_s(self) -> float:
        """Return the number of tokens received per second."""
        return self.n_tokens / self.duration_s

    @property
    def requests_per_s(self) -> float:
        """Return the number of requests that ended per second."""
        return self.n_requests / self.duration_s


class StreamLoad:
    """Keep a number of streams open, replacing each one that ends."""

    def __init__(self, target: StreamTarget, n_streams: int, n_tokens: int) -> None:
        self.result = StreamLoadResult(n_streams)
        self.is_counting = False
        self._target = target
        self._n_tokens = n_tokens
        self._n_started = 0

    async def run(self, duration_s: float, stagger_s: float) -> StreamLoadResult:
        """Open the streams over `stagger_s`, warm up, then count for `duration_s`."""
        callers = []
        for _ in range(self.result.n_streams):
            callers.append(asyncio.ensure_future(self._call_repeatedly()))
            await asyncio.sleep(stagger_s / self.result.n_streams)
        await asyncio.sleep(duration_s * WARM_UP_SHARE)
        started_s = time.monotonic()
        self.is_counting = True
        await asyncio.sleep(duration_s)
        self.is_counting = False
        self.result.duration_s = time.monotonic() - started_s
        for caller in callers:
            caller.cancel()
        await asyncio.gather(*callers, return_exceptions=True)
        return self.result

    async def _call_repeatedly(self) -> None:
        # First requests have different lengths, so that streams do not end together.
        share = (self._n_started % 16 + 1) / 16
        n_tokens = max(1, round(self._n_tokens * share))
        while True:
            is_whole = await self._call(n_tokens)
            if self.is_counting:
                self.result.n_requests += 1
                self.result.n_failed += not is_whole
            if not is_whole:
                await asyncio.sleep(RETRY_S)
            n_tokens = self._n_tokens

    async def _call(self, n_tokens: int) -> bool:
        loop = asyncio.get_running_loop()
        self._n_started += 1
        port = self._target.ports[self._n_started % len(self._target.ports)]
        request = self._request(self._n_started, n_tokens)
        ended: asyncio.Future[bool] = loop.create_future()
        transport, _ = await loop.create_connection(
            lambda: StreamClient(self, request, n_tokens, ended), HOST, port
        )
        try:
            return await ended
        finally:
            transport.close()

    def _request(self, number: int, n_tokens: int) -> bytes:
        target = self._target
        prompt = f"request {number} at {time.monotonic()}"
        if target.is_router:
            path = "/v1/completions"
            body = _router_body(target.model, prompt, n_tokens)
        else:
            path = "/generate"
            body = _engine_body(target.model, prompt, n_tokens)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Authorization: Bearer {target.key}\r\n"
            f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        return head.encode() + body


class StreamClient(asyncio.Protocol):
    """Read one stream, count its tokens and measure the gaps between them."""

    def __init__(
        self,
        load: StreamLoad,
        request: bytes,
        n_tokens: int,
        ended: asyncio.Future[bool],
    ) -> None:
        self._load = load
        self._request = request
        self._n_remaining = n_tokens
        self._ended = ended
        self._started_s = time.monotonic()
        self._last_s = 0.0
        self._buffer = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the request."""
        assert isinstance(transport, asyncio.WriteTransport)
        transport.write(self._request)

    def data_received(self, data: bytes) -> None:
        """Count the tokens of the events that this data completes."""
        buffered = self._buffer + data
        end = buffered.rfind(EVENT_END) + len(EVENT_END)
        self._buffer = buffered[end:]
        n = buffered.count(TOKEN_FIELD, 0, end) - buffered.count(
            EMPTY_TOKEN_FIELD, 0, end
        )
        if n:
            self._count(n)
        if data.endswith(END_OF_CHUNKS):
            self._finish()

    def connection_lost(self, error: Exception | None) -> None:
        """Finish the request, complete or not."""
        self._finish()

    def _count(self, n: int) -> None:
        now_s = time.monotonic()
        self._n_remaining -= n
        result = self._load.result
        result.n_all_tokens += n
        if self._load.is_counting:
            result.n_tokens += n
            if self._last_s:
                result.add_gap((now_s - self._last_s) * 1000.0)
            else:
                result.first_token_ms.append((now_s - self._started_s) * 1000.0)
            if n > 1:
                result.add_gap(0.0, n - 1)
        self._last_s = now_s

    def _finish(self) -> None:
        if not self._ended.done():
            self._ended.set_result(self._n_remaining == 0)


def _router_body(model: str, prompt: str, n_tokens: int) -> bytes:
    return msgspec.json.encode(
        {"model": model, "prompt": prompt, "max_tokens": n_tokens, "stream": True}
    )


def _engine_body(model: str, prompt: str, n_tokens: int) -> bytes:
    return msgspec.json.encode(
        engine_request(model, prompt, n_tokens, generation_id=prompt)
    )
