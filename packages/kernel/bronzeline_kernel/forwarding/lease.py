"""Bound how long keys may be trusted without hearing from the store."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["FreshnessLease", "LeaseTerms"]


@dataclass(frozen=True)
class LeaseTerms:
    """Say how old a proof may be before keys are refused, and readiness ends."""

    max_age_ms: float
    ready_age_ms: float


class FreshnessLease:
    """Hold the newest moment at which the configuration was proven current.

    A proof dates from the moment at which the call that brought it was sent,
    on a clock that goes on while the VM is suspended: whatever the store
    acknowledged before that moment is contained in the answer.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.terms = terms
        self._proven_at_ms: float | None = None

    def renew(self, sent_at_ms: float) -> None:
        """Take in a proof; an older one than the newest changes nothing."""
        if self._proven_at_ms is None or sent_at_ms > self._proven_at_ms:
            self._proven_at_ms = sent_at_ms

    def age_ms(self, now_ms: float) -> float:
        """Return the age of the newest proof, infinite where there is none."""
        if self._proven_at_ms is None:
            return float("inf")
        return now_ms - self._proven_at_ms

    def is_valid(self, now_ms: float) -> bool:
        """Say whether a key that the configuration holds may be trusted."""
        return self.age_ms(now_ms) < self.terms.max_age_ms

    def is_ready(self, now_ms: float) -> bool:
        """Say whether there is enough of the lease left to take callers."""
        return self.age_ms(now_ms) < self.terms.ready_age_ms
