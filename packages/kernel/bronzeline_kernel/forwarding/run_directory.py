"""Record the copies of peers' runs, for callers that resend a request here."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import CopySource
from bronzeline_kernel.forwarding.upstream_set import UpstreamSet

__all__ = ["RunDirectory", "RunRecord"]

# A copy is freed a little more than 4 s after its last update, so the copy of a
# record that was not renewed for this long no longer exists.
MAX_RECORD_AGE_MS = 5_000.0
MAX_RECORDS = 4_000


@dataclass(frozen=True)
class RunRecord:
    """Locate the copy of a running stream by the ids of its upstreams."""

    request_hash: str
    keeper_id: str
    named_by_id: str
    copy_id: str


class RunDirectory:
    """Hold the newest record of each run of the peers."""

    def __init__(self, upstreams: UpstreamSet) -> None:
        self._upstreams = upstreams
        self._records: dict[str, tuple[RunRecord, float]] = {}

    def put(self, record: RunRecord, now_ms: float) -> None:
        """Store a record; beyond MAX_RECORDS the oldest one is dropped."""
        self._records.pop(record.request_hash, None)
        self._records[record.request_hash] = (record, now_ms)
        while len(self._records) > MAX_RECORDS:
            del self._records[next(iter(self._records))]

    def remove(self, hash_of_request: str) -> None:
        """Remove the record of a run that ended."""
        self._records.pop(hash_of_request, None)

    def pop_record(self, hash_of_request: str, now_ms: float) -> RunRecord | None:
        """Remove and return a run's record, for a peer that got the resent request."""
        record, put_at_ms = self._records.pop(hash_of_request, (None, 0.0))
        return None if now_ms - put_at_ms > MAX_RECORD_AGE_MS else record

    def pop_copy(self, hash_of_request: str, now_ms: float) -> CopySource | None:
        """Remove and return a run's copy; each copy can be used only once."""
        record = self.pop_record(hash_of_request, now_ms)
        if record is None:
            return None
        holder = self._upstreams.get(record.keeper_id)
        named_by = self._upstreams.get(record.named_by_id)
        if holder is None or named_by is None:
            return None
        return CopySource(holder, named_by, record.copy_id)
