"""Detect requests that crash engines and prevent them from running again."""

from bronzeline_kernel.quarantine.announcer import Announcer
from bronzeline_kernel.quarantine.messages import (
    AnnouncementReceived,
    EngineDied,
    QuarantineAsked,
    QuarantineEntry,
    QuarantineLifted,
    QuarantineStarted,
    SuspectPlaced,
)
from bronzeline_kernel.quarantine.tracker import BlameTracker

__all__ = [
    "AnnouncementReceived",
    "Announcer",
    "BlameTracker",
    "EngineDied",
    "QuarantineAsked",
    "QuarantineEntry",
    "QuarantineLifted",
    "QuarantineStarted",
    "SuspectPlaced",
]
