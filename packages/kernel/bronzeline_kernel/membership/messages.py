"""Declare the messages into membership and the actions out of it."""

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
    """Name what one router believes of another, the stronger the higher."""

    ALIVE = 0
    SUSPECTED = 1
    LEAVING = 2
    FAILED = 3


class MemberEvent(msgspec.Struct, frozen=True, array_like=True):
    """Tell one router's state; the newest of an incarnation counts."""

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
        """Return what decides which of two events on a router counts."""
        return (self.incarnation, self.revision, int(self.state))


@dataclass(frozen=True)
class Heartbeat:
    """Say that the sender lives, and what its view adds up to."""

    view_digest: int
    is_answer: bool = False


@dataclass(frozen=True)
class MemberEvents:
    """Pass on what is known of some routers."""

    events: tuple[MemberEvent, ...]


@dataclass(frozen=True)
class VmListRead:
    """Give one reading of the platform's list of VMs."""

    routers: tuple[RouterInfo, ...]


@dataclass(frozen=True)
class PeerMessageReceived:
    """Give a message of another router and the incarnation that sent it."""

    router_id: str
    incarnation: int
    message: Heartbeat | MemberEvents


@dataclass(frozen=True)
class Tick:
    """Let time pass."""


@dataclass(frozen=True)
class DrainStarted:
    """Say that this router is about to stop."""


MembershipMessage = VmListRead | PeerMessageReceived | Tick | DrainStarted


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to a router; it may be lost."""

    router_id: str
    message: Heartbeat | MemberEvents


@dataclass(frozen=True)
class MemberChanged:
    """Say that this router's belief of another one changed."""

    router_id: str
    state: MemberState
    reason: str


MembershipAction = SendToPeer | MemberChanged
