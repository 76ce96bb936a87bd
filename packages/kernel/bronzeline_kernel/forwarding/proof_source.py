"""Decide who reads the store in a zone, and what a peer's word proves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["ProofOptions", "ProofRequest", "ProofSource"]


@dataclass(frozen=True)
class ProofOptions:
    """Set how often peers are asked, and when their word is of use."""

    # With the reader's second this keeps a follower's proof below 1,400 ms.
    ask_every_ms: float = 300.0
    # With an older proof the router reads the store itself: a reader that was
    # cut off must not keep its zone from what happens within 2,500 ms.
    useful_age_ms: float = 1_750.0
    asks_per_peer: int = 2
    max_open_asks: int = 8


@dataclass(frozen=True)
class ProofRequest:
    """Ask a peer how current its configuration is."""

    number: int
    router_id: str


@dataclass
class ProofSource:
    """Ask peers of lower id, and read the store where none is of use.

    A proof is dated by the sending of the ask, less the age that the peer
    gave: the peer answered after the ask was sent, so the store was seen at
    that moment or later, however long the answer took or either VM slept.
    """

    own_id: str
    options: ProofOptions = field(default_factory=ProofOptions)
    _lower_ids: tuple[str, ...] = ()
    _position: int = 0
    _n_asked_here: int = 0
    _number: int = 0
    _asked_at_ms: dict[int, float] = field(default_factory=dict)
    _last_ask_ms: float = float("-inf")
    _proven_at_ms: float = float("-inf")

    def set_peers(self, router_ids: Iterable[str]) -> None:
        """Take in which routers are in the zone."""
        lower_ids = tuple(sorted(item for item in router_ids if item < self.own_id))
        if lower_ids != self._lower_ids:
            self._lower_ids = lower_ids
            self._position = self._n_asked_here = 0

    def must_read_store(self, now_ms: float) -> bool:
        """Say whether this router must read the store itself."""
        return now_ms - self._proven_at_ms >= self.options.useful_age_ms

    def next_request(self, now_ms: float) -> ProofRequest | None:
        """Return whom to ask now, if anyone."""
        is_due = now_ms - self._last_ask_ms >= self.options.ask_every_ms
        if not self._lower_ids or not is_due:
            return None
        if self._n_asked_here >= self.options.asks_per_peer:
            self._position = (self._position + 1) % len(self._lower_ids)
            self._n_asked_here = 0
        self._n_asked_here += 1
        self._last_ask_ms = now_ms
        self._number += 1
        self._asked_at_ms[self._number] = now_ms
        while len(self._asked_at_ms) > self.options.max_open_asks:
            del self._asked_at_ms[next(iter(self._asked_at_ms))]
        return ProofRequest(self._number, self._lower_ids[self._position])

    def accept_proof(self, number: int, age_ms: float, now_ms: float) -> float | None:
        """Return as of when a peer's answer proves its version, if it does."""
        asked_at_ms = self._asked_at_ms.pop(number, None)
        if asked_at_ms is None or not 0.0 <= age_ms < float("inf"):
            return None
        proven_at_ms = asked_at_ms - age_ms
        if now_ms - proven_at_ms < self.options.useful_age_ms:
            self._proven_at_ms = max(self._proven_at_ms, proven_at_ms)
            self._n_asked_here = 0
        return proven_at_ms
