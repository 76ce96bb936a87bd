"""Define the messages between routers on rollouts, besides the report."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import ClassVar

from bronzeline_kernel.forwarding.rollout.order import Stage

__all__ = [
    "RolloutAnnouncement",
    "RolloutQuery",
    "VersionsAnnouncement",
    "VersionsQuery",
]

# A share that ends or changes by more than this part is announced at once.
MAX_UNANNOUNCED_CHANGE = 0.25


@dataclass(frozen=True)
class RolloutAnnouncement:
    """Tell how far a rollout is, as a router that reads the store decided.

    `shares` are the shares of each route's requests that go to the candidate, at
    `n_upstreams` of its upstreams. `age_ms` is the time since the order was read.
    """

    WIRE_NAME: ClassVar[str] = "RolloutTold"

    service: str
    version: str
    stage: Stage
    control: tuple[str, ...]
    shares: tuple[tuple[str, float], ...]
    n_upstreams: int
    age_ms: float
    created_revision: int
    # The position of the store at which the order was read.
    era: int
    revision: int
    # The id of the router that decides.
    decider: str
    # Whether bad responses led to a revert, rather than a lack of evidence or time.
    is_judged_bad: bool | None = None

    def is_same_run(self, earlier: RolloutAnnouncement) -> bool:
        """Return whether an earlier message is of the same run of a rollout.

        An order that has lost its outcome is run anew.
        """
        is_rerun = earlier.stage.is_final and not self.stage.is_final
        is_same = (self.version, self.created_revision) == (
            earlier.version,
            earlier.created_revision,
        )
        return is_same and not is_rerun

    def is_same_decision(self, other: RolloutAnnouncement | None) -> bool:
        """Return whether another message differs in age and small shifts only."""
        return other is not None and (
            self.stage is other.stage
            and self.revision == other.revision
            and self.version == other.version
            and self.n_upstreams == other.n_upstreams
            and _are_close(dict(self.shares), dict(other.shares))
        )


def _are_close(shares: Mapping[str, float], others: Mapping[str, float]) -> bool:
    """Return whether shares differ so little that the next regular message will do."""
    return shares.keys() == others.keys() and all(
        abs(share - others[route]) <= MAX_UNANNOUNCED_CHANGE * others[route]
        for route, share in shares.items()
    )


@dataclass(frozen=True)
class RolloutQuery:
    """Ask the peers how far a rollout is, after a restart."""

    WIRE_NAME: ClassVar[str] = "RolloutAsked"

    service: str
    version: str


@dataclass(frozen=True)
class VersionsQuery:
    """Ask the peers which versions of services are in use, after a start."""

    router_id: str


@dataclass(frozen=True)
class VersionsAnnouncement:
    """State which versions of a service a router uses without an order.

    `n_before` is how many upstreams they had before one of another version was listed.
    """

    service: str
    versions: tuple[str, ...]
    n_before: int
