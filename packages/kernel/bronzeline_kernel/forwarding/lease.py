"""Limit how long keys are trusted without contact with the store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FreshnessLease", "LeaseTerms"]


@dataclass(frozen=True)
class LeaseTerms:
    """Set the proof ages from which keys are refused and the router is not ready."""

    max_age_ms: float
    ready_age_ms: float


class FreshnessLease:
    """Hold the latest time at which the configuration was proven current.

    A proof is dated to when the call that obtained it was sent, on a clock that
    keeps running while the VM is suspended: the response contains whatever the
    store acknowledged before that time.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self._proven_at_ms: float | None = None

    def renew(self, sent_at_ms: float) -> None:
        """Extend the lease by a proof; one older than the newest has no effect."""
        if self._proven_at_ms is None or sent_at_ms > self._proven_at_ms:
            self._proven_at_ms = sent_at_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof, infinity if there is none."""
        if self._proven_at_ms is None:
            return float("inf")
        return now_ms - self._proven_at_ms

    def is_valid(self, now_ms: float) -> bool:
        """Return whether the keys of the configuration may be trusted."""
        return self.age_ms(now_ms) < self.terms.max_age_ms

    def is_ready(self, now_ms: float) -> bool:
        """Return whether enough of the lease is left to accept callers."""
        return self.age_ms(now_ms) < self.terms.ready_age_ms
