"""Decide which claims have expired and which router removes them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from hashlib import blake2b
from math import ceil, log
from random import Random

from bronzeline_kernel.orders.claim import CLAIM_PREFIX, Claim

__all__ = ["ClaimSweeper", "SweepStep", "is_expired", "is_in_doubt"]

MS_PER_S = 1_000.0
HEX_BASE = 16
MIN_DIGITS = 1
MAX_DIGITS = 5
MAX_LISTED = 500
PASSES_PER_RETENTION = 4
IN_DOUBT_AFTER_S = 10.0


@dataclass(frozen=True)
class SweepStep:
    """Hold the key prefix to list next and the wait before it in ms."""

    prefix: str
    wait_ms: float


class ClaimSweeper:
    """Iterate over all claims several times per retention period.

    Every router iterates at the same rate and lists only the key prefixes for
    which it ranks first in its own view. If two routers list the same prefix, the
    only cost is extra store calls.
    """

    def __init__(self, own_id: str, random: Random) -> None:
        self._own_id = own_id
        self._random = random
        self._position = random.random()

    def next_step(self, retention_ms: float, n_claims: float) -> SweepStep:
        """Return the next step, with shorter prefixes for fewer claims."""
        n_digits = _n_digits(n_claims)
        n_parts = HEX_BASE**n_digits
        self._position = (self._position + 1.0 / n_parts) % 1.0
        part = int(self._position * n_parts)
        period_ms = retention_ms / PASSES_PER_RETENTION
        wait_ms = period_ms / n_parts * self._random.uniform(0.5, 1.5)
        return SweepStep(f"{CLAIM_PREFIX}{part:0{n_digits}x}", wait_ms)

    def is_responsible(self, prefix: str, router_ids: Collection[str]) -> bool:
        """Return whether this router ranks first for a key prefix."""
        candidate_ids = {*router_ids, self._own_id}
        return max(candidate_ids, key=lambda item: _rank(prefix, item)) == self._own_id


def is_expired(claim: Claim, now_s: float, retention_ms: float) -> bool:
    """Return whether a claim was decided longer ago than the retention period."""
    decided_at_s = max(claim.claimed_at_s, claim.decided_at_s)
    is_old = now_s - decided_at_s > retention_ms / MS_PER_S
    return claim.state.is_final and is_old


def is_in_doubt(claim: Claim, now_s: float) -> bool:
    """Return whether a claim has been without a final state for too long."""
    return not claim.state.is_final and now_s - claim.claimed_at_s > IN_DOUBT_AFTER_S


def _n_digits(n_claims: float) -> int:
    n_parts = max(1.0, n_claims / MAX_LISTED)
    return min(MAX_DIGITS, max(MIN_DIGITS, ceil(log(n_parts, HEX_BASE))))


def _rank(prefix: str, router_id: str) -> bytes:
    return blake2b(f"{prefix}/{router_id}".encode(), digest_size=8).digest()
