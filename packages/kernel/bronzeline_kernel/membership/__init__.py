"""Track which routers are alive, from the list of VMs and from heartbeats."""

from bronzeline_kernel.membership.machine import Membership, MembershipOptions
from bronzeline_kernel.membership.members import Member, Members
from bronzeline_kernel.membership.messages import (
    Heartbeat,
    ListRead,
    MemberChanged,
    MemberEvent,
    MemberEvents,
    MembershipAction,
    MembershipMessage,
    MemberState,
    PeerHeard,
    SendToPeer,
    StopAnnounced,
    Tick,
)

__all__ = [
    "Heartbeat",
    "ListRead",
    "Member",
    "MemberChanged",
    "MemberEvent",
    "MemberEvents",
    "MemberState",
    "Members",
    "Membership",
    "MembershipAction",
    "MembershipMessage",
    "MembershipOptions",
    "PeerHeard",
    "SendToPeer",
    "StopAnnounced",
    "Tick",
]
