"""Track the known upstreams and which of them are leaving."""

from __future__ import annotations

from collections.abc import Collection, Iterator
from dataclasses import dataclass

from bronzeline_kernel.fleet import Upstream

__all__ = ["UpstreamTable"]

N_MISSING_READINGS = 6
N_RETURN_READINGS = 2
RETURN_AFTER_MS = 10_000.0


@dataclass
class KnownUpstream:
    """Hold the state of one upstream."""

    upstream: Upstream
    is_leaving: bool = False
    was_unreachable: bool = False
    n_missing: int = 0
    n_present: int = 0
    present_since_ms: float = 0.0


class UpstreamTable:
    """Combine the VM list, which can flap, with the signals that routers received.

    A leaving signal takes effect at once. It lasts until the upstream was away and
    came back, or the list has shown it as present for `RETURN_AFTER_MS`.
    """

    def __init__(self) -> None:
        self._known: dict[str, KnownUpstream] = {}
        self._by_service: dict[str, list[str]] = {}

    def __contains__(self, upstream_id: str) -> bool:
        return upstream_id in self._known

    def __len__(self) -> int:
        return len(self._known)

    def find(self, upstream_id: str) -> Upstream | None:
        """Return the upstream with this id as listed, or None if it is unknown."""
        known = self._known.get(upstream_id)
        return None if known is None else known.upstream

    def all(self) -> list[Upstream]:
        """Return the known upstreams."""
        return [item.upstream for item in self._known.values()]

    def is_leaving(self, upstream_id: str) -> bool:
        """Return whether an upstream is leaving or unknown and gets no new work."""
        known = self._known.get(upstream_id)
        return known is None or known.is_leaving

    def matching(self, service: str, model: str, version: str) -> Iterator[Upstream]:
        """Yield the upstreams of a service that may get new work."""
        for upstream_id in self._by_service.get(service, ()):
            known = self._known[upstream_id]
            upstream = known.upstream
            if known.is_leaving:
                continue
            if model and upstream.model != model:
                continue
            if version and upstream.version != version:
                continue
            yield upstream

    def read(self, upstreams: Collection[Upstream], now_ms: float) -> list[str]:
        """Apply a reading of the list; return the upstreams that began to leave."""
        newly_leaving = []
        listed = {item.upstream_id: item for item in upstreams}
        for upstream in upstreams:
            known = self._known.setdefault(
                upstream.upstream_id, KnownUpstream(upstream)
            )
            known.upstream = upstream
            if self._on_listed(known, upstream.is_leaving, now_ms):
                newly_leaving.append(upstream.upstream_id)
        for upstream_id in [item for item in self._known if item not in listed]:
            self._on_missing(upstream_id)
        self._index()
        return newly_leaving

    def mark_leaving(self, upstream_id: str) -> bool:
        """Mark an upstream as leaving; return whether it was not before."""
        known = self._known.get(upstream_id)
        if known is None or known.is_leaving:
            return False
        known.is_leaving = True
        known.was_unreachable = False
        known.n_present = 0
        return True

    def mark_unreachable(self, upstream_id: str) -> None:
        """Record that a leaving upstream could not be reached."""
        known = self._known.get(upstream_id)
        if known is not None and known.is_leaving:
            known.was_unreachable = True
            known.n_present = 0

    def _on_listed(self, known: KnownUpstream, is_leaving: bool, now_ms: float) -> bool:
        known.n_missing = 0
        if is_leaving:
            known.n_present = 0
            return self.mark_leaving(known.upstream.upstream_id)
        if not known.is_leaving:
            return False
        known.n_present += 1
        if known.n_present == 1:
            known.present_since_ms = now_ms
        is_back = known.was_unreachable and known.n_present >= N_RETURN_READINGS
        is_stable = now_ms - known.present_since_ms >= RETURN_AFTER_MS
        known.is_leaving = not (is_back or is_stable)
        return False

    def _on_missing(self, upstream_id: str) -> None:
        known = self._known[upstream_id]
        known.n_missing += 1
        known.n_present = 0
        if known.n_missing >= N_RETURN_READINGS:
            known.was_unreachable = True
        if known.n_missing >= N_MISSING_READINGS:
            del self._known[upstream_id]

    def _index(self) -> None:
        self._by_service = {}
        for upstream_id, known in self._known.items():
            service = known.upstream.service
            self._by_service.setdefault(service, []).append(upstream_id)
