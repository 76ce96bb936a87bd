"""Check that the bytes of a stream's event are those of one event."""

from __future__ import annotations

import re

__all__ = ["is_comment", "is_event"]

FIELD = re.compile(rb"[A-Za-z0-9_-]*:")
ID_FIELD = b"id:"


def is_event(event: bytes) -> bool:
    """Return whether each line is a field or a comment, and at most one an id.

    The head of a response and plain text are no events, nor are two events of which
    the first one was cut off.
    """
    lines = _lines(event)
    n_ids = sum(line.startswith(ID_FIELD) for line in lines)
    return n_ids <= 1 and all(FIELD.match(line) for line in lines)


def is_comment(event: bytes) -> bool:
    """Return whether an event has only comments, which are no part of an answer."""
    return all(line.startswith(b":") for line in _lines(event))


def _lines(event: bytes) -> list[bytes]:
    return [line for line in event.split(b"\n") if line]
