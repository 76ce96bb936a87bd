"""Decide whether a reading of the store proves the configuration current."""

from __future__ import annotations

__all__ = ["StoredConfig"]

# After a restoration the operator writes again what the copy lacks. A reading within
# this time may precede it.
REWRITE_MS = 1_000.0


class StoredConfig:
    """Hold which version of the configuration the store has shown in its latest era.

    A copy lacks the versions that were accepted after it was taken, and with them
    the revocation of keys. They may include some that no router has read.
    """

    def __init__(self) -> None:
        self.version = 0
        self._proves_from_ms = float("-inf")

    def record(self, version: int) -> None:
        """Record a version that was read from the store."""
        self.version = max(self.version, version)

    def store_restored(self, now_ms: float) -> None:
        """Forget the version, which the store may have lost."""
        self.version = 0
        self._proves_from_ms = now_ms + REWRITE_MS

    def find_doubt(self, version_in_force: int, sent_at_ms: float) -> str:
        """Return why a reading sent at a time proves nothing, empty if it does."""
        if sent_at_ms < self._proves_from_ms:
            return "the store was just restored"
        if self.version < version_in_force:
            return "the store lacks the version in force"
        return ""
