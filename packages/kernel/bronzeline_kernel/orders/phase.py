"""Define the phases of an order at one router and their time limits."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["AFTER_DISPATCH", "BEFORE_DISPATCH", "UNRECORDED", "OrderTimes", "Phase"]

QUEUE_SHARE = 0.5
DISPATCH_SHARE = 0.75
EARLY_READ_MS = 250.0
LAST_LOOK_UP_MS = 500.0
GIVE_UP_MS = 60_000.0


class Phase(StrEnum):
    """Name the phase that an order is in at one router."""

    RECEIVED = "received"
    QUEUED = "queued"
    CLAIMING = "claiming"
    CONFIRMING = "confirming"
    DISPATCHING = "dispatching"
    REFUSING = "refusing"
    RECORDING = "recording"
    SETTLING = "settling"
    FOLLOWING = "following"
    ENDED = "ended"


BEFORE_DISPATCH = (Phase.QUEUED, Phase.CLAIMING, Phase.CONFIRMING)
AFTER_DISPATCH = (Phase.DISPATCHING, Phase.SETTLING, Phase.FOLLOWING)
# The outcome is certain in these phases; its write is retried without a time limit.
UNRECORDED = (Phase.REFUSING, Phase.RECORDING)


@dataclass(frozen=True)
class OrderTimes:
    """Split an order's deadline so that a refusal can still be recorded in time."""

    received_at_ms: float
    deadline_ms: float

    @property
    def early_read_at_ms(self) -> float:
        """Return when the claim of a queued order is read."""
        return self.received_at_ms + EARLY_READ_MS

    @property
    def queue_by_ms(self) -> float:
        """Return until when the order may wait for an upstream."""
        return self.received_at_ms + self.deadline_ms * QUEUE_SHARE

    @property
    def dispatch_by_ms(self) -> float:
        """Return until when the order may be dispatched to an upstream."""
        return self.received_at_ms + self.deadline_ms * DISPATCH_SHARE

    @property
    def last_look_up_at_ms(self) -> float:
        """Return when the service is asked about an order without a response."""
        return self.deadline_at_ms - LAST_LOOK_UP_MS

    @property
    def deadline_at_ms(self) -> float:
        """Return when the caller is answered with what is known."""
        return self.received_at_ms + self.deadline_ms

    @property
    def give_up_at_ms(self) -> float:
        """Return until when this router tries to settle an order in doubt."""
        return self.deadline_at_ms + GIVE_UP_MS
