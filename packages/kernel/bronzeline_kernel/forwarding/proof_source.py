"""Decide which routers of a zone read the store, and date the proofs of peers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["ProofOptions", "ProofRequest", "ProofSource"]


@dataclass(frozen=True)
class ProofOptions:
    """Set how often peers are asked for proofs, and how old a proof may be."""

    # The proof of a router that reads the store is up to 1 s old; at this interval
    # the proofs of the routers that ask it stay below 1,400 ms.
    request_interval_ms: float = 300.0
    # With an older proof the router reads the store itself, so that a reader cut
    # off from the store does not delay changes in its zone beyond 2,500 ms.
    max_age_ms: float = 1_750.0
    requests_per_peer: int = 2
    max_pending_requests: int = 8


@dataclass(frozen=True)
class ProofRequest:
    """Represent a request to a peer for proof of how current its data is."""

    number: int
    router_id: str


@dataclass
class ProofSource:
    """Ask peers with lower ids for proofs; read the store if none is recent enough.

    A proof is dated at the time the request was sent, less the age that the peer
    reported. The peer replied after the request was sent, so its data was current
    at the computed time or later, however long the reply took or either VM was
    suspended.
    """

    own_id: str
    options: ProofOptions = field(default_factory=ProofOptions)
    _lower_ids: tuple[str, ...] = ()
    _peer_index: int = 0
    _n_requests_to_peer: int = 0
    _number: int = 0
    _sent_at_ms: dict[int, float] = field(default_factory=dict)
    _last_sent_at_ms: float = float("-inf")
    _proven_at_ms: float = float("-inf")

    def set_peers(self, router_ids: Iterable[str]) -> None:
        """Replace the routers of the zone; only those with lower ids are asked."""
        lower_ids = tuple(sorted(item for item in router_ids if item < self.own_id))
        if lower_ids != self._lower_ids:
            self._lower_ids = lower_ids
            self._peer_index = self._n_requests_to_peer = 0

    def must_read_store(self, now_ms: float) -> bool:
        """Return whether this router must read the store itself."""
        return now_ms - self._proven_at_ms >= self.options.max_age_ms

    def next_request(self, now_ms: float) -> ProofRequest | None:
        """Return the request to send to a peer now, None if none is due."""
        is_due = now_ms - self._last_sent_at_ms >= self.options.request_interval_ms
        if not self._lower_ids or not is_due:
            return None
        if self._n_requests_to_peer >= self.options.requests_per_peer:
            self._peer_index = (self._peer_index + 1) % len(self._lower_ids)
            self._n_requests_to_peer = 0
        self._n_requests_to_peer += 1
        self._last_sent_at_ms = now_ms
        self._number += 1
        self._sent_at_ms[self._number] = now_ms
        while len(self._sent_at_ms) > self.options.max_pending_requests:
            del self._sent_at_ms[next(iter(self._sent_at_ms))]
        return ProofRequest(self._number, self._lower_ids[self._peer_index])

    def accept_proof(self, number: int, age_ms: float, now_ms: float) -> float | None:
        """Return the time at which a reply proves the data current, None if invalid."""
        sent_at_ms = self._sent_at_ms.pop(number, None)
        if sent_at_ms is None or not 0.0 <= age_ms < float("inf"):
            return None
        proven_at_ms = sent_at_ms - age_ms
        if now_ms - proven_at_ms < self.options.max_age_ms:
            self._proven_at_ms = max(self._proven_at_ms, proven_at_ms)
            self._n_requests_to_peer = 0
        return proven_at_ms
