"""Find slots that are lost or held twice, at their home router."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from bronzeline_kernel.routing.messages import Slot

__all__ = ["AuditResult", "SlotAudit"]

MAX_REPORT_AGE_MS = 3_500.0
SETTLE_MS = 2_500.0


@dataclass(frozen=True)
class AuditResult:
    """Hold the indexes that no router holds and each router's surplus slots."""

    lost: tuple[int, ...]
    surplus: dict[str, list[Slot]]


@dataclass
class ReportedSlots:
    """Hold which router last reported each slot of an upstream."""

    since_ms: float
    holders: dict[Slot, tuple[str, float]] = field(default_factory=dict)


class SlotAudit:
    """Compare the slots that routers report with those that exist.

    A slot has an index and a random mark. A slot in transfer is reported by two
    routers under the same mark and counts once. An index under two marks was
    allocated again while a router still held it; the slot with the lower mark is
    surplus.
    """

    def __init__(self) -> None:
        self._reported: dict[str, ReportedSlots] = {}

    def start(self, upstream_id: str, now_ms: float) -> None:
        """Start to audit an upstream, when this router becomes its home."""
        if upstream_id not in self._reported:
            self._reported[upstream_id] = ReportedSlots(now_ms)

    def stop(self, upstream_id: str) -> None:
        """Stop the audit of an upstream, when another router becomes its home."""
        self._reported.pop(upstream_id, None)

    def record_report(
        self, router_id: str, upstream_id: str, slots: Iterable[Slot], now_ms: float
    ) -> None:
        """Record the slots of an upstream that a router reported."""
        self.start(upstream_id, now_ms)
        holders = self._reported[upstream_id].holders
        for slot in slots:
            holders[slot] = (router_id, now_ms)

    def check(
        self,
        upstream_id: str,
        n_slots: int,
        router_ids: frozenset[str],
        now_ms: float,
    ) -> AuditResult | None:
        """Return lost and surplus slots, or None until reports have settled."""
        reported = self._reported[upstream_id]
        if now_ms - reported.since_ms < SETTLE_MS:
            return None
        reported.holders = {
            slot: (router_id, at_ms)
            for slot, (router_id, at_ms) in reported.holders.items()
            if router_id in router_ids and now_ms - at_ms <= MAX_REPORT_AGE_MS
        }
        kept = {slot.index: slot for slot in sorted(reported.holders, key=_by_mark)}
        lost = tuple(index for index in range(n_slots) if index not in kept)
        surplus: dict[str, list[Slot]] = {}
        for slot, (router_id, _) in list(reported.holders.items()):
            if slot.index >= n_slots or kept[slot.index] != slot:
                surplus.setdefault(router_id, []).append(slot)
                del reported.holders[slot]
        return AuditResult(lost, surplus)


def _by_mark(slot: Slot) -> int:
    return slot.mark
