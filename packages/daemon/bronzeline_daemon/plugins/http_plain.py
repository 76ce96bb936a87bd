"""Connect to plain services over HTTP."""

from __future__ import annotations

from urllib.parse import quote

from tornado.httpclient import HTTPResponse

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.plugins import PluginRegistry
from bronzeline_kernel.protocols import PlainRequest, PlainResponse

__all__ = ["HttpPlain", "register"]

NOT_FOUND = 404
DROPPED_HEADERS = frozenset({"connection", "content-length", "transfer-encoding"})


class HttpPlain:
    """Send requests to plain services without retries."""

    def __init__(self) -> None:
        self._client = HttpClient()

    async def call(
        self, upstream: Upstream, request: PlainRequest, timeout_ms: float
    ) -> PlainResponse:
        """Send the request once and return the response, whatever its status."""
        response = await self._client.call(
            f"http://{upstream.host}:{upstream.port}{request.path}",
            method=request.method,
            headers=request.headers,
            body=request.body or None,
            timeout_ms=timeout_ms,
        )
        return _plain_response(response)

    async def look_up(
        self, upstream: Upstream, idempotency_key: str, timeout_ms: float
    ) -> PlainResponse | None:
        """Return the response of an order; None (status 404) if it did not run."""
        key = quote(idempotency_key, safe="")
        response = await self._client.call(
            f"http://{upstream.host}:{upstream.port}/look-up/{key}",
            timeout_ms=timeout_ms,
        )
        return None if response.code == NOT_FOUND else _plain_response(response)


def _plain_response(response: HTTPResponse) -> PlainResponse:
    headers = {
        name: value
        for name, value in response.headers.get_all()
        if name.lower() not in DROPPED_HEADERS
    }
    return PlainResponse(response.code, headers, response.body or b"")


def register(registry: PluginRegistry) -> None:
    """Register the plain service connector under the name `http`."""
    registry.register("plain", "http", HttpPlain)
