"""Describe an operator's order to move a service to another software version."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from bronzeline_kernel.forwarding.store_position import StorePosition

__all__ = ["RolloutChanges", "RolloutOrder", "RolloutState", "Stage"]


class RolloutState(Enum):
    """Classify what the store says of an order."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Stage(Enum):
    """Classify how far the rollout of a version is; values go over the wire."""

    # The store does not say `running` yet.
    WAITING = "waiting"
    CANARY = "canary"
    # All new requests go to the candidate, and it is still judged.
    SHIFTED = "shifted"
    # Judged good; the store does not say `completed` yet.
    COMPLETING = "completing"
    # Judged bad or out of time; the store does not say `rolled_back` yet.
    REVERTING = "reverting"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Return whether the store has the outcome."""
        return self in {Stage.COMPLETED, Stage.ROLLED_BACK}

    @property
    def is_reverted(self) -> bool:
        """Return whether the candidate must not get any request."""
        return self in {Stage.REVERTING, Stage.ROLLED_BACK}

    @property
    def is_shifted(self) -> bool:
        """Return whether new requests go to the candidate, still revocably."""
        return self in {Stage.SHIFTED, Stage.COMPLETING}


@dataclass(frozen=True)
class RolloutOrder:
    """Represent a readable entry of the store.

    `state` is None if the entry's status is missing or is that of an earlier order
    of the same entry. `served_version` is the version that such an earlier order
    completed, empty if none did.
    """

    service: str
    version: str
    duration_ms: float
    name: str
    revision: int
    created_revision: int = 0
    state: RolloutState | None = None
    served_version: str = ""

    @property
    def is_decided(self) -> bool:
        """Return whether the store has the outcome."""
        return self.state in {RolloutState.COMPLETED, RolloutState.ROLLED_BACK}

    def is_same_rollout(self, other: RolloutOrder) -> bool:
        """Return whether another reading of the store is of the same rollout."""
        return (
            self.service == other.service
            and self.version == other.version
            and self.created_revision == other.created_revision
        )


@dataclass(frozen=True)
class RolloutChanges:
    """Hold the entries read from the store, and the names of those that are gone."""

    orders: tuple[RolloutOrder, ...]
    removed: tuple[str, ...]
    position: StorePosition
    # The names of listed entries that can't be read, which are not gone.
    unreadable: tuple[str, ...] = ()
