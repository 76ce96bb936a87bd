"""Define the input messages and the output actions of membership."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum

import msgspec

from bronzeline_kernel.fleet import RouterInfo

__all__ = [
    "DrainStarted",
    "Heartbeat",
    "MemberChanged",
    "MemberEvent",
    "MemberEvents",
    "MemberState",
    "MembershipAction",
    "MembershipMessage",
    "PeerMessageReceived",
    "SendToPeer",
    "Tick",
    "VmListRead",
]


class MemberState(IntEnum):
    """Name the states of a member; within a revision the highest value wins."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    FAILED = 3


class MemberEvent(msgspec.Struct, frozen=True, array_like=True):
    """Report a router's state; events are ordered by incarnation and revision."""

    router_id: str
    incarnation: int
    revision: int
    state: MemberState
    host: str = ""
    peer_port: int = 0
    availability_zone: str = ""
    region: str = ""

    @property
    def order(self) -> tuple[int, int, int]:
        """Return the key that orders events about the same router."""
        return (self.incarnation, self.revision, int(self.state))


@dataclass(frozen=True)
class Heartbeat:
    """Report that the sender is alive, with a digest of its view."""

    view_digest: int
    is_answer: bool = False


@dataclass(frozen=True)
class MemberEvents:
    """Send the states of some routers to a peer."""

    events: tuple[MemberEvent, ...]


@dataclass(frozen=True)
class VmListRead:
    """Report one reading of the platform's list of VMs."""

    routers: tuple[RouterInfo, ...]


@dataclass(frozen=True)
class PeerMessageReceived:
    """Report a message of another router and the incarnation that sent it."""

    router_id: str
    incarnation: int
    message: Heartbeat | MemberEvents


@dataclass(frozen=True)
class Tick:
    """Report that time has passed; sent periodically."""


@dataclass(frozen=True)
class DrainStarted:
    """Report that this router has begun to drain."""


MembershipMessage = VmListRead | PeerMessageReceived | Tick | DrainStarted


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to a router, without a delivery guarantee."""

    router_id: str
    message: Heartbeat | MemberEvents


@dataclass(frozen=True)
class MemberChanged:
    """Report that the state of another router changed in this view."""

    router_id: str
    state: MemberState
    reason: str


MembershipAction = SendToPeer | MemberChanged
