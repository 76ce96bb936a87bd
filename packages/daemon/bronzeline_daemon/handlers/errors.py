"""Define the errors that callers receive, in the OpenAI-compatible format."""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus

import msgspec

__all__ = ["ErrorBody", "ErrorDetail", "error_kind", "failure_detail"]

RETRY_AFTER_S = 1
NOT_RUN = "not_run"
IN_DOUBT = "in_doubt"
DELIVERED = "delivered"


class ErrorDetail(msgspec.Struct, frozen=True):
    """Describe an error and whether the request's work ran."""

    message: str
    type: str
    code: str
    run_status: str
    n_delivered: int = 0
    param: str | None = None


class ErrorBody(msgspec.Struct, frozen=True):
    """Wrap an error in the object that OpenAI-compatible clients expect."""

    error: ErrorDetail


@dataclass(frozen=True)
class ErrorKind:
    """Hold HTTP status, message and retryability of an error code."""

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
        "no remaining router or engine holds the next tokens",
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
        "two connections resumed the request at the same time; send it again",
    ),
    "holders_unreachable": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the routers that hold the response can't be reached from this one",
    ),
    "resume_budget_exhausted": ErrorKind(
        HTTPStatus.SERVICE_UNAVAILABLE,
        "the budget for repeated work is exhausted; try to resume later",
    ),
    "superseded": ErrorKind(
        HTTPStatus.CONFLICT,
        "the request continues over a newer connection with the same key",
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
    """Return the kind of an error code; unknown codes get status 503."""
    return ERROR_KINDS.get(code, DEFAULT_KIND)


def error_type(status: int) -> str:
    """Return the `type` field that clients expect for an HTTP status."""
    if status in ERROR_TYPES:
        return ERROR_TYPES[HTTPStatus(status)]
    if status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return "invalid_request_error"
    return "server_error"


def failure_detail(
    code: str,
    n_delivered: int,
    *,
    was_dispatched: bool,
    may_run_elsewhere: bool = False,
) -> ErrorDetail:
    """Build the error of a generation that failed before its response was complete."""
    run_status = IN_DOUBT if may_run_elsewhere else NOT_RUN
    kind = error_kind(code)
    message = kind.message
    if n_delivered:
        message = f"{message}; the response ended after {n_delivered} tokens"
    return ErrorDetail(
        message=message,
        type=error_type(kind.status),
        code=code,
        run_status=DELIVERED if was_dispatched else run_status,
        n_delivered=n_delivered,
    )
