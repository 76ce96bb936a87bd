"""Remember which software versions the upstreams of each service have had."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass

__all__ = ["ServiceVersions", "VersionRecord"]

# Callers take up streams within their time budget, 25 s, and may come back a few times.
MEMORY_MS = 60_000.0

# A service and a software version.
_Key = tuple[str, str]


@dataclass(frozen=True)
class VersionRecord:
    """Name the software versions that the upstreams of a service had lately."""

    service: str
    versions: tuple[str, ...]


class ServiceVersions:
    """Hold the versions of each service, those of the last minute included.

    The history is complete once what was known before this router started has been
    read: a stream that is taken up may have begun earlier.
    """

    def __init__(self) -> None:
        self.is_complete = False
        self._by_upstream: dict[str, _Key] = {}
        self._n_upstreams: Counter[_Key] = Counter()
        self._gone_at_ms: dict[_Key, float] = {}

    def put(self, upstream_id: str, service: str, version: str, now_ms: float) -> None:
        """Record the version of a listed upstream; an empty one is not known yet."""
        former = self._by_upstream.get(upstream_id)
        if former == (service, version):
            return
        if former is not None:
            self._remove(upstream_id, now_ms)
            # What was not known has turned out to be this version.
            if not former[1] and former[0] == service:
                self._gone_at_ms.pop(former, None)
        self._by_upstream[upstream_id] = service, version
        self._n_upstreams[service, version] += 1

    def remove(self, upstream_id: str, now_ms: float) -> None:
        """Record that an upstream is not listed any more."""
        if upstream_id in self._by_upstream:
            self._remove(upstream_id, now_ms)

    def keep_only(self, upstream_ids: Iterable[str], now_ms: float) -> None:
        """Remove all other upstreams."""
        for upstream_id in self._by_upstream.keys() - set(upstream_ids):
            self._remove(upstream_id, now_ms)

    def learn(self, records: Iterable[VersionRecord], now_ms: float) -> None:
        """Take over what was known before this router started.

        When its versions were listed last is not known, so they count from now on.
        """
        for record in records:
            for version in record.versions:
                self._gone_at_ms[record.service, version] = now_ms
        self.is_complete = True

    def recent(self, service: str, now_ms: float) -> frozenset[str]:
        """Return the versions that a stream of this service may have begun at."""
        listed = {key[1] for key in self._n_upstreams if key[0] == service}
        gone = {
            version
            for (name, version), gone_at_ms in self._gone_at_ms.items()
            if name == service and now_ms - gone_at_ms < MEMORY_MS
        }
        return frozenset(listed | gone)

    def only(self, service: str, now_ms: float) -> str:
        """Return the version of all streams of a service, empty if not certain."""
        versions = self.recent(service, now_ms) if self.is_complete else frozenset()
        return next(iter(versions)) if len(versions) == 1 else ""

    def is_mixed(self, now_ms: float) -> bool:
        """Return whether some service may have streams of several versions."""
        names = {key[0] for key in (*self._n_upstreams, *self._gone_at_ms)}
        return any(len(self.recent(name, now_ms)) > 1 for name in names)

    def records(self, now_ms: float) -> tuple[VersionRecord, ...]:
        """Return the recent versions of all services, for the store."""
        names = {key[0] for key in (*self._n_upstreams, *self._gone_at_ms)}
        records = [
            VersionRecord(name, tuple(sorted(self.recent(name, now_ms))))
            for name in sorted(names)
        ]
        return tuple(item for item in records if item.versions)

    def _remove(self, upstream_id: str, now_ms: float) -> None:
        key = self._by_upstream.pop(upstream_id)
        self._n_upstreams[key] -= 1
        if not self._n_upstreams[key]:
            del self._n_upstreams[key]
            self._gone_at_ms[key] = now_ms
