"""Tell by what a router sees itself whether the store may have been away."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["StoreContact"]

# The store responds within 30 ms. A call without a response for this long counts as
# failed once a peer tells that the store can be read.
UNANSWERED_MS = 450.0


@dataclass
class StoreContact:
    """Distinguish an outage of the store from one of the router that is followed.

    A router whose own calls did not fail has no evidence of an outage, however old the
    proofs of its peers are: the one that it follows may be cut off alone.
    """

    _read_at_ms: float | None = None
    _asked_at_ms: float | None = None
    _failed_at_ms: float | None = None

    def record_call(self, now_ms: float) -> None:
        """Record that this router sends a call, which the store answers at once."""
        if self._asked_at_ms is None:
            self._asked_at_ms = now_ms

    def record_failure(self, now_ms: float) -> None:
        """Record that a call of this router failed."""
        self._asked_at_ms, self._failed_at_ms = None, now_ms

    def record_answer(self, now_ms: float) -> float | None:
        """Record that the store answered this router.

        Returns for how long the store may have been away, in milliseconds, None if no
        call had failed.
        """
        self._asked_at_ms = None
        return self._record_read(now_ms)

    def record_peer_reading(self, read_at_ms: float) -> float | None:
        """Record when a peer read the store; returns the same as `record_answer`."""
        asked_at_ms = self._asked_at_ms
        if asked_at_ms is not None and read_at_ms - asked_at_ms >= UNANSWERED_MS:
            self.record_failure(asked_at_ms)
        return self._record_read(read_at_ms)

    def is_failing(self, now_ms: float) -> bool:
        """Return whether calls of this router failed since the last known reading."""
        asked_at_ms = self._asked_at_ms
        is_silent = asked_at_ms is not None and now_ms - asked_at_ms >= UNANSWERED_MS
        return is_silent or self._failed_at_ms is not None

    def _record_read(self, read_at_ms: float) -> float | None:
        last_read_at_ms, failed_at_ms = self._read_at_ms, self._failed_at_ms
        if last_read_at_ms is not None and read_at_ms <= last_read_at_ms:
            return None
        self._read_at_ms = read_at_ms
        # A peer may tell of a reading that is older than the failed call.
        if failed_at_ms is None or read_at_ms < failed_at_ms:
            return None
        self._failed_at_ms = None
        began_at_ms = failed_at_ms if last_read_at_ms is None else last_read_at_ms
        return read_at_ms - began_at_ms
