"""Remember which upstreams left, for when the store lists them again from a copy."""

from __future__ import annotations

from bronzeline_kernel.forwarding.upstream_notices import Incarnation

__all__ = ["DepartedUpstreams"]

# After a restoration the entry of an upstream that has gone expires within this time:
# after three heartbeats of 1.2 s without one, and two seconds for registering again.
DOUBT_MS = 6_000.0
MAX_DEPARTED = 4_000


class DepartedUpstreams:
    """Hold the incarnations that left or were removed.

    A list that is read soon after a restoration may show them as they were before.
    """

    def __init__(self) -> None:
        # Ordered by when they left.
        self._departed: dict[Incarnation, None] = {}
        self._doubt_until_ms = float("-inf")

    def add(self, incarnation: Incarnation) -> None:
        """Record that an upstream leaves or is gone."""
        self._departed.pop(incarnation, None)
        self._departed[incarnation] = None
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def discard(self, incarnation: Incarnation) -> None:
        """Record that an upstream itself has registered again."""
        self._departed.pop(incarnation, None)

    def store_restored(self, now_ms: float) -> None:
        """Doubt what lists say of the departed upstreams for a while."""
        self._doubt_until_ms = now_ms + DOUBT_MS

    def doubted_until_ms(self, incarnation: Incarnation, now_ms: float) -> float | None:
        """Return until when a listed entry counts as leaving, None if believed."""
        if now_ms >= self._doubt_until_ms or incarnation not in self._departed:
            return None
        return self._doubt_until_ms
