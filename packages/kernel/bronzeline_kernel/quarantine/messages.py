"""Define the messages between routers about requests that crash engines."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "AnnouncementReceived",
    "EngineDied",
    "QuarantineAsked",
    "QuarantineEntry",
    "QuarantineLifted",
    "QuarantineStarted",
    "SuspectPlaced",
]


@dataclass(frozen=True)
class QuarantineEntry:
    """Describe one quarantined request."""

    entry_id: str
    request_hash: str
    workspace: str
    reason: str
    upstream_ids: tuple[str, ...]
    expires_at_ms: float


@dataclass(frozen=True)
class EngineDied:
    """Report which requests ran on an engine that died, and for how long."""

    announcement_id: int
    upstream_id: str
    ran_ms: dict[str, float]


@dataclass(frozen=True)
class QuarantineStarted:
    """Announce that a request must not run, and for how much longer."""

    announcement_id: int
    request_hash: str
    workspace: str
    reason: str
    upstream_ids: tuple[str, ...]
    expires_in_ms: float


@dataclass(frozen=True)
class QuarantineLifted:
    """Announce that a request may run again."""

    announcement_id: int
    entry_id: str


@dataclass(frozen=True)
class AnnouncementReceived:
    """Acknowledge an announcement."""

    announcement_id: int


@dataclass(frozen=True)
class SuspectPlaced:
    """Report the engine that a suspect runs on, or that it ended or completed."""

    request_hash: str
    upstream_id: str
    is_cleared: bool = False


@dataclass(frozen=True)
class QuarantineAsked:
    """Request the quarantines in force from a peer."""
