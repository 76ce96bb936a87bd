"""Send HTTP requests; errors show whether a request may have been sent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
)

from bronzeline_daemon.futures import consume_exception
from bronzeline_kernel.exceptions import (
    StreamBrokenError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)

__all__ = ["HttpClient"]

CONNECT_TIMEOUT_S = 0.5
MAX_CLIENTS = 10_000


class HttpClient:
    """Send HTTP requests over a separate tornado client."""

    def __init__(self) -> None:
        self._client: AsyncHTTPClient = SimpleAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def call(
        self,
        url: str,
        *,
        method: str = "GET",
        headers: Mapping[str, str] | None = None,
        body: bytes | None = None,
        timeout_ms: float = 5_000.0,
        on_chunk: Callable[[bytes], None] | None = None,
        on_header: Callable[[str], None] | None = None,
    ) -> HTTPResponse:
        """Send one request and return the response, whatever its status.

        Raises `UpstreamUnreachableError` if no byte can have been sent, and
        `StreamBrokenError` on a failure after which this is not certain.
        """
        request = HTTPRequest(
            url,
            method=method,
            headers=dict(headers or {}),
            body=body,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=timeout_ms / 1000.0,
            streaming_callback=on_chunk,
            header_callback=on_header,
            allow_nonstandard_methods=True,
            follow_redirects=False,
            decompress_response=False,
        )
        fetch = asyncio.ensure_future(self._client.fetch(request, raise_error=False))
        # Tornado continues a request whose caller was cancelled, and would log the
        # end of its connection as an error.
        fetch.add_done_callback(consume_exception)
        try:
            return await asyncio.shield(fetch)
        except HTTPTimeoutError as error:
            if "connect" in str(error):
                raise UpstreamUnreachableError(str(error)) from None
            raise StreamBrokenError(str(error)) from None
        except ConnectionRefusedError as error:
            raise UpstreamUnreachableError(str(error)) from None
        except (HTTPStreamClosedError, HTTPError, OSError) as error:
            raise StreamBrokenError(str(error)) from None


def raise_for_status(response: HTTPResponse, server: str) -> None:
    """Raise `UpstreamRefusedError` if the status is 400 or above."""
    if response.code >= 400:
        raise UpstreamRefusedError(f"{server} answered {response.code}")
