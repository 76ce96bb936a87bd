"""Provide the base class of all HTTP handlers: authentication and errors."""

from __future__ import annotations

import asyncio
from hashlib import sha256
from http import HTTPStatus
from typing import Any

import msgspec
from tornado.web import RequestHandler

from bronzeline_daemon.handlers.errors import (
    IN_DOUBT,
    NOT_RUN,
    RETRY_AFTER_S,
    ErrorBody,
    ErrorDetail,
    error_type,
)
from bronzeline_daemon.logs import log_exception
from bronzeline_daemon.router_services import RouterServices
from bronzeline_kernel.exceptions import RequestError

__all__ = [
    "EVENT_HEADER",
    "KEY_HEADER",
    "TIMEOUT_HEADER",
    "CallerHandler",
    "NotFoundHandler",
    "bearer_sha256",
]

BEARER_PREFIX = "Bearer "
KEY_HEADER = "Idempotency-Key"
EVENT_HEADER = "Last-Event-ID"
STATUS_BY_CODE = {"unknown_model": HTTPStatus.NOT_FOUND}
TIMEOUT_HEADER = "Request-Timeout-Ms"


class CallerHandler(RequestHandler):
    """Authenticate callers, track open requests and send typed errors."""

    # Whether a run status `not_run` is proven, for every send of the request.
    is_run_status_final = False

    def initialize(self, services: RouterServices) -> None:
        """Store the services, which tornado passes from the route's options."""
        self.services = services

    def prepare(self) -> None:
        """Register the request as open; a draining router waits for open requests."""
        self.services.lifecycle.open_requests.add(self)
        if self.services.lifecycle.is_stopping:
            self.set_header("Connection", "close")

    def finish(self, chunk: Any = None) -> asyncio.Future[None]:
        """Finish the response; the request stays open until all of it is written."""
        written = super().finish(chunk)
        written.add_done_callback(
            lambda _: self.services.lifecycle.open_requests.discard(self)
        )
        return written

    def on_connection_close(self) -> None:
        """Unregister the request because the caller closed the connection."""
        self.services.lifecycle.open_requests.discard(self)

    def authenticate(self) -> str | None:
        """Return the workspace of the caller's key, or refuse and return None."""
        if self.services.lifecycle.is_closing:
            message = "this router is stopping; another one takes new requests"
            self.refuse(503, "stopping", message, NOT_RUN, RETRY_AFTER_S)
            return None
        if not self.services.config_distribution.is_loaded:
            message = "this router has no configuration yet; try another one"
            self.refuse(503, "not_ready", message, NOT_RUN, RETRY_AFTER_S)
            return None
        name = self.services.workspace_keys.find(bearer_sha256(self))
        if name is None:
            self.refuse(401, "unknown_key", "no workspace has this key", NOT_RUN)
        return name

    def timeout_ms(self, default_ms: float) -> float:
        """Return the smaller of the caller's limit and the default, in milliseconds."""
        header = self.request.headers.get(TIMEOUT_HEADER)
        if header is None:
            return default_ms
        try:
            timeout_ms = float(header)
        except ValueError:
            timeout_ms = 0.0
        if not timeout_ms > 0.0:
            message = f"{TIMEOUT_HEADER} is {header!r}; give milliseconds above 0"
            raise RequestError("invalid_header", message, TIMEOUT_HEADER)
        return min(timeout_ms, default_ms)

    @property
    def may_run_elsewhere(self) -> bool:
        """Return whether an earlier send of the request may run on another router."""
        if self.is_run_status_final:
            return False
        headers = self.request.headers
        is_named = bool(headers.get(KEY_HEADER) or headers.get(EVENT_HEADER))
        return is_named and "Authorization" in headers

    def refuse(
        self,
        status: int,
        code: str,
        message: str,
        run_status: str,
        retry_after_s: int | None = None,
        param: str | None = None,
    ) -> None:
        """Finish with an error; `not_run` is `in_doubt` if it may run elsewhere."""
        if run_status == NOT_RUN and self.may_run_elsewhere:
            run_status = IN_DOUBT
        detail = ErrorDetail(message, error_type(status), code, run_status, param=param)
        self.finish_error(status, detail, retry_after_s)

    def refuse_invalid(self, error: RequestError) -> None:
        """Finish with status 400, or 404 for an unknown model, and the error's text."""
        status = STATUS_BY_CODE.get(error.code, HTTPStatus.BAD_REQUEST)
        self.refuse(status, error.code, str(error), NOT_RUN, param=error.param)

    def finish_error(
        self, status: int, detail: ErrorDetail, retry_after_s: int | None = None
    ) -> None:
        """Finish with an HTTP status and a JSON error body."""
        self.set_status(status)
        if retry_after_s is not None:
            self.set_header("Retry-After", str(retry_after_s))
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(ErrorBody(detail)))

    def close_connection(self) -> None:
        """Close the caller's connection without completing the response."""
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def set_no_delay(self) -> None:
        """Disable Nagle's algorithm, which would delay small writes."""
        self.request.connection.stream.set_nodelay(True)  # type: ignore[union-attr]

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send a typed body for an unhandled exception or an HTTP error of tornado."""
        is_known = status_code < HTTPStatus.INTERNAL_SERVER_ERROR
        code = "unsupported" if is_known else "internal_error"
        status = NOT_RUN if is_known else IN_DOUBT
        self.refuse(status_code, code, HTTPStatus(status_code).phrase, status)

    def log_exception(self, typ: Any, value: Any, tb: Any) -> None:
        """Log an unhandled exception as one `handler_failed` event."""
        path = self.request.path
        log_exception("handler_failed", (typ, value, tb), path=path)


class NotFoundHandler(CallerHandler):
    """Answer requests for unknown paths with status 404."""

    def prepare(self) -> None:
        """Refuse the request before its method is looked up."""
        super().prepare()
        path = self.request.path
        self.refuse(404, "unknown_path", f"unknown path {path}", NOT_RUN)


def bearer_sha256(handler: RequestHandler) -> str:
    """Return the SHA-256 hex digest of the request's bearer token."""
    header = handler.request.headers.get("Authorization", "")
    return sha256(header.removeprefix(BEARER_PREFIX).encode()).hexdigest()
