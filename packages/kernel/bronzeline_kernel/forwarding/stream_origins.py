"""Remember which upstreams began the streams that callers may take up."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bronzeline_kernel.forwarding.service_versions import VersionRecord
from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["OriginAsked", "OriginUnknown", "StreamOrigin", "StreamOrigins"]

# Callers take up streams within their time budget, 25 s, and may come back a few times.
MEMORY_MS = 60_000.0
MAX_ORIGINS = 20_000
# What peers report is used once, when the search for an origin has ended.
REPORT_MEMORY_MS = 1_000.0


@dataclass(frozen=True)
class StreamOrigin:
    """Say which upstream made the first event that a caller got of a stream.

    `request_id` is that of the caller's request that got it, `request_hash` what all
    requests for the stream have in common. An empty version is not known yet.
    """

    request_id: str
    request_hash: str
    service: str
    version: str
    upstream_id: str = ""
    started_at_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """Return the upstream's id and start time."""
        return self.upstream_id, self.started_at_ms


@dataclass(frozen=True)
class OriginAsked:
    """Request a peer's record of where a stream began."""

    request_id: str
    request_hash: str


@dataclass(frozen=True)
class OriginUnknown:
    """Reply that this router doesn't know where a stream began.

    `versions` are those of each service; None if this router doesn't know them all,
    or may have missed some.
    """

    request_hash: str
    versions: tuple[VersionRecord, ...] | None = None


class StreamOrigins:
    """Hold the origins of this router's and its peers' streams."""

    def __init__(self) -> None:
        # By the caller's request, in the order of their recording.
        self._origins: dict[str, tuple[StreamOrigin, float]] = {}
        self._ids_by_hash: dict[str, set[str]] = {}
        # What peers say of the versions, by the hash of the request that they know not.
        self._reports: dict[str, tuple[tuple[VersionRecord, ...], float]] = {}
        # Called with each origin of this router's own streams, and the time.
        self.on_began: Callable[[StreamOrigin, float], None] = lambda *args: None

    def record(self, origin: StreamOrigin, now_ms: float) -> None:
        """Record the origin of a stream that this router relays."""
        self.put(origin, now_ms)
        self.on_began(origin, now_ms)

    def put(self, origin: StreamOrigin, now_ms: float) -> None:
        """Record an origin, and drop those that no caller can take up any more."""
        self._remove(origin.request_id)
        self._origins[origin.request_id] = origin, now_ms
        ids = self._ids_by_hash.setdefault(origin.request_hash, set())
        ids.add(origin.request_id)
        while self._origins:
            oldest_id, (_, put_at_ms) = next(iter(self._origins.items()))
            is_old = now_ms - put_at_ms >= MEMORY_MS
            if not is_old and len(self._origins) <= MAX_ORIGINS:
                break
            self._remove(oldest_id)

    def find(
        self, request_id: str, request_hash: str, now_ms: float
    ) -> StreamOrigin | None:
        """Return the origin of a stream that a caller takes up, None if unknown.

        A caller that names no request may have sent several for the same stream.
        Where they began differently, none is certain.
        """
        if request_id:
            return self._get(request_id, now_ms)
        ids = self._ids_by_hash.get(request_hash, ())
        origins = [self._get(item, now_ms) for item in ids]
        known = [item for item in origins if item is not None]
        began_at = {(item.service, item.version, item.incarnation) for item in known}
        versions = {(item.service, item.version) for item in known}
        is_certain = len(versions) == 1 and ("" not in {x.version for x in known})
        return known[0] if is_certain or len(began_at) == 1 else None

    def report(
        self, request_hash: str, versions: tuple[VersionRecord, ...], now_ms: float
    ) -> None:
        """Record the versions that a peer knows, which has no origin of a stream."""
        known, _ = self._reports.pop(request_hash, ((), 0.0))
        self._reports[request_hash] = (*known, *versions), now_ms
        while self._reports:
            oldest, (_, reported_at_ms) = next(iter(self._reports.items()))
            if now_ms - reported_at_ms < REPORT_MEMORY_MS:
                break
            del self._reports[oldest]

    def reported_versions(
        self, request_hash: str, service: str, now_ms: float
    ) -> frozenset[str] | None:
        """Return the versions of a service that peers know, None without an answer."""
        records, reported_at_ms = self._reports.get(request_hash, ((), float("-inf")))
        if now_ms - reported_at_ms >= REPORT_MEMORY_MS:
            return None
        return frozenset(
            version
            for record in records
            if record.service == service
            for version in record.versions
        )

    def _get(self, request_id: str, now_ms: float) -> StreamOrigin | None:
        origin, put_at_ms = self._origins.get(request_id, (None, 0.0))
        return None if now_ms - put_at_ms >= MEMORY_MS else origin

    def _remove(self, request_id: str) -> None:
        origin, _ = self._origins.pop(request_id, (None, 0.0))
        if origin is None:
            return
        ids = self._ids_by_hash[origin.request_hash]
        ids.discard(request_id)
        if not ids:
            del self._ids_by_hash[origin.request_hash]
