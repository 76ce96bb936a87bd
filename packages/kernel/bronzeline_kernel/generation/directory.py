"""Store which routers hold the generation of an idempotency key."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh64_intdigest

__all__ = [
    "GenerationPlaced",
    "PlacementAnswered",
    "PlacementAsked",
    "PlacementDirectory",
    "directory_ids",
]

EXPIRY_MS = 600_000.0
N_DIRECTORIES = 2


@dataclass(frozen=True)
class GenerationPlaced:
    """Announce the routers that hold the tokens of a generation."""

    request_key: str
    generation_id: str
    router_ids: tuple[str, ...]


@dataclass(frozen=True)
class PlacementAsked:
    """Ask which routers hold the generation of a request key."""

    question_id: int
    request_key: str


@dataclass(frozen=True)
class PlacementAnswered:
    """Answer `PlacementAsked` with the routers that hold the generation."""

    question_id: int
    placement: GenerationPlaced


class PlacementDirectory:
    """Hold the placements of the request keys assigned to this router."""

    def __init__(self) -> None:
        self._placements: dict[str, tuple[GenerationPlaced, float]] = {}

    def place(self, placement: GenerationPlaced, now_ms: float) -> None:
        """Record the placement of the latest generation of a request key."""
        # A key that is placed again goes to the end, as `expire` relies on the order.
        self._placements.pop(placement.request_key, None)
        self._placements[placement.request_key] = (placement, now_ms)

    def find(self, request_key: str) -> GenerationPlaced | None:
        """Return the placement of the latest generation of a request key, or None."""
        found = self._placements.get(request_key)
        return found[0] if found else None

    def expire(self, now_ms: float) -> None:
        """Drop expired placements; they are stored oldest first."""
        for request_key, (_, placed_at_ms) in list(self._placements.items()):
            if now_ms - placed_at_ms < EXPIRY_MS:
                return
            del self._placements[request_key]


def directory_ids(request_key: str, router_ids: Iterable[str]) -> list[str]:
    """Return the ids of the routers that store a placement, by rendezvous hash."""

    def rank(router_id: str) -> int:
        return xxh64_intdigest(f"{request_key}/{router_id}".encode())

    return sorted(router_ids, key=rank)[:N_DIRECTORIES]
