"""Connect to model engines over HTTP and server-sent events."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from bronzeline_daemon.plugins.event_stream import EventStreamParser
from bronzeline_daemon.plugins.http_client import HttpClient, raise_for_status
from bronzeline_kernel.exceptions import (
    StreamBrokenError,
    StreamFencedError,
    StreamNotOpenedError,
    UpstreamRefusedError,
)
from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.plugins import PluginRegistry
from bronzeline_kernel.protocols import (
    EngineRequest,
    EngineStreamEnd,
    LoadReport,
    TokenFrame,
)

__all__ = ["HttpEngine", "register"]

STREAM_TIMEOUT_MS = 3_600_000.0
CONTROL_TIMEOUT_MS = 1_000.0
CONFLICT = 409


class EngineEvent(msgspec.Struct, frozen=True):
    """Represent one event of an engine's stream: a token, or the end."""

    attempt: int
    index: int = -1
    text: str = ""
    end: str = ""
    n_tokens: int = 0
    n_prompt_tokens: int = 0


class HttpEngine:
    """Run, attach to and cancel generations on engines."""

    def __init__(self) -> None:
        self._client = HttpClient()
        self._decoder = msgspec.json.Decoder(EngineEvent)

    async def generate(
        self,
        upstream: Upstream,
        request: EngineRequest,
        on_frame: Callable[[TokenFrame], None],
    ) -> EngineStreamEnd:
        """Run an attempt, call back for each token and return its end."""
        url = f"{_base_url(upstream)}/generate"
        return await self._read_stream(
            url, "POST", msgspec.json.encode(request), on_frame
        )

    async def attach(
        self,
        upstream: Upstream,
        generation_id: str,
        attempt: int,
        fence: int,
        from_index: int,
        on_frame: Callable[[TokenFrame], None],
    ) -> EngineStreamEnd:
        """Attach to a running attempt from a token index on and return its end."""
        query = f"attempt={attempt}&fence={fence}&from={from_index}"
        url = f"{_base_url(upstream)}/streams/{generation_id}?{query}"
        return await self._read_stream(url, "GET", None, on_frame)

    async def cancel(self, upstream: Upstream, generation_id: str, fence: int) -> None:
        """Cancel a generation on the engine; responses with errors are ignored."""
        url = f"{_base_url(upstream)}/streams/{generation_id}?fence={fence}"
        await self._client.call(url, method="DELETE", timeout_ms=CONTROL_TIMEOUT_MS)

    async def load_report(self, upstream: Upstream) -> LoadReport:
        """Return the engine's load report, which may lag behind its load."""
        response = await self._client.call(
            f"{_base_url(upstream)}/load", timeout_ms=CONTROL_TIMEOUT_MS
        )
        raise_for_status(response, upstream.upstream_id)
        return msgspec.json.decode(response.body, type=LoadReport)

    async def _read_stream(
        self,
        url: str,
        method: str,
        body: bytes | None,
        on_frame: Callable[[TokenFrame], None],
    ) -> EngineStreamEnd:
        ends: list[EngineStreamEnd] = []
        decode = self._decoder.decode

        def on_data(data: bytes) -> None:
            event = decode(data)
            if event.end:
                ends.append(
                    EngineStreamEnd(
                        event.attempt, event.end, event.n_tokens, event.n_prompt_tokens
                    )
                )
                return
            on_frame(TokenFrame(event.attempt, event.index, event.text))

        stream = EventStreamParser(on_data)
        headers: list[str] = []
        try:
            response = await self._client.call(
                url,
                method=method,
                body=body,
                timeout_ms=STREAM_TIMEOUT_MS,
                on_chunk=stream.feed,
                on_header=headers.append,
            )
        except StreamBrokenError as error:
            if headers:
                raise
            raise StreamNotOpenedError(str(error)) from None
        if response.code == CONFLICT:
            raise StreamFencedError("the engine has accepted a higher fencing number")
        if response.code != 200:
            raise UpstreamRefusedError(f"engine answered {response.code}")
        if not ends:
            raise StreamBrokenError("the stream closed before its end event")
        return ends[0]


def _base_url(upstream: Upstream) -> str:
    return f"http://{upstream.host}:{upstream.port}"


def register(registry: PluginRegistry) -> None:
    """Register the engine connector under the name `http`."""
    registry.register("engine", "http", HttpEngine)
