"""Quarantine requests that repeatedly crash the engines they run on."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.block_list import BlockList, request_key
from bronzeline_kernel.forwarding.health import Zone
from bronzeline_kernel.forwarding.zone_losses import EngineCount, is_zone_loss
from bronzeline_kernel.quarantine import BlameTracker

__all__ = [
    "EngineLost",
    "QuarantinedRequest",
    "RequestQuarantine",
    "RequestQuarantineOptions",
]

QUARANTINE_REASON = "engines_died"
# A single engine may die at any time.
MAX_BY_CHANCE = 1


@dataclass(frozen=True)
class EngineLost:
    """Report an engine's death and how long each request had been running on it.

    `ran_ms` is keyed by request hash.
    """

    upstream_id: str
    service: str
    availability_zone: str
    ran_ms: dict[str, float]

    @property
    def zone(self) -> Zone:
        """Return the service and the availability zone."""
        return self.service, self.availability_zone


@dataclass(frozen=True)
class QuarantinedRequest:
    """Report a quarantined request and the upstreams that died while running it."""

    request_hash: str
    upstream_ids: tuple[str, ...]
    for_ms: float


@dataclass(frozen=True)
class RequestQuarantineOptions:
    """Set how zone losses are recognized and how long a quarantine lasts."""

    # Engines of one zone that die within this time of each other are a zone
    # loss: a request runs on one engine at a time and can't cause it.
    zone_window_ms: float = 500.0
    # A caller may keep resending a request that crashes engines.
    quarantine_ms: float = 60_000.0


@dataclass
class PendingDeath:
    """Hold a death until it is known whether it is part of a zone loss."""

    lost: EngineLost
    at_ms: float
    is_own: bool
    is_zone_loss: bool = False


@dataclass
class RequestQuarantine:
    """Quarantine requests that are to blame for engine deaths outside zone losses."""

    options: RequestQuarantineOptions = field(default_factory=RequestQuarantineOptions)
    tracker: BlameTracker = field(default_factory=BlameTracker)
    blocks: BlockList = field(default_factory=BlockList)
    n_engines: EngineCount = lambda zone: 0
    on_quarantined: Callable[[QuarantinedRequest], None] = lambda quarantined: None
    on_zone_loss: Callable[[EngineLost], None] = lambda lost: None
    _pending: list[PendingDeath] = field(default_factory=list)

    def engine_lost(self, lost: EngineLost, now_ms: float, is_own: bool) -> None:
        """Record an engine death that this router or a peer detected."""
        self._pending.append(PendingDeath(lost, now_ms, is_own))
        together = [item for item in self._pending if item.lost.zone == lost.zone]
        n_died = len({item.lost.upstream_id for item in together})
        is_loss = is_zone_loss(n_died, self.n_engines(lost.zone), MAX_BY_CHANCE)
        is_known = any(
            item.is_zone_loss
            for item in together
            if item.lost.upstream_id == lost.upstream_id
        )
        for item in together if is_loss else together[-1:]:
            item.is_zone_loss |= is_loss or is_known

    def confirm_deaths(self, now_ms: float) -> list[EngineLost]:
        """Count deaths outside zone losses; return this router's own, to announce."""
        due = [
            item
            for item in self._pending
            if now_ms - item.at_ms >= self.options.zone_window_ms
        ]
        self._pending = [item for item in self._pending if item not in due]
        alone = [item for item in due if not item.is_zone_loss]
        for item in due:
            if item.is_zone_loss and item.is_own:
                self.on_zone_loss(item.lost)
        for item in alone:
            ran_ms = item.lost.ran_ms
            self.tracker.engine_died(item.lost.upstream_id, ran_ms, item.at_ms)
            for request_hash in ran_ms:
                self._quarantine_if_to_blame(request_hash, now_ms)
        self.tracker.expire(now_ms)
        return [item.lost for item in alone if item.is_own]

    def is_blocked(self, request_hash: str, now_ms: float) -> bool:
        """Return whether a request is quarantined."""
        return self.blocks.find((request_key(request_hash),), now_ms) is not None

    def retry_after_ms(self, request_hash: str, now_ms: float) -> float:
        """Return the remaining time of a request's quarantine, 0 if there is none."""
        block = self.blocks.find((request_key(request_hash),), now_ms)
        return 0.0 if block is None else block.remaining_ms

    def request_completed(self, request_hash: str) -> None:
        """Clear the deaths counted against a request that ran to completion."""
        if self.tracker.n_deaths(request_hash):
            self.tracker.clear(request_hash)

    def _quarantine_if_to_blame(self, request_hash: str, now_ms: float) -> None:
        if self.is_blocked(request_hash, now_ms):
            return
        if not self.tracker.is_to_blame(request_hash):
            return
        upstream_ids = self.tracker.upstream_ids(request_hash)
        expires_at_ms = now_ms + self.options.quarantine_ms
        self.tracker.quarantine(
            request_hash, "", upstream_ids, QUARANTINE_REASON, expires_at_ms
        )
        for_ms = self.options.quarantine_ms
        self.blocks.add((request_key(request_hash),), for_ms, now_ms)
        self.on_quarantined(
            QuarantinedRequest(request_hash, tuple(upstream_ids), for_ms)
        )
