"""Say what went wrong in the form that clients of model servers know."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import msgspec

__all__ = ["ErrorBody", "ErrorDetail", "error_kind", "failure_detail"]

RETRY_AFTER_S = 1


class ErrorDetail(msgspec.Struct, frozen=True):
    """Tell a caller what went wrong and whether the work ran."""

    message: str
    type: str
    code: str
    run_status: str
    n_delivered: int = 0
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Wrap an error as clients of model servers expect it."""

    error: ErrorDetail


@dataclass(frozen=True)
class ErrorKind:
    """Describe every error with one code."""

    status: int
    message: str
    can_retry: bool = True


NO_CAPACITY = "the fleet can't take this request now"
DEADLINE_PASSED = "the request's deadline passed"
ERROR_KINDS = {
    "no_upstream": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE, "no upstream can take this request now"
    ),
    "overloaded": ErrorKind(HTTPStatus.SERVICE_UNAVAILABLE, NO_CAPACITY),
    "workspace_limit": ErrorKind(
        HTTPStatus.TOO_MANY_REQUESTS,
        "the workspace has reached its limit of running requests",
    ),
    "stopping": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "this router is stopping; another one takes new requests",
    ),
    "deadline_passed": ErrorKind(HTTPStatus.GATEWAY_TIMEOUT, DEADLINE_PASSED),
    "attempts_exhausted": ErrorKind(
        HTTPStatus.BAD_GATEWAY, "every upstream that was tried failed"
    ),
    "continuation_lost": ErrorKind(
        HTTPStatus.BAD_GATEWAY,
        "nothing that is left holds the tokens that come next",
        can_retry=False,
    ),
    "unknown_event_id": ErrorKind(
        HTTPStatus.BAD_REQUEST,
        "the Last-Event-ID belongs to another request or key",
        can_retry=False,
    ),
    "quarantined": ErrorKind(
        HTTPStatus.UNPROCESSABLE_ENTITY,
        "the request is quarantined because upstreams failed while they ran it",
        can_retry=False,
    ),
    "takeover_raced": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "two connections took the request up at once; send it again",
    ),
    "holders_unreachable": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the routers that hold the answer can't be reached from here",
    ),
    "resume_budget_exhausted": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "too much work is being repeated to take the answer up again now",
    ),
    "superseded": ErrorKind(
        HTTPStatus.CONFLICT,
        "the request goes on over a newer connection with the same key",
        can_retry=False,
    ),
}
DEFAULT_KIND = ErrorKind(HTTPStatus.SERVICE_UNAVAILABLE, "the request failed")
ERROR_TYPES = {
    HTTPStatus.UNAUTHORIZED: "authentication_error",
    HTTPStatus.FORBIDDEN: "permission_error",
    HTTPStatus.NOT_FOUND: "not_found_error",
    HTTPStatus.CONFLICT: "conflict_error",
    HTTPStatus.TOO_MANY_REQUESTS: "rate_limit_error",
}


def error_kind(code: str) -> ErrorKind:
    """Return what is known of the errors with a code."""
    return ERROR_KINDS.get(code, DEFAULT_KIND)


def error_type(status: int) -> str:
    """Return the type that clients expect beside an HTTP status."""
    if status in ERROR_TYPES:
        return ERROR_TYPES[HTTPStatus(status)]
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return "invalid_request_error"
    return "server_error"


def failure_detail(code: str, n_delivered: int, *, was_dispatched: bool) -> ErrorDetail:
    """Describe a generation that ended without its whole answer."""
    kind = error_kind(code)
    message = kind.message
    if n_delivered:
        message = f"{message}; the answer ended after {n_delivered} tokens"
    return ErrorDetail(
        message=message,
        type=error_type(kind.status),
        code=code,
        run_status="delivered" if was_dispatched else "not_run",
        n_delivered=n_delivered,
    )
