"""Track the upstreams listed in the store; delay removals after an outage."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from bronzeline_kernel.forwarding.departed_upstreams import DepartedUpstreams
from bronzeline_kernel.forwarding.service_versions import ServiceVersions
from bronzeline_kernel.forwarding.upstream_notices import (
    Incarnation,
    UpstreamNotices,
)

__all__ = ["Address", "Incarnation", "ListedUpstream", "UpstreamSet"]

Address = tuple[str, int]

# Entries that expired during a store outage are registered again within this
# time after its end (PROTOCOL, service discovery: "about two seconds"), so
# removals seen during that time take effect only afterwards.
REMOVAL_HOLD_MS = 2_000.0


@dataclass(frozen=True)
class ListedUpstream:
    """Represent one upstream's entry in the store."""

    upstream_id: str
    service: str
    host: str
    port: int
    availability_zone: str
    is_leaving: bool
    n_slots: int
    started_at_ms: int = 0
    # Of its software; empty if it is not known.
    version: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """Return the id and start time; a restarted upstream may keep its id."""
        return self.upstream_id, self.started_at_ms

    @property
    def zone(self) -> tuple[str, str]:
        """Return the service and the availability zone."""
        return self.service, self.availability_zone

    @property
    def address(self) -> Address:
        """Return the host and port."""
        return self.host, self.port


class UpstreamSet:
    """Hold the known upstreams by id, and index the usable ones by service."""

    def __init__(self) -> None:
        self.notices = UpstreamNotices()
        self.versions = ServiceVersions()
        self._listed: dict[str, ListedUpstream] = {}
        # Indexes over the list, rebuilt after it changes.
        self._newest: dict[Address, ListedUpstream] = {}
        self._usable: dict[str, list[ListedUpstream]] = {}
        self._by_zone: dict[str, dict[str, list[ListedUpstream]]] = {}
        self._is_index_current = False
        self._n_leaving_indexed = 0
        self._removals_due_ms: dict[str, float] = {}
        # Ids of upstreams found while the store was unreachable. They are dropped
        # if it does not list them within REMOVAL_HOLD_MS after the outage.
        self._adopted: set[str] = set()
        self._hold_until_ms = 0.0
        self._departed = DepartedUpstreams()
        # Entries from a copy, and until when their upstreams count as leaving.
        self._doubted: dict[str, tuple[ListedUpstream, float]] = {}
        self.is_loaded = False

    def __len__(self) -> int:
        return len(self._listed)

    def store_recovered(self, recovered_at_ms: float) -> None:
        """Delay removals until REMOVAL_HOLD_MS after the end of a store outage."""
        self._hold_until_ms = max(
            self._hold_until_ms, recovered_at_ms + REMOVAL_HOLD_MS
        )
        for upstream_id in (*self._removals_due_ms, *self._adopted):
            self._removals_due_ms[upstream_id] = self._hold_until_ms

    def expect_adopted(self, now_ms: float) -> None:
        """Drop the adopted upstreams that the store does not list soon."""
        for upstream_id in self._adopted:
            self._removals_due_ms.setdefault(upstream_id, now_ms + REMOVAL_HOLD_MS)

    def store_restored(self, now_ms: float) -> None:
        """Hold removals, and doubt what lists say of upstreams that have left."""
        self.store_recovered(now_ms)
        self._departed.store_restored(now_ms)

    @property
    def n_doubted(self) -> int:
        """Return how many listed upstreams count as leaving, as they had left."""
        return len(self._doubted)

    def away_until_ms_ago(self, now_ms: float) -> float | None:
        """Return the time since the store recovered, None if removals are not held.

        It tells of the outage that this router saw, which may be its own alone.
        """
        if now_ms >= self._hold_until_ms:
            return None
        return now_ms - (self._hold_until_ms - REMOVAL_HOLD_MS)

    def replace_all(self, entries: Iterable[ListedUpstream], now_ms: float) -> None:
        """Replace the list; upstreams that are missing from it are removed."""
        self.is_loaded = True
        listed = {item.upstream_id: item for item in entries}
        for upstream_id in self._listed.keys() - listed.keys():
            self.remove(upstream_id, now_ms)
        for entry in listed.values():
            doubted_until_ms = self._departed.doubted_until_ms(
                entry.incarnation, now_ms
            )
            if doubted_until_ms is None or entry.is_leaving:
                self.put(entry)
            else:
                self._put(replace(entry, is_leaving=True))
                self._doubted[entry.upstream_id] = entry, doubted_until_ms

    def put(self, entry: ListedUpstream) -> None:
        """Add or update an entry that its upstream has written."""
        if entry.is_leaving:
            self._departed.add(entry.incarnation)
        else:
            self._departed.discard(entry.incarnation)
        self._put(entry)

    def _put(self, entry: ListedUpstream) -> None:
        self._listed[entry.upstream_id] = entry
        self._doubted.pop(entry.upstream_id, None)
        self._is_index_current = False
        self._removals_due_ms.pop(entry.upstream_id, None)
        self._adopted.discard(entry.upstream_id)

    def adopt(self, entry: ListedUpstream) -> bool:
        """Add an upstream that the store can't list now; return whether it is new."""
        if entry.upstream_id in self._listed:
            return False
        self._listed[entry.upstream_id] = entry
        self._is_index_current = False
        self._adopted.add(entry.upstream_id)
        return True

    def remove(self, upstream_id: str, now_ms: float) -> None:
        """Remove an upstream, at once or when the hold on removals ends."""
        if upstream_id not in self._listed:
            return
        if now_ms < self._hold_until_ms:
            self._removals_due_ms.setdefault(upstream_id, self._hold_until_ms)
        else:
            self._drop(upstream_id)

    def held_for_ms(self, upstream_id: str, now_ms: float) -> float:
        """Return for how long the removal of an upstream is still held, 0 if not."""
        return max(0.0, self._removals_due_ms.get(upstream_id, now_ms) - now_ms)

    def _drop(self, upstream_id: str) -> None:
        entry = self._listed.pop(upstream_id, None)
        if entry is not None:
            self._departed.add(entry.incarnation)
        self._doubted.pop(upstream_id, None)
        self._adopted.discard(upstream_id)
        self._is_index_current = False

    def get(self, upstream_id: str) -> ListedUpstream | None:
        """Return an upstream's entry by id."""
        return self._listed.get(upstream_id)

    def has_any(self, service: str) -> bool:
        """Return whether any upstream of a service is known, usable or not."""
        return any(item.service == service for item in self._listed.values())

    def listed(self) -> tuple[ListedUpstream, ...]:
        """Return the entries listed in the store, without adopted or removed ones.

        A peer that knows nothing of an upstream's leaving believes its entry.
        """
        return tuple(
            self._doubted.get(item.upstream_id, (item, 0.0))[0]
            for item in self._listed.values()
            if item.upstream_id not in self._removals_due_ms
            and item.upstream_id not in self._adopted
        )

    def incarnations(self) -> set[Incarnation]:
        """Return the incarnations of all known upstreams."""
        return {item.incarnation for item in self._listed.values()}

    def is_superseded(self, entry: ListedUpstream) -> bool:
        """Return whether a more recently started upstream has the same address."""
        self._update_index()
        newest = self._newest.get(entry.address)
        return newest is not None and newest.started_at_ms > entry.started_at_ms

    def is_staying(self, upstream: ListedUpstream) -> bool:
        """Return whether an upstream is listed and doesn't leave by list or notice."""
        listed = self._listed.get(upstream.upstream_id)
        if listed is None or listed.incarnation != upstream.incarnation:
            return False
        return not listed.is_leaving and not self.notices.is_leaving(listed.incarnation)

    def usable(self, service: str, now_ms: float) -> list[ListedUpstream]:
        """Return the upstreams of a service that may get new work.

        Of entries with the same address, only the one started last is usable.
        """
        self._remove_due(now_ms)
        self._believe_due(now_ms)
        self._update_index()
        return self._usable.get(service, [])

    def usable_by_zone(
        self, service: str, now_ms: float
    ) -> dict[str, list[ListedUpstream]]:
        """Return the usable upstreams of a service by availability zone."""
        self.usable(service, now_ms)
        return self._by_zone.get(service, {})

    def _update_index(self) -> None:
        n_leaving = self.notices.n_leaving_changes
        if self._is_index_current and n_leaving == self._n_leaving_indexed:
            return
        self._n_leaving_indexed = n_leaving
        self._newest = {}
        for entry in self._listed.values():
            other = self._newest.get(entry.address)
            if other is None or other.started_at_ms <= entry.started_at_ms:
                self._newest[entry.address] = entry
        self._usable = {}
        self._by_zone = {}
        for entry in self._newest.values():
            if not self.is_staying(entry):
                continue
            self._usable.setdefault(entry.service, []).append(entry)
            zones = self._by_zone.setdefault(entry.service, {})
            zones.setdefault(entry.availability_zone, []).append(entry)
        self._is_index_current = True

    def _remove_due(self, now_ms: float) -> None:
        for upstream_id, due_ms in list(self._removals_due_ms.items()):
            if now_ms >= due_ms:
                del self._removals_due_ms[upstream_id]
                self._drop(upstream_id)

    def _believe_due(self, now_ms: float) -> None:
        """Use upstreams that are still listed after their doubted entries."""
        for entry, due_ms in list(self._doubted.values()):
            if now_ms >= due_ms:
                self.put(entry)
