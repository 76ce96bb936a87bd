"""Log what a router decides beside its requests, one line each."""

from __future__ import annotations

import math

from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.forwarding import (
    AdmissionReport,
    AdmissionVerdict,
    BeliefChange,
    BlamedParts,
    Block,
    CapacityChange,
    EngineLost,
    LimitChange,
    MoveReport,
    NoticeChange,
    PartsAnswered,
    Placement,
    Quarantine,
    QuarantinedRequest,
    RegionChange,
)

__all__ = ["EventLog"]


class EventLog:
    """Write the events of placement and quarantine to the log."""

    def __init__(self, logs: LogLimiter, metrics: ForwardingMetrics) -> None:
        self._logs = logs
        self._metrics = metrics

    def subscribe(self, placement: Placement, quarantine: Quarantine) -> None:
        """Start to log what they report."""
        placement.health.on_belief = self._on_belief_changed
        placement.regions.on_change = self._on_region_changed
        placement.capacity.on_change = self._on_capacity_changed
        placement.limits.on_change = self._on_limit_changed
        placement.upstreams.notices.on_change = self._on_notice_changed
        quarantine.requests.on_quarantined = self._on_request_quarantined
        quarantine.requests.on_zone_loss = self._on_zone_loss
        quarantine.on_blamed = self._on_parts_quarantined
        quarantine.on_block_learned = self._on_block_learned
        quarantine.on_answered = self._on_parts_answered
        quarantine.on_trial = self._on_trial
        quarantine.on_trial_crashed = self._on_trial_crashed

    def log_admission(self, report: AdmissionReport) -> None:
        """Log whether a stream is sent, waits or is refused, and count it."""
        verdict = report.verdict
        self._metrics.stream_decided(
            report.route, report.urgency, verdict.verdict.value, report.waited_ms
        )
        write = self._logs.info
        if verdict.verdict is AdmissionVerdict.REFUSE:
            write = self._logs.warn
        n_with_room = len(verdict.upstream_ids or ())
        reports_age_ms = report.reports_age_ms
        write(
            "stream_admission",
            request_id=report.request_id,
            service=report.service,
            route=report.route,
            verdict=verdict.verdict.value,
            reason=verdict.reason,
            priority=report.priority,
            urgency=report.urgency,
            n_tokens=report.n_tokens,
            n_engines=report.n_engines,
            n_with_room=n_with_room,
            n_waiting=report.n_waiting,
            waited_ms=round(report.waited_ms),
            left_ms=round(report.left_ms),
            retry_after_ms=round(verdict.retry_after_ms),
            reports_age_ms=None if reports_age_ms is None else round(reports_age_ms),
        )

    def on_move_ended(self, report: MoveReport) -> None:
        """Log and count a move of a live stream."""
        self._metrics.move_ended(report.outcome)
        self._logs.info(
            "stream_move_ended",
            request_id=report.request_id,
            source_id=report.source_id,
            destination_id=report.destination_id,
            outcome=report.outcome,
            n_tokens=report.n_tokens,
            # Infinite if the length of the answer is not known.
            rest_ms=round(report.rest_ms) if math.isfinite(report.rest_ms) else None,
            duration_ms=round(report.duration_ms),
            steps=",".join(f"{name}:{round(at_ms)}" for name, at_ms in report.steps),
        )

    def _on_belief_changed(self, change: BeliefChange) -> None:
        self._logs.info(
            "belief_changed",
            subject=change.subject,
            belief=change.belief.value,
            for_ms=round(change.for_ms),
            source=_source(change.is_own),
        )

    def _on_region_changed(self, change: RegionChange) -> None:
        self._logs.info(
            "region_left" if change.is_leaving else "region_kept",
            service=change.service,
            target_ms=round(change.target_ms),
            wait_ms=round(change.wait_ms),
            wait_elsewhere_ms=round(change.wait_elsewhere_ms),
        )

    def _on_capacity_changed(self, change: CapacityChange) -> None:
        self._logs.info(
            "capacity_changed",
            upstream_id=change.upstream_id,
            time_ratio=round(change.ratio, 2),
            weight=round(change.weight, 1),
        )

    def _on_limit_changed(self, change: LimitChange) -> None:
        self._logs.info(
            "limit_changed",
            upstream_id=change.upstream_id,
            limit_per_s=change.limit_per_s,
            source=_source(change.is_own),
        )

    def _on_notice_changed(self, change: NoticeChange) -> None:
        if not change.is_over:
            source = _source(change.is_own)
            self._metrics.notice_learned(change.notice.value, source)
        self._logs.info(
            "notice_dropped" if change.is_over else "notice_learned",
            upstream_id=change.upstream_id,
            started_at_ms=change.started_at_ms,
            notice=change.notice.value,
            value=change.value,
            age_ms=round(change.age_ms),
            for_ms=None if change.for_ms is None else round(change.for_ms),
            source=_source(change.is_own),
        )

    def _on_request_quarantined(self, quarantined: QuarantinedRequest) -> None:
        self._logs.warn(
            "request_quarantined",
            request_hash=quarantined.request_hash,
            upstream_ids=",".join(quarantined.upstream_ids),
            for_ms=round(quarantined.for_ms),
        )

    def _on_parts_quarantined(self, blamed: BlamedParts) -> None:
        self._logs.warn(
            "parts_quarantined",
            parts=",".join(blamed.part_ids),
            upstream_ids=",".join(blamed.upstream_ids),
            n_requests=blamed.n_requests,
            source=_source(blamed.has_own),
        )

    def _on_block_learned(self, block: Block) -> None:
        self._logs.warn(
            "block_learned",
            keys=",".join(block.keys),
            is_lifted=block.is_lifted,
            for_ms=round(block.remaining_ms),
        )

    def _on_trial(self, block: Block) -> None:
        self._logs.warn(
            "quarantine_trial", keys=",".join(block.keys), round=block.round
        )

    def _on_trial_crashed(self, block: Block) -> None:
        self._logs.warn(
            "quarantine_trial_crashed",
            keys=",".join(block.keys),
            round=block.round,
            for_ms=round(block.remaining_ms),
        )

    def _on_parts_answered(self, answered: PartsAnswered) -> None:
        self._logs.warn("parts_released", parts=",".join(answered.part_ids))

    def _on_zone_loss(self, lost: EngineLost) -> None:
        self._logs.info(
            "engine_death_not_blamed",
            upstream_id=lost.upstream_id,
            reason="other engines of its zone died at the same time",
            n_requests=len(lost.ran_ms),
        )


def _source(is_own: bool) -> str:
    return "own" if is_own else "peer"
