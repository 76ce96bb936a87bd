"""Tell what is a response, and how its end is marked."""

from __future__ import annotations

from collections.abc import Container

__all__ = ["is_framed", "is_response_status"]

MIN_STATUS = 100
MAX_STATUS = 599
# Responses with these statuses have no body.
NO_BODY_STATUSES = frozenset({204, 304})


def is_response_status(status: int) -> bool:
    """Return whether a number is a status: 1xx to 5xx, interim ones included."""
    return MIN_STATUS <= status <= MAX_STATUS


def is_framed(status: int, headers: Container[str]) -> bool:
    """Return whether a response's end is marked, rather than the connection's end."""
    return (
        status in NO_BODY_STATUSES
        or "Content-Length" in headers
        or "Transfer-Encoding" in headers
    )
