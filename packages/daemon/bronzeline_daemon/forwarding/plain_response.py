"""Respond to HTTP requests of the platform and of peers."""

from __future__ import annotations

from collections.abc import Mapping
from http.client import responses

from tornado.httputil import HTTPHeaders, HTTPServerRequest, ResponseStartLine

__all__ = ["send_plain_response"]


def send_plain_response(
    request: HTTPServerRequest,
    status: int,
    body: bytes = b"",
    headers: Mapping[str, str] | None = None,
) -> None:
    """Send a complete response and finish the request."""
    connection = request.connection
    assert connection is not None
    fields = HTTPHeaders({**(headers or {}), "Content-Length": str(len(body))})
    start_line = ResponseStartLine("HTTP/1.1", status, responses[status])
    connection.write_headers(start_line, fields, body or None)
    connection.finish()
