"""Track which routers are alive, from the list of VMs and peer messages."""

from bronzeline_kernel.membership.machine import Membership, MembershipOptions
from bronzeline_kernel.membership.members import Member, Members
from bronzeline_kernel.membership.messages import (
    DrainStarted,
    Heartbeat,
    MemberChanged,
    MemberEvent,
    MemberEvents,
    MembershipAction,
    MembershipMessage,
    MemberState,
    PeerMessageReceived,
    SendToPeer,
    Tick,
    VmListRead,
)

__all__ = [
    "DrainStarted",
    "Heartbeat",
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
    "PeerMessageReceived",
    "SendToPeer",
    "Tick",
    "VmListRead",
]
