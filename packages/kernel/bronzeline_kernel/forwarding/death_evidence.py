"""Compare the prompts that engines had not answered when they died."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.health import Zone

__all__ = ["DeathEvidence", "Incident"]


@dataclass
class Incident:
    """Hold the prompts that engines of a zone had not answered when they died."""

    zone: Zone
    at_ms: float
    upstream_ids: set[str] = field(default_factory=set)
    # The parts of each prompt, by request hash.
    prompts: dict[str, frozenset[str]] = field(default_factory=dict)
    has_own: bool = False
    # Parts that are blocked already ended the engines.
    is_explained: bool = False

    def has_prompt_with(self, part_ids: Iterable[str]) -> bool:
        """Return whether a prompt had all of these parts."""
        wanted = frozenset(part_ids)
        return any(parts >= wanted for parts in self.prompts.values())


@dataclass(frozen=True)
class LostPrompt:
    """Hold one prompt of an incident."""

    request_hash: str
    part_ids: frozenset[str]


class DeathEvidence:
    """Index incidents by the parts of their prompts."""

    def __init__(self, incidents: Sequence[Incident]) -> None:
        self._incidents = incidents
        self._numbers: dict[str, set[int]] = {}
        self._prompts: dict[str, list[LostPrompt]] = {}
        for number, incident in enumerate(incidents):
            for request_hash, part_ids in incident.prompts.items():
                prompt = LostPrompt(request_hash, part_ids)
                for part_id in part_ids:
                    self._numbers.setdefault(part_id, set()).add(number)
                    self._prompts.setdefault(part_id, []).append(prompt)

    def parts(self, least: int) -> list[str]:
        """Return the parts with so many incidents, those with most first."""
        parts = [x for x, numbers in self._numbers.items() if len(numbers) >= least]
        return sorted(parts, key=lambda item: (-len(self._numbers[item]), item))

    def incidents(self, part_id: str) -> list[Incident]:
        """Return the incidents that count against a part, in order."""
        return [self._incidents[number] for number in sorted(self._numbers[part_id])]

    def n_requests(self, part_id: str) -> int:
        """Return how many requests with a part were lost."""
        return len({item.request_hash for item in self._prompts[part_id]})

    def always_together(self, part_id: str) -> tuple[str, ...]:
        """Return the parts that the same prompts had as this one, itself included."""
        prompts = self._prompts[part_id]
        common = frozenset.intersection(*(item.part_ids for item in prompts))
        n_prompts = len(prompts)
        return tuple(sorted(x for x in common if len(self._prompts[x]) == n_prompts))

    def has_rival(self, part_ids: Sequence[str]) -> bool:
        """Return whether another part was lost in each of the same incidents."""
        numbers = self._numbers[part_ids[0]]
        first = self._incidents[min(numbers)]
        rivals = frozenset[str]().union(*first.prompts.values()) - set(part_ids)
        return any(self._numbers[rival] >= numbers for rival in rivals)
