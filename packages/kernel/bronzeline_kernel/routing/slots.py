"""Hold this router's part of each upstream's slots."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from bronzeline_kernel.routing.messages import Slot

__all__ = ["SlotLedger"]


class SlotLedger:
    """Keep the slots that this router holds and count those that it uses.

    Slots are soft state: a slot held twice makes work queue at the upstream,
    a lost one stays idle until the home router's audit; neither loses work.
    """

    def __init__(self) -> None:
        self._held: dict[str, list[Slot]] = {}
        self._n_used: Counter[str] = Counter()
        self._allocated: set[str] = set()

    def is_allocated(self, upstream_id: str) -> bool:
        """Say whether an upstream's slots have been shared out."""
        return upstream_id in self._allocated

    def allocated_ids(self) -> list[str]:
        """List the upstreams whose slots have been shared out."""
        return sorted(self._allocated)

    def n_held(self, upstream_id: str) -> int:
        """Return the number of slots held, used or not."""
        return len(self._held.get(upstream_id, ()))

    def n_used(self, upstream_id: str) -> int:
        """Return the number of slots that this router's work takes."""
        return self._n_used[upstream_id]

    def n_free(self, upstream_id: str) -> int:
        """Return the number of slots held and not used."""
        return max(0, self.n_held(upstream_id) - self._n_used[upstream_id])

    def free_ids(self) -> list[str]:
        """List the upstreams with free slots."""
        return [item for item in self._held if self.n_free(item) > 0]

    def held(self) -> dict[str, tuple[Slot, ...]]:
        """Return the slots held of each upstream."""
        return {key: tuple(slots) for key, slots in self._held.items() if slots}

    def acquire(self, upstream_id: str) -> None:
        """Let work take a slot."""
        self._n_used[upstream_id] += 1

    def release(self, upstream_id: str) -> None:
        """Take back a slot that work had."""
        self._n_used[upstream_id] -= 1

    def receive(self, upstream_id: str, slots: Iterable[Slot]) -> None:
        """Take slots, or the word that they have been shared out."""
        self._allocated.add(upstream_id)
        held = self._held.setdefault(upstream_id, [])
        held.extend(slot for slot in slots if slot not in held)

    def take_free(self, upstream_id: str, n_slots: int) -> tuple[Slot, ...]:
        """Give away free slots, as many of the wanted number as there are."""
        n_taken = min(n_slots, self.n_free(upstream_id))
        held = self._held.get(upstream_id, [])
        taken = tuple(held[:n_taken])
        del held[:n_taken]
        return taken

    def drop(self, upstream_id: str, slots: Iterable[Slot]) -> None:
        """Drop slots that were shared out anew, also when work uses them."""
        dropped = set(slots)
        held = self._held.get(upstream_id, [])
        self._held[upstream_id] = [slot for slot in held if slot not in dropped]

    def forget(self, upstream_id: str) -> None:
        """Drop every slot of an upstream that is gone."""
        self._allocated.discard(upstream_id)
        self._held.pop(upstream_id, None)
