"""Define the messages by which routers exchange the configuration."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = [
    "PEER_MESSAGES",
    "ConfigDelta",
    "ConfigDigest",
    "ConfigDocument",
    "ConfigPull",
    "ConfigQuery",
    "PeerMessage",
    "SendToPeer",
]


@dataclass(frozen=True)
class ConfigDigest:
    """Confirm the version and the digest in force at the sender."""

    version: int
    digest: str


@dataclass(frozen=True)
class ConfigQuery:
    """Ask which version the receiver has in force."""


@dataclass(frozen=True)
class ConfigPull:
    """Request everything newer than the sender's version."""

    have_version: int


@dataclass(frozen=True)
class ConfigDelta:
    """Carry the entries that changed between two versions, encoded as JSON."""

    from_version: int
    to_version: int
    changed: dict[str, bytes]
    removed: tuple[str, ...]
    records: bytes
    digest: str


@dataclass(frozen=True)
class ConfigDocument:
    """Carry a whole configuration, encoded as JSON."""

    document: bytes


PeerMessage = ConfigDigest | ConfigQuery | ConfigPull | ConfigDelta | ConfigDocument
PEER_MESSAGES = (ConfigDigest, ConfigQuery, ConfigPull, ConfigDelta, ConfigDocument)


@dataclass(frozen=True)
class SendToPeer:
    """Send a message to one router, without a delivery guarantee."""

    router_id: str
    message: PeerMessage
