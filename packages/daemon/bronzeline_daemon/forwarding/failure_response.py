"""Tell a caller that its request failed."""

from __future__ import annotations

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_kernel.forwarding import Fail, Failure, WireFormat

__all__ = ["send_failure"]

STATUS_OF_FAILURE = {
    Failure.NOT_RUN: 503,
    Failure.UNKNOWN_OUTCOME: 502,
    Failure.TIMED_OUT: 504,
}


def send_failure(fail: Fail, response: CallerResponse, wire: WireFormat) -> None:
    """Send the status of a failure; a response that has started is broken off."""
    if response.has_started:
        response.abort()
        return
    headers = []
    if fail.failure is Failure.NOT_RUN and fail.retry_after_ms:
        headers = wire.refusal_headers(fail.retry_after_ms)
    response.send(STATUS_OF_FAILURE[fail.failure], headers)
