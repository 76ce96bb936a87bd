"""Blame requests for the deaths of the engines that they ran on."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.quarantine.messages import QuarantineEntry

__all__ = ["BlameTracker"]

MIN_BLAME = 2.5
LATE_WEIGHT = 0.5
SOON_MS = 2_000.0
SUSPECT_DEATHS = 2
MERGE_WITHIN_MS = 1_000.0
SUSPICION_MS = 600_000.0
OVERLAP_TOLERANCE_MS = 20.0
OVERLAP_WEIGHT = 0.5


@dataclass
class Death:
    """Hold one engine's death and the requests that ran there."""

    upstream_id: str
    at_ms: float
    ran_ms: dict[str, float] = field(default_factory=dict)
    started_at_ms: dict[str, float] = field(default_factory=dict)

    @property
    def request_hashes(self) -> set[str]:
        """Return the requests that ran on the engine."""
        return set(self.ran_ms)


class BlameTracker:
    """Tell the request that kills engines from those that ran beside it.

    A request is to blame once three engines have died under it, two of them
    soon after it began there, and once no other request that shared any of
    these deaths has as much blame. A death that comes late counts half: a
    long generation can lose engines that it did not kill. Two suspects
    are therefore never put on one engine. Deaths in which a quarantined
    request took part count against no other. A request that kills goes
    from one engine to the next: engines that died while it ran on several of
    them count once and a half together, however many they are.
    """

    def __init__(self) -> None:
        self._deaths: list[Death] = []
        self._entries: dict[str, QuarantineEntry] = {}
        self._placements: dict[str, str] = {}
        self._seen: dict[tuple[str, int, int], float] = {}

    def engine_died(
        self, upstream_id: str, ran_ms: Mapping[str, float], now_ms: float
    ) -> None:
        """Count a death, or complete one that another router told before."""
        death = self._recent_death(upstream_id, now_ms)
        if death is None:
            death = Death(upstream_id, now_ms)
            self._deaths.append(death)
        death.ran_ms.update(ran_ms)
        for request_hash, duration_ms in ran_ms.items():
            death.started_at_ms[request_hash] = now_ms - duration_ms
        for request_hash in death.request_hashes:
            if self._placements.get(request_hash) == upstream_id:
                del self._placements[request_hash]

    def is_new(self, source: tuple[str, int, int], now_ms: float) -> bool:
        """Say whether a report was not taken before, and remember it."""
        is_new = source not in self._seen
        self._seen[source] = now_ms
        return is_new

    def n_deaths(self, request_hash: str) -> int:
        """Count the engines that died under a request."""
        return len(self._deaths_of(request_hash))

    def is_suspect(self, request_hash: str) -> bool:
        """Say whether a request must run apart from other suspects."""
        return self.n_deaths(request_hash) >= SUSPECT_DEATHS

    def is_to_blame(self, request_hash: str) -> bool:
        """Say whether a request alone explains the deaths that it was in."""
        blame = self.blame(request_hash)
        if blame < MIN_BLAME:
            return False
        rivals = self._rivals(request_hash)
        return all(self.blame(rival) < blame for rival in rivals)

    def blame(self, request_hash: str) -> float:
        """Add up the deaths, those in turn and soon after a start in full."""
        blame = 0.0
        free_at_ms = 0.0
        has_overlap = False
        for death in self._deaths_of(request_hash):
            is_soon = death.ran_ms[request_hash] < SOON_MS
            weight = 1.0 if is_soon else LATE_WEIGHT
            started_at_ms = death.started_at_ms[request_hash]
            if started_at_ms >= free_at_ms - OVERLAP_TOLERANCE_MS:
                blame += weight
                free_at_ms = death.at_ms
                has_overlap = False
            elif not has_overlap:
                blame += OVERLAP_WEIGHT * weight
                has_overlap = True
        return blame

    def has_running_rival(self, request_hash: str) -> bool:
        """Say whether one more death could clear a request that is to blame."""
        needed = self.blame(request_hash) - 1.0
        return any(
            rival in self._placements and self.blame(rival) >= needed
            for rival in self._rivals(request_hash)
        )

    def set_placement(self, request_hash: str, upstream_id: str) -> None:
        """Take in on which engine a suspect runs, or that it ended."""
        if upstream_id:
            self._placements[request_hash] = upstream_id
        else:
            self._placements.pop(request_hash, None)

    def engines_to_avoid(
        self, request_hash: str, upstream_ids: Collection[str]
    ) -> list[str]:
        """List the engines that are left to other suspects.

        Every router shares out the engines alike, so two suspects that two
        routers place at the same time don't meet on one engine.
        """
        suspects = self._suspects()
        if request_hash not in suspects:
            return []
        dead_ids = self._dead_ids()
        live_ids = sorted(set(upstream_ids) - dead_ids)
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
        """Forget the blame of a request that ran to its end."""
        self._placements.pop(request_hash, None)
        self._forgive(request_hash)

    def quarantine(
        self,
        request_hash: str,
        workspace: str,
        upstream_ids: tuple[str, ...],
        reason: str,
        expires_at_ms: float,
    ) -> QuarantineEntry:
        """Keep a request from running until its quarantine expires."""
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
        """List the engines that died under a request."""
        return tuple(item.upstream_id for item in self._deaths_of(request_hash))

    def find(self, request_hash: str, now_ms: float) -> QuarantineEntry | None:
        """Return the quarantine in force for a request."""
        entry = self._entries.get(request_hash)
        return entry if entry and now_ms < entry.expires_at_ms else None

    def entries(self, now_ms: float) -> list[QuarantineEntry]:
        """List the quarantines in force."""
        return [item for item in self._entries.values() if now_ms < item.expires_at_ms]

    def lift(self, entry_id: str) -> QuarantineEntry | None:
        """End a quarantine and forget what the request was blamed for."""
        for request_hash, entry in self._entries.items():
            if entry.entry_id == entry_id:
                del self._entries[request_hash]
                self._forgive(request_hash)
                return entry
        return None

    def expire(self, now_ms: float) -> None:
        """Forget old deaths and quarantines that ran out."""
        self._deaths = [
            item for item in self._deaths if now_ms - item.at_ms < SUSPICION_MS
        ]
        for source, seen_at_ms in list(self._seen.items()):
            if now_ms - seen_at_ms >= SUSPICION_MS:
                del self._seen[source]
        for request_hash, entry in list(self._entries.items()):
            if now_ms >= entry.expires_at_ms:
                del self._entries[request_hash]
                self._forgive(request_hash)

    def _forgive(self, request_hash: str) -> None:
        for death in self._deaths:
            death.ran_ms.pop(request_hash, None)

    def _recent_death(self, upstream_id: str, now_ms: float) -> Death | None:
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

    def _dead_ids(self) -> set[str]:
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

    def _deaths_of(self, request_hash: str) -> list[Death]:
        guilty = self._entries.keys() - {request_hash}
        return [
            item
            for item in self._deaths
            if request_hash in item.request_hashes
            and guilty.isdisjoint(item.request_hashes)
        ]
