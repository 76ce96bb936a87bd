"""Decide how many connections a router accepts, and which one makes room.

The load addressed: callers that open more connections than the process may have
descriptors, and keep them without completing a request.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Generic, TypeVar

__all__ = ["Candidate", "ConnectionLimits", "ConnectionState", "choose_to_close"]

Key = TypeVar("Key")

# Descriptors that the platform keeps for files.
N_FILES = 200
# Requests need about as many connections to upstreams as callers have.
CALLERS_SHARE = 0.4
# Each of the other listeners: readiness, peers' documents and metrics.
OTHER_SHARE = 0.05
MIN_CONNECTIONS = 8
# Streams last long; the rest of callers' connections is left for calls.
STREAMS_SHARE = 0.75
# Buffers and objects of a connection whose head does not end.
CONNECTION_BYTES = 32 * 1024
MEMORY_SHARE = 0.5
# A connection whose request makes no progress for so long may be closed for another.
STALL_MS = 1_000.0


class ConnectionState(IntEnum):
    """Say what a connection waits for; those of a lower state are closed first."""

    HEAD = 0
    BODY = 1
    READER = 2
    RUNNING = 3


@dataclass(frozen=True)
class Candidate(Generic[Key]):
    """Describe a connection that could be closed.

    `n_bytes` is what came of a body. `since_ms` is the start of the state, or of the
    time in which the caller has read nothing.
    """

    key: Key
    state: ConnectionState
    since_ms: float
    n_bytes: int = 0


@dataclass(frozen=True)
class ConnectionLimits:
    """Set how many connections callers' and each other listener may have."""

    callers: int
    other: int

    @property
    def streams(self) -> int:
        """Return how many streams may run at once."""
        return int(STREAMS_SHARE * self.callers)

    @classmethod
    def for_process(cls, n_descriptors: int, memory_bytes: int) -> ConnectionLimits:
        """Return the limits for so many descriptors and bytes that may be held."""
        n_sockets = max(0, n_descriptors - N_FILES)
        n_in_memory = MEMORY_SHARE * memory_bytes / CONNECTION_BYTES
        callers = min(CALLERS_SHARE * n_sockets, n_in_memory)
        return cls(
            max(MIN_CONNECTIONS, int(callers)),
            max(MIN_CONNECTIONS, int(min(OTHER_SHARE * n_sockets, n_in_memory))),
        )


def choose_to_close(
    candidates: Iterable[Candidate[Key]], now_ms: float
) -> Candidate[Key] | None:
    """Return the connection that makes room for a new one, None if none may.

    One that waits for a head the longest goes first, then the slowest body, then
    the caller that has not read for the longest time. Other requests run on.
    """
    may_close = [x for x in candidates if _may_close(x, now_ms)]
    return min(may_close, key=lambda x: _rank(x, now_ms), default=None)


def _may_close(candidate: Candidate[Key], now_ms: float) -> bool:
    if candidate.state is ConnectionState.HEAD:
        return True
    is_stalled = now_ms - candidate.since_ms >= STALL_MS
    return is_stalled and candidate.state is not ConnectionState.RUNNING


def _rank(candidate: Candidate[Key], now_ms: float) -> tuple[int, float, float]:
    bytes_per_ms = 0.0
    if candidate.state is ConnectionState.BODY:
        bytes_per_ms = candidate.n_bytes / (now_ms - candidate.since_ms)
    return candidate.state, bytes_per_ms, candidate.since_ms
