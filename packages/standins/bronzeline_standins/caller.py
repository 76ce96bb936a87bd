"""Call routers as an ordinary HTTP client does."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec

from bronzeline_daemon.plugins.event_stream import EventStreamParser
from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_standins.ports import HOST

__all__ = ["Caller", "ServiceResponse", "StreamedCompletion"]

TIMEOUT_MS = 120_000.0
DONE = b"[DONE]"


@dataclass
class StreamedCompletion:
    """Collect the events of one streamed completion."""

    tokens: list[str] = field(default_factory=list)
    finish_reason: str = ""
    usage: dict[str, int] = field(default_factory=dict)
    error: dict[str, Any] = field(default_factory=dict)
    is_done: bool = False

    def add_event(self, data: bytes) -> None:
        """Add the data of one server-sent event."""
        if data == DONE:
            self.is_done = True
            return
        event = msgspec.json.decode(data)
        if "error" in event:
            self.error = event["error"]
            return
        choice = event["choices"][0]
        if choice.get("text"):
            self.tokens.append(choice["text"])
        if choice.get("finish_reason"):
            self.finish_reason = choice["finish_reason"]
            self.usage = event["usage"]


@dataclass(frozen=True)
class ServiceResponse:
    """Hold the HTTP response to a call of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class Caller:
    """Call one router with the API key of one workspace."""

    def __init__(self, port: int, key: str) -> None:
        self._base_url = f"http://{HOST}:{port}"
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = HttpClient()

    async def stream(
        self,
        model: str,
        prompt: str,
        max_tokens: int,
        *,
        answer: StreamedCompletion | None = None,
        headers: dict[str, str] | None = None,
    ) -> StreamedCompletion:
        """Stream a completion to its end; an HTTP error is returned in `error`."""
        answer = answer or StreamedCompletion()
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        response = await self._http.call(
            f"{self._base_url}/v1/completions",
            method="POST",
            headers={**self._headers, **(headers or {})},
            body=msgspec.json.encode(body),
            timeout_ms=TIMEOUT_MS,
            on_chunk=EventStreamParser(answer.add_event).feed,
        )
        if response.code != 200:
            answer.error = {"code": str(response.code)}
        return answer

    async def order(self, service: str, key: str, body: bytes) -> ServiceResponse:
        """Place an order with an idempotency key."""
        return await self._call(
            "POST", f"/services/{service}/orders", body, {"Idempotency-Key": key}
        )

    async def status(self, service: str, key: str) -> ServiceResponse:
        """Request the status of an order."""
        return await self._call("GET", f"/services/{service}/orders/{key}", None, {})

    async def _call(
        self, method: str, path: str, body: bytes | None, headers: dict[str, str]
    ) -> ServiceResponse:
        response = await self._http.call(
            self._base_url + path,
            method=method,
            headers={**self._headers, **headers},
            body=body,
            timeout_ms=TIMEOUT_MS,
        )
        return ServiceResponse(
            response.code, dict(response.headers), response.body or b""
        )
