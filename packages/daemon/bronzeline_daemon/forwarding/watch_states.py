"""Decide when a router reads the store, by what is known of its availability."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random

from bronzeline_daemon.forwarding.store_timeout import StoreTimeout
from bronzeline_kernel.forwarding import ProofSource, RouterEntry, StorePosition

__all__ = [
    "CONFIG",
    "UPSTREAMS",
    "WatchPosition",
    "WatchState",
    "WatchStates",
]

CONFIG, UPSTREAMS = "config", "upstreams"
RETRY_MIN_MS = 150.0
RETRY_MAX_MS = 450.0


@dataclass(frozen=True)
class WatchPosition:
    """Hold the position that was read, and the time of the next call."""

    position: StorePosition
    next_at_ms: float = 0.0


@dataclass
class WatchState:
    """Hold the state of watching one kind of object."""

    # The peer to fetch newer data from; it does not fit into a datagram.
    peer_ahead: RouterEntry | None = None
    # Whether the store ever responded to a call for this kind.
    was_read: bool = False
    is_unavailable: bool = False
    has_lost_history: bool = False
    n_failures: int = 0
    # The unexpected error of the last reading, if any.
    failure: str = ""
    call: asyncio.Task[WatchPosition] | None = None
    timeout: StoreTimeout = field(default_factory=StoreTimeout)


class WatchStates:
    """Hold the state of watching each kind of object."""

    def __init__(self, proof_source: ProofSource, random: Random) -> None:
        self.by_kind = {CONFIG: WatchState(), UPSTREAMS: WatchState()}
        self._proof_source = proof_source
        self._random = random

    @property
    def is_any_unavailable(self) -> bool:
        """Return whether the last call for any kind had no response."""
        return any(state.is_unavailable for state in self.by_kind.values())

    def may_get_no_response(self, kind: str) -> bool:
        """Return whether a call is sent without knowing that the store responds."""
        return self.is_any_unavailable or not self.by_kind[kind].was_read

    def must_read(self, kind: str, now_ms: float) -> bool:
        """Return whether this router must read the store now.

        While the store does not respond, only the root tries it with both kinds.
        """
        is_root = self._proof_source.retry_pause_ms(1, now_ms) is None
        is_away = self.by_kind[CONFIG].is_unavailable
        if kind == UPSTREAMS and is_away and not is_root:
            return False
        return self._proof_source.must_read_store(now_ms)

    def retry_pause_ms(self, kind: str, now_ms: float) -> float:
        """Return the pause before the next call to a store that doesn't respond."""
        n_failures = self.by_kind[kind].n_failures
        pause_ms = self._proof_source.retry_pause_ms(n_failures, now_ms)
        if pause_ms is None:
            return self._random.uniform(RETRY_MIN_MS, RETRY_MAX_MS)
        return pause_ms * self._random.uniform(0.8, 1.2)
