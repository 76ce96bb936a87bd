"""Send HTTP requests; errors show whether a request may have been sent."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse
from tornado.httputil import HTTPHeaders, RequestStartLine, ResponseStartLine
from tornado.simple_httpclient import (
    HTTPStreamClosedError,
    HTTPTimeoutError,
    SimpleAsyncHTTPClient,
    _HTTPConnection,
)

from bronzeline_daemon.futures import consume_exception
from bronzeline_kernel.exceptions import (
    StreamBrokenError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from bronzeline_kernel.response_status import is_framed, is_response_status

__all__ = ["HttpClient"]

CONNECT_TIMEOUT_S = 0.5
MAX_CLIENTS = 10_000
# The list of 1,300 VMs takes 3 MB.
MAX_BODY_BYTES = 8 * 1024 * 1024
# A body that is passed on chunk by chunk has no end by itself.
MAX_STREAMED_BYTES = 2**63


class CheckedConnection(_HTTPConnection):
    """Fail on responses without a status, and on those that broke off.

    tornado takes the end of a connection for the end of a response without a length,
    also after a reset and while the request is still written.
    """

    _is_framed = False

    async def headers_received(
        self,
        first_line: ResponseStartLine | RequestStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Check the status of a response's head."""
        assert isinstance(first_line, ResponseStartLine)
        self._is_framed = is_framed(first_line.code, headers)
        if not is_response_status(first_line.code):
            if self.request.header_callback is not None:
                # Shows that the request was received, and may have run.
                self.request.header_callback(f"{first_line.version}\r\n")
            self._fail(f"{first_line.code} is not a status")
            return
        await super().headers_received(first_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        """Pass on a chunk of the body, unless its head was none of a response."""
        if self.final_callback is None:
            return None
        return super().data_received(chunk)

    def finish(self) -> None:
        """Pass on the response unless its connection broke off."""
        if self.final_callback is None:
            # The response was found to be none at its head.
            return
        is_broken = self.stream.error is not None or not self._is_written
        if is_broken and not self._is_framed:
            self._fail(str(self.stream.error or "closed before the request was sent"))
        else:
            super().finish()

    @property
    def _is_written(self) -> bool:
        """Return whether the whole request was handed to the operating system."""
        # The stream's own `writing` is false once it is closed.
        stream = self.stream
        return stream._total_write_done_index == stream._total_write_index

    def _fail(self, reason: str) -> None:
        error = HTTPStreamClosedError(reason)
        self._handle_exception(type(error), error, None)


class CheckedHTTPClient(SimpleAsyncHTTPClient):
    """Fetch responses over connections that check them."""

    def _connection_class(self) -> type:
        return CheckedConnection


class HttpClient:
    """Send HTTP requests over tornado clients of its own."""

    def __init__(self) -> None:
        self._client = _make_client(MAX_BODY_BYTES)
        self._streaming_client = _make_client(MAX_STREAMED_BYTES)

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
        `StreamBrokenError` on a failure after which this is not certain, or if the
        body is larger than 8 MiB and there is no `on_chunk`.
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
        client = self._client if on_chunk is None else self._streaming_client
        fetch = asyncio.ensure_future(client.fetch(request, raise_error=False))
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


def _make_client(max_body_bytes: int) -> AsyncHTTPClient:
    return CheckedHTTPClient(
        force_instance=True,
        max_clients=MAX_CLIENTS,
        max_buffer_size=MAX_BODY_BYTES,
        max_body_size=max_body_bytes,
    )


def raise_for_status(response: HTTPResponse, server: str) -> None:
    """Raise `UpstreamRefusedError` if the status is 400 or above."""
    if response.code >= 400:
        raise UpstreamRefusedError(f"{server} answered {response.code}")
