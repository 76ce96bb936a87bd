"""Send announcements to peers until each peer has acknowledged them."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

__all__ = ["Announcer"]

REPEAT_AFTER_MS = 100.0
SETTLE_TIMEOUT_MS = 400.0
GIVE_UP_AFTER_MS = 10_000.0


@dataclass
class Announcement:
    """Track the peers that have not acknowledged an announcement."""

    message: Any
    unacknowledged_ids: set[str]
    started_at_ms: float
    repeat_at_ms: float
    give_up_at_ms: float


class Announcer:
    """Repeat announcements until they are acknowledged or expire."""

    def __init__(self) -> None:
        self._announcements: dict[int, Announcement] = {}

    def add(
        self,
        announcement_id: int,
        message: Any,
        router_ids: Collection[str],
        now_ms: float,
        give_up_after_ms: float = GIVE_UP_AFTER_MS,
    ) -> list[tuple[str, Any]]:
        """Start an announcement and return its first messages by recipient."""
        unacknowledged_ids = set(router_ids)
        repeat_at_ms = now_ms + REPEAT_AFTER_MS
        announcement = Announcement(
            message, unacknowledged_ids, now_ms, repeat_at_ms, now_ms + give_up_after_ms
        )
        self._announcements[announcement_id] = announcement
        return [(router_id, message) for router_id in sorted(unacknowledged_ids)]

    def acknowledge(self, announcement_id: int, router_id: str) -> None:
        """Record that a peer received an announcement."""
        announcement = self._announcements.get(announcement_id)
        if announcement is not None:
            announcement.unacknowledged_ids.discard(router_id)

    def is_settled(self, announcement_id: int, now_ms: float) -> bool:
        """Return whether all peers acknowledged an announcement or it timed out."""
        announcement = self._announcements.get(announcement_id)
        if announcement is None or not announcement.unacknowledged_ids:
            return True
        return now_ms - announcement.started_at_ms >= SETTLE_TIMEOUT_MS

    def tick(self, alive_ids: Collection[str], now_ms: float) -> list[tuple[str, Any]]:
        """Return the messages that are due again, by recipient."""
        messages: list[tuple[str, Any]] = []
        for announcement_id, item in list(self._announcements.items()):
            item.unacknowledged_ids.intersection_update(alive_ids)
            is_expired = now_ms >= item.give_up_at_ms
            if not item.unacknowledged_ids or is_expired:
                del self._announcements[announcement_id]
            elif now_ms >= item.repeat_at_ms:
                item.repeat_at_ms = now_ms + REPEAT_AFTER_MS
                messages += [
                    (router_id, item.message)
                    for router_id in sorted(item.unacknowledged_ids)
                ]
        return messages
