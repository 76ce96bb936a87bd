"""Tell the loss of a zone from engines that die at the same time by chance."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_kernel.forwarding.health import Zone

__all__ = ["EngineCount", "is_zone_loss"]

# A zone whose engines die in this share within a moment is lost as a whole.
LOST_SHARE = 0.2

# Returns the number of a zone's engines, 0 if it is not known.
EngineCount = Callable[[Zone], int]


def is_zone_loss(n_died: int, n_engines: int, max_by_chance: int) -> bool:
    """Return whether so many engines of a zone died together that it is lost.

    Up to `max_by_chance` may always die together by chance.
    """
    return n_died > max(max_by_chance, LOST_SHARE * n_engines)
