"""Keep requests that end engines from running again."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_kernel.quarantine import BlameTracker

__all__ = [
    "EngineLost",
    "QuarantinedRequest",
    "RequestQuarantine",
    "RequestQuarantineOptions",
]

REASON = "engines_died"


@dataclass(frozen=True)
class EngineLost:
    """Tell of an engine's death, and for how long requests had run there."""

    upstream_id: str
    service: str
    availability_zone: str
    ran_ms: dict[str, float]


@dataclass(frozen=True)
class QuarantinedRequest:
    """Hold a request that is kept out, and the upstreams that died of it."""

    request_hash: str
    upstream_ids: tuple[str, ...]
    for_ms: float


@dataclass(frozen=True)
class RequestQuarantineOptions:
    """Say when deaths are a zone's, and how long a request stays out."""

    # Engines that die within this of each other, in one zone, died of what
    # befell the zone; a request runs on one engine at a time.
    zone_window_ms: float = 500.0
    # A killer comes again for as long as its caller repeats it.
    quarantine_ms: float = 60_000.0


@dataclass
class PendingDeath:
    """Hold a death until it is known to be an engine's own."""

    lost: EngineLost
    at_ms: float
    is_own: bool
    is_zone_loss: bool = False


@dataclass
class RequestQuarantine:
    """Blame requests for engines that died alone, and refuse the guilty."""

    options: RequestQuarantineOptions = field(default_factory=RequestQuarantineOptions)
    tracker: BlameTracker = field(default_factory=BlameTracker)
    on_quarantined: Callable[[QuarantinedRequest], None] = lambda found: None
    _pending: list[PendingDeath] = field(default_factory=list)

    def engine_lost(self, lost: EngineLost, now_ms: float, is_own: bool) -> None:
        """Take in a death that this router or a peer found."""
        death = PendingDeath(lost, now_ms, is_own)
        for other in self._pending:
            if self._is_same_zone(other.lost, lost):
                if other.lost.upstream_id != lost.upstream_id:
                    other.is_zone_loss = death.is_zone_loss = True
                else:
                    death.is_zone_loss |= other.is_zone_loss
        self._pending.append(death)

    def confirm_deaths(self, now_ms: float) -> list[EngineLost]:
        """Count the deaths that stayed alone; return the own, to be told."""
        due = [
            item
            for item in self._pending
            if now_ms - item.at_ms >= self.options.zone_window_ms
        ]
        self._pending = [item for item in self._pending if item not in due]
        alone = [item for item in due if not item.is_zone_loss]
        for item in alone:
            ran_ms = item.lost.ran_ms
            self.tracker.engine_died(item.lost.upstream_id, ran_ms, item.at_ms)
            for name in ran_ms:
                self._judge(name, now_ms)
        self.tracker.expire(now_ms)
        return [item.lost for item in alone if item.is_own]

    def is_blocked(self, request_hash: str, now_ms: float) -> bool:
        """Say whether a request must not run."""
        return self.tracker.find(request_hash, now_ms) is not None

    def retry_after_ms(self, request_hash: str, now_ms: float) -> float:
        """Return how long a request stays out."""
        entry = self.tracker.find(request_hash, now_ms)
        return 0.0 if entry is None else entry.expires_at_ms - now_ms

    def request_completed(self, request_hash: str) -> None:
        """Forget the suspicion on a request that ran to its end."""
        if self.tracker.n_deaths(request_hash):
            self.tracker.clear(request_hash)

    def _judge(self, request_hash: str, now_ms: float) -> None:
        if not self.tracker.is_to_blame(request_hash):
            return
        upstream_ids = self.tracker.upstream_ids(request_hash)
        expires_at_ms = now_ms + self.options.quarantine_ms
        self.tracker.quarantine(request_hash, "", upstream_ids, REASON, expires_at_ms)
        for_ms = self.options.quarantine_ms
        self.on_quarantined(
            QuarantinedRequest(request_hash, tuple(upstream_ids), for_ms)
        )

    @staticmethod
    def _is_same_zone(one: EngineLost, other: EngineLost) -> bool:
        return (one.service, one.availability_zone) == (
            other.service,
            other.availability_zone,
        )
