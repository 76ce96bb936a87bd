"""Find the parts of prompts that end each engine which begins to answer them."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from bronzeline_kernel.forwarding.death_evidence import DeathEvidence, Incident
from bronzeline_kernel.forwarding.health import Zone
from bronzeline_kernel.forwarding.zone_losses import EngineCount, is_zone_loss

__all__ = ["BlamedParts", "PartBlame", "PartBlameOptions", "PromptLost"]

INF = float("inf")
MAX_INCIDENTS = 500
MAX_ANSWERED_PROMPTS = 256
MAX_ANSWERED_PARTS = 4_000


@dataclass(frozen=True)
class PromptLost:
    """Report a prompt whose engine died before it had answered some of it.

    `part_ids` are the parts that other requests may share, `age_ms` is the time
    since the death.
    """

    upstream_id: str
    service: str
    availability_zone: str
    request_hash: str
    part_ids: tuple[str, ...]
    age_ms: float

    @property
    def zone(self) -> Zone:
        """Return the service and availability zone of the engine."""
        return self.service, self.availability_zone


@dataclass(frozen=True)
class PartBlameOptions:
    """Set how many deaths are blamed on a part, and which of them count together."""

    # Engines of one zone that die within this time of each other count once.
    together_ms: float = 500.0
    # Of more engines together the cause is their zone rather than a prompt, unless
    # they are a small share of it.
    max_together: int = 2
    # Peers report deaths after `together_ms`.
    confirm_ms: float = 700.0
    n_incidents: int = 3
    # One request that ends engines is a matter of that request alone.
    n_requests: int = 2
    # With so many incidents a part is blamed even if others share all of them.
    n_incidents_with_rival: int = 5
    # Engines must have answered other prompts within this time before the first
    # death: if they answer none, no part is to blame.
    others_answered_ms: float = 10_000.0
    retention_ms: float = 120_000.0


@dataclass(frozen=True)
class BlamedParts:
    """Name the parts to blame: all of them together, and none of them alone.

    `has_own` is true if this router has seen one of the deaths itself.
    """

    part_ids: tuple[str, ...]
    upstream_ids: tuple[str, ...]
    n_requests: int
    has_own: bool


@dataclass(frozen=True)
class AnsweredPrompt:
    """Hold when an engine answered a prompt, and the prompt's parts."""

    at_ms: float
    part_ids: frozenset[str]


class PartBlame:
    """Blame the parts that all prompts had under which engines died.

    An engine's death counts against the parts of each prompt that it had not yet
    answered. An answer to a prompt shows that all of its parts are harmless, and their
    earlier deaths no longer count.
    """

    def __init__(
        self,
        options: PartBlameOptions | None = None,
        n_engines: EngineCount = lambda zone: 0,
    ) -> None:
        self.options = options or PartBlameOptions()
        self._n_engines = n_engines
        self._incidents: list[Incident] = []
        self._answered_prompts: list[AnsweredPrompt] = []
        self._answered_at_ms: dict[str, float] = {}
        # When the deaths are next to be compared: after a change, once it is known
        # what died beside.
        self._check_due_ms = INF

    def engine_died(self, zone: Zone, upstream_id: str, at_ms: float) -> None:
        """Record an engine's death, whatever ran on it."""
        self._incident(zone, upstream_id, at_ms)

    def prompt_lost(
        self, lost: PromptLost, now_ms: float, *, is_own: bool, is_blocked: bool = False
    ) -> None:
        """Record a prompt that an engine had not answered when it died.

        If the prompt's parts are blocked already, the death counts against no other.
        """
        at_ms = now_ms - lost.age_ms
        incident = self._incident(lost.zone, lost.upstream_id, at_ms)
        incident.has_own |= is_own
        incident.is_explained |= is_blocked
        part_ids = frozenset(
            part_id
            for part_id in lost.part_ids
            if self._answered_at_ms.get(part_id, -INF) <= at_ms
        )
        known = incident.prompts.get(lost.request_hash, frozenset())
        incident.prompts[lost.request_hash] = known | part_ids
        self._check_at(incident.at_ms + self.options.confirm_ms)

    def answered_since(self, lost: PromptLost, now_ms: float) -> tuple[str, ...]:
        """Return the parts of a lost prompt that were answered after the death."""
        at_ms = now_ms - lost.age_ms
        return tuple(
            part_id
            for part_id in lost.part_ids
            if self._answered_at_ms.get(part_id, -INF) > at_ms
        )

    def answered(self, part_ids: Collection[str], now_ms: float) -> tuple[str, ...]:
        """Record that an engine answered a prompt; return its suspected parts."""
        if not self._has_recent_answer(now_ms):
            self._check_at(now_ms)
        self._answered_prompts.append(AnsweredPrompt(now_ms, frozenset(part_ids)))
        del self._answered_prompts[:-MAX_ANSWERED_PROMPTS]
        return self.clear(part_ids, now_ms)

    def clear(self, part_ids: Collection[str], now_ms: float) -> tuple[str, ...]:
        """Drop the deaths counted against harmless parts; return the suspected ones."""
        suspected = tuple(item for item in part_ids if self.is_suspected(item))
        for part_id in part_ids:
            self._answered_at_ms.pop(part_id, None)
            self._answered_at_ms[part_id] = now_ms
        while len(self._answered_at_ms) > MAX_ANSWERED_PARTS:
            del self._answered_at_ms[next(iter(self._answered_at_ms))]
        if suspected:
            self._drop_parts(frozenset(part_ids))
            self._check_at(now_ms)
        return suspected

    def is_suspected(self, part_id: str) -> bool:
        """Return whether deaths count against a part."""
        return any(
            part_id in parts
            for incident in self._incidents
            for parts in incident.prompts.values()
        )

    def next_to_blame(
        self,
        now_ms: float,
        n_needed: Callable[[tuple[str, ...]], int] | None = None,
        least_needed: int = 1,
    ) -> BlamedParts | None:
        """Return the next parts to blame, None if there are none now.

        `n_needed` returns how many incidents some parts need, which is fewer where
        they were blamed before. Parts with fewer than `least_needed` are passed over.
        """
        if now_ms < self._check_due_ms:
            return None
        self._check_due_ms = self._next_confirmation_ms(now_ms)
        found = self._worst(now_ms, n_needed or self._n_needed, least_needed)
        if found is not None:
            self.explain(found.part_ids)
            self._check_at(now_ms)
        return found

    def explain(self, part_ids: Collection[str]) -> None:
        """Drop the incidents in which a prompt had all of these parts."""
        self._incidents = [
            incident
            for incident in self._incidents
            if not incident.has_prompt_with(part_ids)
        ]

    def expire(self, now_ms: float) -> None:
        """Drop old incidents."""
        self._incidents = [
            incident
            for incident in self._incidents
            if now_ms - incident.at_ms < self.options.retention_ms
        ]

    def is_zone_loss(self, lost: PromptLost, now_ms: float) -> bool:
        """Return whether too many engines of the zone died together with this one."""
        incident = self._find(lost.zone, lost.upstream_id, now_ms - lost.age_ms)
        return incident is not None and self._has_too_many(incident)

    def _n_needed(self, part_ids: tuple[str, ...]) -> int:
        return self.options.n_incidents

    def _check_at(self, at_ms: float) -> None:
        self._check_due_ms = min(self._check_due_ms, at_ms)

    def _next_confirmation_ms(self, now_ms: float) -> float:
        """Return when the next incident is confirmed."""
        times_ms = [x.at_ms + self.options.confirm_ms for x in self._incidents]
        return min((at_ms for at_ms in times_ms if at_ms > now_ms), default=INF)

    def _has_recent_answer(self, now_ms: float) -> bool:
        recent_ms = self.options.others_answered_ms / 2.0
        return (
            bool(self._answered_prompts)
            and now_ms - self._answered_prompts[-1].at_ms < recent_ms
        )

    def _worst(
        self,
        now_ms: float,
        n_needed: Callable[[tuple[str, ...]], int],
        least_needed: int,
    ) -> BlamedParts | None:
        evidence = DeathEvidence(self._counted(now_ms))
        for part_id in evidence.parts(least_needed):
            part_ids = evidence.always_together(part_id)
            if self._is_to_blame(part_id, part_ids, evidence, n_needed(part_ids)):
                return _blamed_parts(part_id, part_ids, evidence)
        return None

    def _is_to_blame(
        self,
        part_id: str,
        part_ids: tuple[str, ...],
        evidence: DeathEvidence,
        n_needed: int,
    ) -> bool:
        incidents = evidence.incidents(part_id)
        if len(incidents) < n_needed:
            return False
        if evidence.n_requests(part_id) < min(self.options.n_requests, n_needed):
            return False
        if not self._others_answered(part_ids, incidents[0].at_ms):
            return False
        if len(incidents) >= self.options.n_incidents_with_rival:
            return True
        return not evidence.has_rival(part_ids)

    def _others_answered(self, part_ids: Collection[str], first_at_ms: float) -> bool:
        """Return whether prompts without these parts were answered meanwhile."""
        since_ms = first_at_ms - self.options.others_answered_ms
        return any(
            prompt.at_ms >= since_ms and not prompt.part_ids.issuperset(part_ids)
            for prompt in self._answered_prompts
        )

    def _counted(self, now_ms: float) -> list[Incident]:
        return [
            incident
            for incident in self._incidents
            if now_ms - incident.at_ms >= self.options.confirm_ms
            and not incident.is_explained
            and not self._has_too_many(incident)
        ]

    def _has_too_many(self, incident: Incident) -> bool:
        return is_zone_loss(
            len(incident.upstream_ids),
            self._n_engines(incident.zone),
            self.options.max_together,
        )

    def _incident(self, zone: Zone, upstream_id: str, at_ms: float) -> Incident:
        incident = self._find(zone, upstream_id, at_ms)
        if incident is None:
            incident = Incident(zone, at_ms)
            self._incidents.append(incident)
            del self._incidents[:-MAX_INCIDENTS]
        incident.upstream_ids.add(upstream_id)
        return incident

    def _find(self, zone: Zone, upstream_id: str, at_ms: float) -> Incident | None:
        """Return the incident of a zone at a time, preferably of the same engine."""
        close = [
            incident
            for incident in self._incidents
            if incident.zone == zone
            and abs(incident.at_ms - at_ms) < self.options.together_ms
        ]
        same = [item for item in close if upstream_id in item.upstream_ids]
        return next(iter(same or close), None)

    def _drop_parts(self, part_ids: frozenset[str]) -> None:
        for incident in self._incidents:
            for request_hash, parts in incident.prompts.items():
                incident.prompts[request_hash] = parts - part_ids


def _blamed_parts(
    part_id: str, part_ids: tuple[str, ...], evidence: DeathEvidence
) -> BlamedParts:
    incidents = evidence.incidents(part_id)
    upstream_ids = set[str]().union(*(item.upstream_ids for item in incidents))
    return BlamedParts(
        part_ids,
        tuple(sorted(upstream_ids)),
        evidence.n_requests(part_id),
        any(item.has_own for item in incidents),
    )
