"""Decide which routers read the store, and date the proofs of peers."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.peer_avoidance import PeerAvoidance
from bronzeline_kernel.forwarding.peer_messages import RouterEntry
from bronzeline_kernel.forwarding.proof_tree import find_parent

__all__ = ["ProofOptions", "ProofRequest", "ProofSource"]

# Shares of the time in which changes must be in force.
POLL_SHARE = 0.2
FIRST_OF_ZONE_MAX_AGE_SHARE = 0.7
MAX_AGE_SHARE = 0.9


@dataclass(frozen=True)
class ProofOptions:
    """Set how often peers are asked for proofs, and how old a proof may be."""

    # The root's proofs are at most this old, as it reads the store at this interval.
    poll_interval_ms: float
    # With an older proof a router reads the store itself, so that the loss of a
    # router between it and the store does not delay changes beyond their limit.
    # The first router of a zone does so earlier, and the others get its proof.
    first_of_zone_max_age_ms: float
    max_age_ms: float
    request_interval_ms: float = 300.0
    # Peers respond within 30 ms, slow ones within 100 ms.
    unanswered_interval_ms: float = 100.0
    requests_per_peer: int = 3
    max_pending_requests: int = 8
    # A peer that does not respond, or has no recent proof though the store can be
    # read, is not asked for this long, and for longer each time in a row.
    avoid_ms: float = 5_000.0
    max_avoid_ms: float = 60_000.0
    # All routers may start together; until then their peers may not respond yet.
    start_grace_ms: float = 1_000.0
    # While the store does not respond, routers whose parent is alive read it
    # seldom, since their parent tells when it is back.
    first_retry_ms: float = 2_000.0
    # A zone may reach the store although the root does not.
    first_of_zone_retry_ms: float = 750.0
    max_retry_ms: float = 4_000.0

    @classmethod
    def within(cls, limit_ms: float) -> ProofOptions:
        """Return options that put changes in force within a limit."""
        return cls(
            poll_interval_ms=POLL_SHARE * limit_ms,
            first_of_zone_max_age_ms=FIRST_OF_ZONE_MAX_AGE_SHARE * limit_ms,
            max_age_ms=MAX_AGE_SHARE * limit_ms,
        )


@dataclass(frozen=True)
class ProofRequest:
    """Represent a request to a peer for proof of how current its data is."""

    number: int
    peer: RouterEntry


@dataclass
class ProofSource:
    """Ask the parent in the tree of routers for proofs; read the store without one.

    A proof is dated at the time the request was sent, less the age that the peer
    reported. The peer replied after the request was sent, so its data was current
    at the computed time or later, however long the reply took or either VM was
    suspended.
    """

    own: RouterEntry
    options: ProofOptions
    started_at_ms: float
    _peers: tuple[RouterEntry, ...] | None = None
    _parent: RouterEntry | None = None
    _avoidance: PeerAvoidance = field(init=False)
    _n_unanswered: int = 0
    _number: int = 0
    _sent_at_ms: dict[int, float] = field(default_factory=dict)
    _last_sent_at_ms: float = float("-inf")
    _proven_at_ms: float = float("-inf")

    def __post_init__(self) -> None:
        options = self.options
        self._avoidance = PeerAvoidance(options.avoid_ms, options.max_avoid_ms)

    def set_peers(self, peers: Iterable[RouterEntry], now_ms: float) -> None:
        """Replace the list of the other routers, after all of them were announced."""
        self._peers = tuple(peers)
        self._avoidance.keep_only({item.router_id for item in self._peers})
        self._update_parent()

    def heard_from(self, router_id: str, now_ms: float) -> None:
        """Record that a peer is alive."""
        self._avoidance.heard_from(router_id, now_ms)

    def parent(self, now_ms: float) -> RouterEntry | None:
        """Return the router to ask for data, None for the root."""
        if self._avoidance.drop_expired(now_ms):
            self._update_parent()
        return self._parent

    def is_root(self, now_ms: float) -> bool:
        """Return whether this router knows the others and is the root of the tree."""
        return self._peers is not None and self.parent(now_ms) is None

    def must_read_store(self, now_ms: float) -> bool:
        """Return whether this router must read the store itself."""
        is_starting = self._is_starting(now_ms)
        if self.is_root(now_ms):
            return True
        if is_starting:
            return False
        return now_ms - self._proven_at_ms >= self._max_age_ms()

    def retry_pause_ms(self, n_failures: int, now_ms: float) -> float | None:
        """Return the pause before the next read of a store that does not respond.

        None means that this router is the root and retries at once.
        """
        if self.parent(now_ms) is None:
            return None
        options = self.options
        first_ms = (
            options.first_of_zone_retry_ms
            if self._is_first_of_zone()
            else options.first_retry_ms
        )
        return min(options.max_retry_ms, first_ms * 2.0 ** max(0, n_failures - 1))

    def store_read(self, now_ms: float) -> None:
        """Avoid a parent that has no recent proof, as the store can be read."""
        parent = self.parent(now_ms)
        if parent is None or self._is_starting(now_ms):
            return
        if now_ms - self._proven_at_ms >= self._max_age_ms():
            self._avoid(parent, now_ms)

    def next_request(self, now_ms: float) -> ProofRequest | None:
        """Return the request to send to a peer now, None if none is due."""
        if not self._is_request_due(now_ms):
            return None
        parent = self.parent(now_ms)
        may_avoid = not self._is_starting(now_ms)
        if (
            parent
            and may_avoid
            and self._n_unanswered >= self.options.requests_per_peer
        ):
            self._avoid(parent, now_ms)
            parent = self._parent
        if parent is None:
            return None
        self._n_unanswered += 1
        self._last_sent_at_ms = now_ms
        self._number += 1
        self._sent_at_ms[self._number] = now_ms
        while len(self._sent_at_ms) > self.options.max_pending_requests:
            del self._sent_at_ms[next(iter(self._sent_at_ms))]
        return ProofRequest(self._number, parent)

    def accept_proof(self, number: int, age_ms: float, now_ms: float) -> float | None:
        """Return the time at which a reply proves the data current, None if invalid.

        The reply shows that the peer is alive, also if it has no proof yet.
        """
        sent_at_ms = self._sent_at_ms.pop(number, None)
        if sent_at_ms is None:
            return None
        self._n_unanswered = 0
        if not 0.0 <= age_ms < float("inf"):
            return None
        proven_at_ms = sent_at_ms - age_ms
        self._proven_at_ms = max(self._proven_at_ms, proven_at_ms)
        parent = self._parent
        if parent is not None and now_ms - proven_at_ms < self._max_age_ms():
            self.heard_from(parent.router_id, now_ms)
        return proven_at_ms

    def _is_request_due(self, now_ms: float) -> bool:
        options = self.options
        is_waiting = self._n_unanswered or self._proven_at_ms == float("-inf")
        interval_ms = (
            options.unanswered_interval_ms
            if is_waiting
            else options.request_interval_ms
        )
        return now_ms - self._last_sent_at_ms >= interval_ms

    def _is_starting(self, now_ms: float) -> bool:
        return now_ms - self.started_at_ms < self.options.start_grace_ms

    def _max_age_ms(self) -> float:
        if self._is_first_of_zone():
            return self.options.first_of_zone_max_age_ms
        return self.options.max_age_ms

    def _is_first_of_zone(self) -> bool:
        """Return whether this router gets the data for the others of its zone."""
        parent = self._parent
        if parent is None:
            return True
        return parent.availability_zone != self.own.availability_zone

    def _avoid(self, peer: RouterEntry, now_ms: float) -> None:
        self._avoidance.avoid(peer.router_id, now_ms)
        self._update_parent()

    def _update_parent(self) -> None:
        usable = [
            item
            for item in self._peers or ()
            if not self._avoidance.is_avoided(item.router_id)
        ]
        parent = find_parent(self.own, usable)
        if parent != self._parent:
            self._parent = parent
            self._n_unanswered = 0
