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

    # Engines of one zone that crash within this time of each other are a zone loss,
    # unless one request ran on them.
    zone_window_ms: float = 500.0
    # A caller may keep resending a request that crashes engines.
    quarantine_ms: float = 60_000.0


@dataclass
class ReportedCrash:
    """Hold a crash until it is known whether it and those beside it are a zone loss."""

    lost: EngineLost
    at_ms: float
    is_own: bool
    is_confirmed: bool = False


@dataclass
class RequestQuarantine:
    """Quarantine requests that are to blame for engine deaths outside zone losses."""

    options: RequestQuarantineOptions = field(default_factory=RequestQuarantineOptions)
    tracker: BlameTracker = field(default_factory=BlameTracker)
    blocks: BlockList = field(default_factory=BlockList)
    n_engines: EngineCount = lambda zone: 0
    on_quarantined: Callable[[QuarantinedRequest], None] = lambda quarantined: None
    on_zone_loss: Callable[[EngineLost], None] = lambda lost: None
    _crashes: list[ReportedCrash] = field(default_factory=list)

    def engine_lost(self, lost: EngineLost, now_ms: float, is_own: bool) -> None:
        """Record an engine crash that this router or a peer detected."""
        self._crashes.append(ReportedCrash(lost, now_ms, is_own))

    def confirm_deaths(self, now_ms: float) -> list[EngineLost]:
        """Count crashes outside zone losses; return this router's own, to announce."""
        window_ms = self.options.zone_window_ms
        alone = []
        for crash in self._crashes:
            if crash.is_confirmed or now_ms - crash.at_ms < window_ms:
                continue
            crash.is_confirmed = True
            if not self._is_zone_loss(crash):
                alone.append(crash)
            elif crash.is_own:
                self.on_zone_loss(crash.lost)
        # A confirmed crash may be beside one that is not.
        self._crashes = [x for x in self._crashes if now_ms - x.at_ms < 2.0 * window_ms]
        for crash in alone:
            ran_ms = crash.lost.ran_ms
            self.tracker.engine_died(crash.lost.upstream_id, ran_ms, crash.at_ms)
            for request_hash in ran_ms:
                self._quarantine_if_to_blame(request_hash, now_ms)
        self.tracker.expire(now_ms)
        return [crash.lost for crash in alone if crash.is_own]

    def _is_zone_loss(self, crash: ReportedCrash) -> bool:
        """Return whether too many engines of a zone crashed within a moment.

        Those that one request ran on one after the other count as one: it may have
        crashed them all.
        """
        window_ms = self.options.zone_window_ms
        upstreams: dict[str, set[str]] = {}
        for item in self._crashes:
            is_beside = abs(item.at_ms - crash.at_ms) < window_ms
            if is_beside and item.lost.zone == crash.lost.zone:
                for request_hash in item.lost.ran_ms:
                    upstreams.setdefault(request_hash, set()).add(item.lost.upstream_id)
        n_crashed = len(set().union(*upstreams.values()))
        n_of_one_request = max((len(ids) for ids in upstreams.values()), default=1)
        n_apart = n_crashed - n_of_one_request + 1
        return is_zone_loss(n_apart, self.n_engines(crash.lost.zone), MAX_BY_CHANCE)

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
