"""Track the health of upstreams from this router's observations and its peers'."""

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
    """Classify the assumed state of an upstream, or of the upstreams of a zone."""

    AVOIDED = "avoided"
    FULL = "full"
    REPLACED = "replaced"
    SLOW = "slow"
    BACK = "back"
    ZONE_SUSPECT = "zone_suspect"


@dataclass(frozen=True)
class BeliefChange:
    """Report a changed belief, and for how long it lasts without new evidence."""

    # An upstream's id, or SERVICE/ZONE.
    subject: str
    belief: Belief
    for_ms: float
    is_own: bool = True


@dataclass(frozen=True)
class HealthOptions:
    """Set how long upstreams are avoided after each kind of failure."""

    # A failed upstream is retried soon: a crashed engine restarts within one or
    # two seconds, and a connection attempt shows its state immediately.
    first_avoid_ms: float = 400.0
    max_avoid_ms: float = 3_000.0
    # A full upstream frees a slot within one short call or one stream event.
    full_avoid_ms: float = 300.0
    # An upstream whose address another process took over is avoided until the
    # store lists its new entry.
    replaced_avoid_ms: float = 60_000.0
    # An upstream that turned a peer away may serve this router, and is tried again
    # after this time at most.
    max_peer_rest_ms: float = 2_000.0
    # Zones fail as a whole: the failure of one upstream counts against the others
    # of its service and zone until they respond.
    zone_suspect_ms: float = 1_500.0
    # Half-life of the failure score.
    half_life_ms: float = 3_000.0
    # Half-life of the slowness, which lasts for several prompts.
    slowness_half_life_ms: float = 5_000.0
    # Weight of a new measurement in the moving average.
    slowness_weight: float = 0.6
    # Weight of a new response in the share of failures. The share halves in this time
    # without responses, so that the upstream gets another try.
    response_weight: float = 0.1
    response_half_life_ms: float = 5_000.0
    # An upstream is reported as slow once its prompts take longer than usual by
    # this share, which adds as much to its cost as half a prompt.
    slow_from: float = 0.5


@dataclass
class HealthRecord:
    """Hold the observations of one incarnation of an upstream."""

    avoid_until_ms: float = 0.0
    n_failures_in_row: int = 0
    failure_score: float = 0.0
    scored_at_ms: float = 0.0
    last_alive_at_ms: float = field(default=float("-inf"))
    slowness: float = 0.0
    slowness_at_ms: float = 0.0
    failed_share: float = 0.0
    responded_at_ms: float = 0.0


class UpstreamHealth:
    """Hold the observations of all upstreams, by incarnation."""

    def __init__(self, options: HealthOptions | None = None) -> None:
        self._options = options or HealthOptions()
        self._records: dict[Incarnation, HealthRecord] = {}
        self._zone_lost_at_ms: dict[Zone, float] = {}
        self.on_zone_lost: Callable[[Zone], None] = _ignore
        self.on_replaced: Callable[[Incarnation], None] = _ignore
        self.on_belief: Callable[[BeliefChange], None] = _ignore

    def record_success(self, upstream: Incarnation, now_ms: float) -> None:
        """Record a response or event of an upstream, which ends its avoidance."""
        record = self._get_record(upstream)
        if now_ms < record.avoid_until_ms:
            self._report_belief(upstream, Belief.BACK, 0.0)
        record.n_failures_in_row = 0
        record.avoid_until_ms = 0.0
        record.last_alive_at_ms = now_ms

    def record_response(
        self, upstream: Incarnation, now_ms: float, *, is_failure: bool
    ) -> None:
        """Update the share of responses that report the upstream's own failure."""
        record = self._get_record(upstream)
        previous = self.failed_share(upstream, now_ms)
        value = 1.0 if is_failure else 0.0
        weight = self._options.response_weight
        record.failed_share = weight * value + (1.0 - weight) * previous
        record.responded_at_ms = now_ms

    def failed_share(self, upstream: Incarnation, now_ms: float) -> float:
        """Return the recent share of responses that report a failure."""
        record = self._records.get(upstream)
        if record is None or not record.failed_share:
            return 0.0
        age_ms = max(0.0, now_ms - record.responded_at_ms)
        return record.failed_share * math.exp2(
            -age_ms / self._options.response_half_life_ms
        )

    def record_connection(self, upstream: Incarnation, now_ms: float) -> None:
        """Record that an upstream accepted a connection."""
        self._get_record(upstream).last_alive_at_ms = now_ms

    def record_prompt_time(
        self, upstream: Incarnation, took_ms: float, usual_ms: float, now_ms: float
    ) -> None:
        """Update the slowness of an upstream from the time that a prompt took."""
        excess = max(0.0, took_ms / usual_ms - 1.0)
        record = self._get_record(upstream)
        weight = self._options.slowness_weight
        previous = self.slowness(upstream, now_ms)
        record.slowness = weight * excess + (1.0 - weight) * previous
        if previous < self._options.slow_from <= record.slowness:
            for_ms = self._options.slowness_half_life_ms
            self._report_belief(upstream, Belief.SLOW, for_ms)
        record.slowness_at_ms = now_ms

    def slowness(self, upstream: Incarnation, now_ms: float) -> float:
        """Return the share by which prompts take longer than usual on an upstream."""
        record = self._records.get(upstream)
        if record is None or not record.slowness:
            return 0.0
        age_ms = max(0.0, now_ms - record.slowness_at_ms)
        return record.slowness * math.exp2(
            -age_ms / self._options.slowness_half_life_ms
        )

    def record_failure(self, upstream: Incarnation, now_ms: float) -> float:
        """Record a failure; return for how long the upstream is avoided, in ms."""
        record = self._get_record(upstream)
        avoid_ms = min(
            self._options.max_avoid_ms,
            self._options.first_avoid_ms * 2.0**record.n_failures_in_row,
        )
        record.n_failures_in_row += 1
        record.avoid_until_ms = max(record.avoid_until_ms, now_ms + avoid_ms)
        record.failure_score = self.failure_score(upstream, now_ms) + 1.0
        record.scored_at_ms = now_ms
        self._report_belief(upstream, Belief.AVOIDED, avoid_ms)
        return avoid_ms

    def record_zone_loss(self, zone: Zone, now_ms: float) -> None:
        """Record and announce a zone loss: an upstream failed with no error reply."""
        self._suspect_zone(zone, now_ms, is_own=True)
        self.on_zone_lost(zone)

    def suspect_zone(self, zone: Zone, now_ms: float) -> None:
        """Suspect a zone without announcing it, until its upstreams are probed."""
        self._suspect_zone(zone, now_ms, is_own=True)

    def record_peer_zone_loss(self, zone: Zone, now_ms: float) -> None:
        """Record a zone loss that a peer reported, without announcing it."""
        self._suspect_zone(zone, now_ms, is_own=False)

    def is_zone_suspect(self, zone: Zone, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether an upstream may have failed together with its zone."""
        lost_at_ms = self._zone_lost_at_ms.get(zone)
        if lost_at_ms is None:
            return False
        if now_ms - lost_at_ms >= self._options.zone_suspect_ms:
            return False
        return self.last_alive_at_ms(upstream) <= lost_at_ms

    def record_full(self, upstream: Incarnation, now_ms: float) -> None:
        """Record that an upstream rejected a request because it was full."""
        record = self._get_record(upstream)
        if now_ms >= record.avoid_until_ms:
            self._report_belief(upstream, Belief.FULL, self._options.full_avoid_ms)
        until_ms = now_ms + self._options.full_avoid_ms
        record.avoid_until_ms = max(record.avoid_until_ms, until_ms)

    def record_replaced(self, upstream: Incarnation, now_ms: float) -> None:
        """Record and announce that another process answers at the address."""
        self._replace(upstream, now_ms, is_own=True)
        self.on_replaced(upstream)

    def record_peer_replaced(self, upstream: Incarnation, now_ms: float) -> None:
        """Record a replacement that a peer reported, without announcing it."""
        self._replace(upstream, now_ms, is_own=False)

    def record_peer_rest(
        self, upstream: Incarnation, rest_ms: float, now_ms: float
    ) -> None:
        """Record that an upstream asked a peer for a rest: prefer others."""
        record = self._get_record(upstream)
        until_ms = now_ms + min(rest_ms, self._options.max_peer_rest_ms)
        record.avoid_until_ms = max(record.avoid_until_ms, until_ms)

    def is_avoided(self, upstream: Incarnation, now_ms: float) -> bool:
        """Return whether the upstream should get no work now."""
        record = self._records.get(upstream)
        return record is not None and now_ms < record.avoid_until_ms

    def failure_score(self, upstream: Incarnation, now_ms: float) -> float:
        """Return the number of failures, with exponential decay by age."""
        record = self._records.get(upstream)
        if record is None or not record.failure_score:
            return 0.0
        age_ms = max(0.0, now_ms - record.scored_at_ms)
        halvings = age_ms / self._options.half_life_ms
        return record.failure_score * math.exp2(-halvings)

    def last_alive_at_ms(self, upstream: Incarnation) -> float:
        """Return the time of the last response or accepted connection, else -inf."""
        record = self._records.get(upstream)
        return float("-inf") if record is None else record.last_alive_at_ms

    def keep_only(self, upstreams: set[Incarnation]) -> None:
        """Drop the observations of upstreams that are no longer listed."""
        for upstream in self._records.keys() - upstreams:
            del self._records[upstream]

    def _suspect_zone(self, zone: Zone, now_ms: float, *, is_own: bool) -> None:
        self._zone_lost_at_ms[zone] = now_ms
        for_ms = self._options.zone_suspect_ms
        subject = "/".join(zone)
        self.on_belief(BeliefChange(subject, Belief.ZONE_SUSPECT, for_ms, is_own))

    def _replace(self, upstream: Incarnation, now_ms: float, *, is_own: bool) -> None:
        for_ms = self._options.replaced_avoid_ms
        self._get_record(upstream).avoid_until_ms = now_ms + for_ms
        self.on_belief(BeliefChange(upstream[0], Belief.REPLACED, for_ms, is_own))

    def _report_belief(
        self, upstream: Incarnation, belief: Belief, for_ms: float
    ) -> None:
        self.on_belief(BeliefChange(upstream[0], belief, for_ms))

    def _get_record(self, upstream: Incarnation) -> HealthRecord:
        return self._records.setdefault(upstream, HealthRecord())


def _ignore(event: object) -> None:
    """Ignore an event while no callback is set."""
