"""Decide when a router stores where its streams began."""

from __future__ import annotations

from bronzeline_kernel.forwarding.stream_origins import MEMORY_MS, StreamOrigin

__all__ = ["OwnOrigins"]

# All routers together; the store takes several hundred writes a second.
MAX_WRITES_PER_S = 100.0
MIN_INTERVAL_MS = 100.0


class OwnOrigins:
    """Hold the origins of this router's streams, and whether they must be stored.

    They are stored while a service has several versions. So a stream can go on after
    the loss of all routers.
    """

    def __init__(self) -> None:
        self._origins: dict[str, tuple[StreamOrigin, float]] = {}
        self._is_stored = True
        self._was_mixed = False
        self._due_ms = 0.0

    def add(self, origin: StreamOrigin, now_ms: float) -> None:
        """Record an origin of this router or of its former self."""
        if origin.request_id not in self._origins:
            self._is_stored = False
        self._origins[origin.request_id] = origin, now_ms

    def forget_stored(self) -> None:
        """Store all again: the store may have lost them."""
        self._is_stored = False

    def to_store(
        self, is_mixed: bool, n_routers: int, now_ms: float
    ) -> tuple[StreamOrigin, ...] | None:
        """Return the origins to store now, None if nothing is due.

        What is stored is emptied once no service has several versions.
        """
        has_changed = is_mixed != self._was_mixed
        if has_changed and not (is_mixed and not self._origins):
            self._is_stored = False
        self._was_mixed = is_mixed
        if not is_mixed and not has_changed:
            return None
        if self._is_stored or now_ms < self._due_ms:
            return None
        interval_ms = 1000.0 * n_routers / MAX_WRITES_PER_S
        self._due_ms = now_ms + max(MIN_INTERVAL_MS, interval_ms)
        self._expire(now_ms)
        self._is_stored = True
        return tuple(item for item, _ in self._origins.values()) if is_mixed else ()

    def _expire(self, now_ms: float) -> None:
        self._origins = {
            key: (origin, added_at_ms)
            for key, (origin, added_at_ms) in self._origins.items()
            if now_ms - added_at_ms < MEMORY_MS
        }
