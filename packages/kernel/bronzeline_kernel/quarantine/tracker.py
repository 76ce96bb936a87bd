"""Attribute the deaths of engines to the requests that ran on them."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.quarantine.messages import QuarantineEntry

__all__ = ["BlameTracker"]

MIN_BLAME = 2.5
LATE_DEATH_WEIGHT = 0.5
EARLY_DEATH_MS = 2_000.0
SUSPECT_DEATHS = 2
MERGE_WITHIN_MS = 1_000.0
DEATH_RETENTION_MS = 600_000.0
OVERLAP_TOLERANCE_MS = 20.0
OVERLAP_WEIGHT = 0.5


@dataclass
class EngineDeath:
    """Represent the death of an engine and the requests that ran on it."""

    upstream_id: str
    at_ms: float
    ran_ms: dict[str, float] = field(default_factory=dict)
    started_at_ms: dict[str, float] = field(default_factory=dict)

    @property
    def request_hashes(self) -> set[str]:
        """Return the hashes of the requests that ran on the engine."""
        return set(self.ran_ms)


class BlameTracker:
    """Distinguish requests that crash engines from those that ran beside them.

    A request is to blame once three engines have died under it, two of them soon
    after it started there, and no other request that was involved in any of these
    deaths has as much blame. Two suspects are never placed on the same engine, so
    that a death adds blame to only one of them.

    A late death counts half, since a long generation can lose engines that it did
    not crash. Deaths that involve a quarantined request count against no other
    request. A request that crashes engines runs on one after the other, so engines
    that die while it runs on several of them together count at most one and a half.
    """

    def __init__(self) -> None:
        self._deaths: list[EngineDeath] = []
        self._entries: dict[str, QuarantineEntry] = {}
        self._placements: dict[str, str] = {}
        self._seen_reports: dict[tuple[str, int, int], float] = {}

    def engine_died(
        self, upstream_id: str, ran_ms: Mapping[str, float], now_ms: float
    ) -> None:
        """Record a death, or add requests to one that a router already reported."""
        death = self._recent_death(upstream_id, now_ms)
        if death is None:
            death = EngineDeath(upstream_id, now_ms)
            self._deaths.append(death)
        death.ran_ms.update(ran_ms)
        for request_hash, duration_ms in ran_ms.items():
            death.started_at_ms[request_hash] = now_ms - duration_ms
        for request_hash in death.request_hashes:
            if self._placements.get(request_hash) == upstream_id:
                del self._placements[request_hash]

    def is_new(self, source: tuple[str, int, int], now_ms: float) -> bool:
        """Return whether a report is new, and remember it.

        The source is the reporting router, its incarnation and the announcement id.
        """
        is_new = source not in self._seen_reports
        self._seen_reports[source] = now_ms
        return is_new

    def n_deaths(self, request_hash: str) -> int:
        """Return the number of engines that died under a request."""
        return len(self._deaths_of(request_hash))

    def is_suspect(self, request_hash: str) -> bool:
        """Return whether a request must not share an engine with other suspects."""
        return self.n_deaths(request_hash) >= SUSPECT_DEATHS

    def is_to_blame(self, request_hash: str) -> bool:
        """Return whether a request has enough blame, and more than each of its rivals.

        The rivals are the other requests that ran on the engines that it lost.
        """
        blame = self.blame(request_hash)
        if blame < MIN_BLAME:
            return False
        rivals = self._rivals(request_hash)
        return all(self.blame(rival) < blame for rival in rivals)

    def blame(self, request_hash: str) -> float:
        """Return the deaths under a request, weighted by their time and overlap."""
        blame = 0.0
        previous_death_at_ms = 0.0
        has_counted_overlap = False
        for death in self._deaths_of(request_hash):
            is_early = death.ran_ms[request_hash] < EARLY_DEATH_MS
            weight = 1.0 if is_early else LATE_DEATH_WEIGHT
            started_at_ms = death.started_at_ms[request_hash]
            if started_at_ms >= previous_death_at_ms - OVERLAP_TOLERANCE_MS:
                blame += weight
                previous_death_at_ms = death.at_ms
                has_counted_overlap = False
            elif not has_counted_overlap:
                blame += OVERLAP_WEIGHT * weight
                has_counted_overlap = True
        return blame

    def has_running_rival(self, request_hash: str) -> bool:
        """Return whether one more death could give a running rival as much blame."""
        needed = self.blame(request_hash) - 1.0
        return any(
            rival in self._placements and self.blame(rival) >= needed
            for rival in self._rivals(request_hash)
        )

    def set_placement(self, request_hash: str, upstream_id: str) -> None:
        """Record on which engine a suspect runs; an empty id means that it ended."""
        if upstream_id:
            self._placements[request_hash] = upstream_id
        else:
            self._placements.pop(request_hash, None)

    def engines_to_avoid(
        self, request_hash: str, upstream_ids: Collection[str]
    ) -> list[str]:
        """Return the engines that are reserved for other suspects.

        Every router divides the engines in the same way, so two routers that place
        two suspects at the same time choose different engines.
        """
        suspects = self._suspects()
        if request_hash not in suspects:
            return []
        recently_dead_ids = self._recently_dead_ids()
        live_ids = sorted(set(upstream_ids) - recently_dead_ids)
        n_shares = min(len(suspects), len(live_ids))
        if not n_shares:
            return []
        share = suspects.index(request_hash) % n_shares
        return [
            upstream_id
            for number, upstream_id in enumerate(live_ids)
            if number % n_shares != share
        ]

    def clear(self, request_hash: str) -> None:
        """Remove the blame of a request that completed."""
        self._placements.pop(request_hash, None)
        self._drop_blame(request_hash)

    def quarantine(
        self,
        request_hash: str,
        workspace: str,
        upstream_ids: tuple[str, ...],
        reason: str,
        expires_at_ms: float,
    ) -> QuarantineEntry:
        """Quarantine a request until the given time."""
        entry = QuarantineEntry(
            f"quarantine-{request_hash}",
            request_hash,
            workspace,
            reason,
            upstream_ids,
            expires_at_ms,
        )
        self._entries[request_hash] = entry
        return entry

    def upstream_ids(self, request_hash: str) -> tuple[str, ...]:
        """Return the engines that died under a request."""
        return tuple(item.upstream_id for item in self._deaths_of(request_hash))

    def find(self, request_hash: str, now_ms: float) -> QuarantineEntry | None:
        """Return the quarantine in force for a request, or None."""
        entry = self._entries.get(request_hash)
        return entry if entry and now_ms < entry.expires_at_ms else None

    def entries(self, now_ms: float) -> list[QuarantineEntry]:
        """Return the quarantines in force."""
        return [item for item in self._entries.values() if now_ms < item.expires_at_ms]

    def lift(self, entry_id: str) -> QuarantineEntry | None:
        """Lift a quarantine and remove the request's blame; None if unknown."""
        for request_hash, entry in self._entries.items():
            if entry.entry_id == entry_id:
                del self._entries[request_hash]
                self._drop_blame(request_hash)
                return entry
        return None

    def expire(self, now_ms: float) -> None:
        """Remove old deaths, old report ids and expired quarantines."""
        self._deaths = [
            item for item in self._deaths if now_ms - item.at_ms < DEATH_RETENTION_MS
        ]
        for source, seen_at_ms in list(self._seen_reports.items()):
            if now_ms - seen_at_ms >= DEATH_RETENTION_MS:
                del self._seen_reports[source]
        for request_hash, entry in list(self._entries.items()):
            if now_ms >= entry.expires_at_ms:
                del self._entries[request_hash]
                self._drop_blame(request_hash)

    def _drop_blame(self, request_hash: str) -> None:
        for death in self._deaths:
            death.ran_ms.pop(request_hash, None)

    def _recent_death(self, upstream_id: str, now_ms: float) -> EngineDeath | None:
        for death in reversed(self._deaths):
            is_recent = now_ms - death.at_ms < MERGE_WITHIN_MS
            if death.upstream_id == upstream_id and is_recent:
                return death
        return None

    def _suspects(self) -> list[str]:
        hashes: set[str] = set().union(*(item.request_hashes for item in self._deaths))
        suspects = [
            item
            for item in hashes
            if item not in self._entries and self.is_suspect(item)
        ]
        return sorted(suspects, key=lambda item: (-self.n_deaths(item), item))

    def _recently_dead_ids(self) -> set[str]:
        if not self._deaths:
            return set()
        newest_ms = self._deaths[-1].at_ms
        return {
            item.upstream_id
            for item in self._deaths
            if newest_ms - item.at_ms < MERGE_WITHIN_MS
        }

    def _rivals(self, request_hash: str) -> set[str]:
        deaths = self._deaths_of(request_hash)
        shared = (item.request_hashes for item in deaths)
        return set().union(*shared) - {request_hash}

    def _deaths_of(self, request_hash: str) -> list[EngineDeath]:
        quarantined = self._entries.keys() - {request_hash}
        return [
            item
            for item in self._deaths
            if request_hash in item.request_hashes
            and quarantined.isdisjoint(item.request_hashes)
        ]
