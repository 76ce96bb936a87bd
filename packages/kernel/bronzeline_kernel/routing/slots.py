"""Track the slots of upstreams that this router holds."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from bronzeline_kernel.routing.messages import Slot

__all__ = ["SlotLedger"]


class SlotLedger:
    """Track the slots that this router holds and how many are in use.

    Slots are soft state: a slot held twice makes work queue at the upstream, and a
    lost slot stays idle until the home router's audit finds it. Neither loses work.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[Slot]] = {}
        self._n_used: Counter[str] = Counter()
        self._allocated: set[str] = set()

    def is_allocated(self, upstream_id: str) -> bool:
        """Return whether an upstream's slots are allocated to routers."""
        return upstream_id in self._allocated

    def allocated_ids(self) -> list[str]:
        """Return the upstreams whose slots are allocated to routers."""
        return sorted(self._allocated)

    def n_held(self, upstream_id: str) -> int:
        """Return the number of slots held, in use or not."""
        return len(self._held.get(upstream_id, ()))

    def n_used(self, upstream_id: str) -> int:
        """Return the number of slots that this router's work uses."""
        return self._n_used[upstream_id]

    def n_free(self, upstream_id: str) -> int:
        """Return the number of slots held and not in use."""
        return max(0, self.n_held(upstream_id) - self._n_used[upstream_id])

    def free_ids(self) -> list[str]:
        """Return the upstreams with free slots."""
        return [item for item in self._held if self.n_free(item) > 0]

    def held(self) -> dict[str, tuple[Slot, ...]]:
        """Return the slots held for each upstream."""
        return {key: tuple(slots) for key, slots in self._held.items() if slots}

    def acquire(self, upstream_id: str) -> None:
        """Count a slot as in use."""
        self._n_used[upstream_id] += 1

    def release(self, upstream_id: str) -> None:
        """Count a slot as no longer in use."""
        self._n_used[upstream_id] -= 1

    def receive(self, upstream_id: str, slots: Iterable[Slot]) -> None:
        """Add slots, if any, and mark the upstream's slots as allocated."""
        self._allocated.add(upstream_id)
        held = self._held.setdefault(upstream_id, [])
        held.extend(slot for slot in slots if slot not in held)

    def take_free(self, upstream_id: str, n_slots: int) -> tuple[Slot, ...]:
        """Remove and return at most the given number of free slots."""
        n_taken = min(n_slots, self.n_free(upstream_id))
        held = self._held.get(upstream_id, [])
        taken = tuple(held[:n_taken])
        del held[:n_taken]
        return taken

    def drop(self, upstream_id: str, slots: Iterable[Slot]) -> None:
        """Drop slots that were allocated again, even if they are in use."""
        dropped = set(slots)
        held = self._held.get(upstream_id, [])
        self._held[upstream_id] = [slot for slot in held if slot not in dropped]

    def forget(self, upstream_id: str) -> None:
        """Drop all slots of an upstream that was removed."""
        self._allocated.discard(upstream_id)
        self._held.pop(upstream_id, None)
