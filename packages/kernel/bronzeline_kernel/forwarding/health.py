"""Judge upstreams by what this router saw of them."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["Belief", "BeliefChange", "HealthOptions", "UpstreamHealth", "Zone"]

# A service and an availability zone.
Zone = tuple[str, str]


class Belief(Enum):
    """Say what is believed of an upstream, or of a zone's upstreams."""

    AVOIDED = "avoided"
    FULL = "full"
    REPLACED = "replaced"
    SLOW = "slow"
    BACK = "back"
    ZONE_SUSPECT = "zone_suspect"


@dataclass(frozen=True)
class BeliefChange:
    """Hold a change of belief, and for how long it holds by itself."""

    # An upstream's id, or a service and a zone.
    subject: str
    belief: Belief
    for_ms: float
    is_own: bool = True


@dataclass(frozen=True)
class HealthOptions:
    """Say how long upstreams are avoided after what they did."""

    # A failed upstream is tried again soon: an engine that crashed is back
    # after a second or two, and a connection tells at once.
    first_avoid_ms: float = 400.0
    max_avoid_ms: float = 3_000.0
    # A full upstream frees a slot within one short call or one event.
    full_avoid_ms: float = 300.0
    # An upstream that another process has taken over waits for its new entry.
    replaced_avoid_ms: float = 60_000.0
    # Zones fail as a whole: what one upstream shows is held against the
    # others of its service and zone until they answer.
    zone_suspect_ms: float = 1_500.0
    # The memory of failures fades by half in this time.
    half_life_ms: float = 3_000.0
    # So does that of slowness, which lasts for some prompts.
    slowness_half_life_ms: float = 5_000.0
    # How much a new measurement counts against those before.
    slowness_weight: float = 0.6
    # By this share over the usual a prompt costs as much as half another.
    slow_from: float = 0.5


@dataclass
class Record:
    """Hold what is known of one start of an upstream."""

    avoid_until_ms: float = 0.0
    n_failures_in_row: int = 0
    failure_score: float = 0.0
    scored_at_ms: float = 0.0
    last_answer_at_ms: float = field(default=float("-inf"))
    slowness: float = 0.0
    slowness_at_ms: float = 0.0


class UpstreamHealth:
    """Hold evidence on upstreams, by id and start."""

    def __init__(self, options: HealthOptions | None = None) -> None:
        self._options = options or HealthOptions()
        self._records: dict[Incarnation, Record] = {}
        self._zone_failed_at_ms: dict[Zone, float] = {}
        self.on_zone_lost: Callable[[Zone], None] = _ignore
        self.on_replaced: Callable[[Incarnation], None] = _ignore
        self.on_belief: Callable[[BeliefChange], None] = _ignore

    def succeeded(self, upstream: Incarnation, now_ms: float) -> None:
        """Take in an answer, or an event, that the upstream gave."""
        record = self._record(upstream)
        if now_ms < record.avoid_until_ms:
            self._believe(upstream, Belief.BACK, 0.0)
        record.n_failures_in_row = 0
        record.avoid_until_ms = 0.0
        record.last_answer_at_ms = now_ms

    def showed_life(self, upstream: Incarnation, now_ms: float) -> None:
        """Take in that the upstream accepted a connection."""
        self._record(upstream).last_answer_at_ms = now_ms

    def prompt_read(
        self, upstream: Incarnation, took_ms: float, usual_ms: float, now_ms: float
    ) -> None:
        """Take in how long a prompt took against what is usual."""
        excess = max(0.0, took_ms / usual_ms - 1.0)
        record = self._record(upstream)
        weight = self._options.slowness_weight
        known = self.slowness(upstream, now_ms)
        record.slowness = weight * excess + (1.0 - weight) * known
        if known < self._options.slow_from <= record.slowness:
            for_ms = self._options.slowness_half_life_ms
            self._believe(upstream, Belief.SLOW, for_ms)
        record.slowness_at_ms = now_ms

    def slowness(self, upstream: Incarnation, now_ms: float) -> float:
        """Return by which share prompts take longer than usual there."""
        record = self._records.get(upstream)
        if record is None or not record.slowness:
            return 0.0
        age_ms = max(0.0, now_ms - record.slowness_at_ms)
        return record.slowness * math.exp2(
            -age_ms / self._options.slowness_half_life_ms
        )

    def failed(self, upstream: Incarnation, now_ms: float) -> float:
        """Take in a failure; return for how long the upstream is avoided."""
        record = self._record(upstream)
        avoid_ms = min(
            self._options.max_avoid_ms,
            self._options.first_avoid_ms * 2.0**record.n_failures_in_row,
        )
        record.n_failures_in_row += 1
        record.avoid_until_ms = max(record.avoid_until_ms, now_ms + avoid_ms)
        record.failure_score = self.failure_score(upstream, now_ms) + 1.0
        record.scored_at_ms = now_ms
        self._believe(upstream, Belief.AVOIDED, avoid_ms)
        return avoid_ms

    def zone_failed(self, zone: Zone, now_ms: float) -> None:
        """Take in that an upstream of a zone was lost without a word."""
        self._suspect_zone(zone, now_ms, is_own=True)
        self.on_zone_lost(zone)

    def record_peer_zone_loss(self, zone: Zone, now_ms: float) -> None:
        """Take in that a peer lost an upstream of a zone without a word."""
        self._suspect_zone(zone, now_ms, is_own=False)

    def is_zone_suspect(self, zone: Zone, upstream: Incarnation, now_ms: float) -> bool:
        """Say whether an upstream may have been lost with its zone."""
        failed_at_ms = self._zone_failed_at_ms.get(zone)
        if failed_at_ms is None:
            return False
        if now_ms - failed_at_ms >= self._options.zone_suspect_ms:
            return False
        return self.last_answer_at_ms(upstream) <= failed_at_ms

    def was_full(self, upstream: Incarnation, now_ms: float) -> None:
        """Take in that the upstream rejected work for want of room."""
        record = self._record(upstream)
        if now_ms >= record.avoid_until_ms:
            self._believe(upstream, Belief.FULL, self._options.full_avoid_ms)
        until_ms = now_ms + self._options.full_avoid_ms
        record.avoid_until_ms = max(record.avoid_until_ms, until_ms)

    def was_replaced(self, upstream: Incarnation, now_ms: float) -> None:
        """Take in that another process answers at the upstream's address."""
        self._replace(upstream, now_ms, is_own=True)
        self.on_replaced(upstream)

    def record_peer_replaced(self, upstream: Incarnation, now_ms: float) -> None:
        """Take in that a peer met another process at the upstream's address."""
        self._replace(upstream, now_ms, is_own=False)

    def is_avoided(self, upstream: Incarnation, now_ms: float) -> bool:
        """Say whether the upstream should get no work now."""
        record = self._records.get(upstream)
        return record is not None and now_ms < record.avoid_until_ms

    def failure_score(self, upstream: Incarnation, now_ms: float) -> float:
        """Return the number of failures, older ones counting less."""
        record = self._records.get(upstream)
        if record is None or not record.failure_score:
            return 0.0
        age_ms = max(0.0, now_ms - record.scored_at_ms)
        halvings = age_ms / self._options.half_life_ms
        return record.failure_score * math.exp2(-halvings)

    def last_answer_at_ms(self, upstream: Incarnation) -> float:
        """Return when the upstream last gave a sign of life."""
        record = self._records.get(upstream)
        return float("-inf") if record is None else record.last_answer_at_ms

    def keep_only(self, upstreams: set[Incarnation]) -> None:
        """Forget upstreams that are no longer listed."""
        for upstream in self._records.keys() - upstreams:
            del self._records[upstream]

    def _suspect_zone(self, zone: Zone, now_ms: float, *, is_own: bool) -> None:
        self._zone_failed_at_ms[zone] = now_ms
        for_ms = self._options.zone_suspect_ms
        subject = "/".join(zone)
        self.on_belief(BeliefChange(subject, Belief.ZONE_SUSPECT, for_ms, is_own))

    def _replace(self, upstream: Incarnation, now_ms: float, *, is_own: bool) -> None:
        for_ms = self._options.replaced_avoid_ms
        self._record(upstream).avoid_until_ms = now_ms + for_ms
        self.on_belief(BeliefChange(upstream[0], Belief.REPLACED, for_ms, is_own))

    def _believe(self, upstream: Incarnation, belief: Belief, for_ms: float) -> None:
        self.on_belief(BeliefChange(upstream[0], belief, for_ms))

    def _record(self, upstream: Incarnation) -> Record:
        return self._records.setdefault(upstream, Record())


def _ignore(finding: object) -> None:
    """Take a finding where nobody asked for it."""
