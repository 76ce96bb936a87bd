"""Record decisions on generations with the option that governed them."""

from __future__ import annotations

from typing import Protocol

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.generation import GenerationSpec
from bronzeline_kernel.protocols import Clock

__all__ = ["DecisionLogRecorder", "GenerationRecorder", "NullRecorder"]

OPTION_BY_KIND = {
    "lose_upstream": "stall_timeout_ms",
    "attach_anew": "stall_timeout_ms",
    "quarantine": "quarantine_ms",
    "fail": "generation_deadline_ms",
}


class GenerationRecorder(Protocol):
    """Accept the decisions taken on generations."""

    def record(
        self, spec: GenerationSpec, kind: str, chosen: str, reason: str, **details: str
    ) -> None:
        """Record a decision of a kind: what was chosen and why."""


class NullRecorder:
    """Discard every decision."""

    def record(
        self, spec: GenerationSpec, kind: str, chosen: str, reason: str, **details: str
    ) -> None:
        """Discard the decision."""


class DecisionLogRecorder:
    """Write decisions to the decision log with rule and version of their option."""

    def __init__(
        self,
        log: DecisionLog,
        clock: Clock,
        config_distribution: ConfigDistributionService,
    ) -> None:
        self._log = log
        self._clock = clock
        self._rollout = config_distribution

    def record(
        self, spec: GenerationSpec, kind: str, chosen: str, reason: str, **details: str
    ) -> None:
        """Record a decision of a kind: what was chosen and why."""
        option = self._rollout.resolve(
            OPTION_BY_KIND.get(kind, "generation_deadline_ms"),
            workspace=spec.workspace,
            service=spec.service,
            model=spec.model,
        )
        self._log.record(
            Decision(
                at_ms=self._clock.now_ms(),
                subject=spec.generation_id,
                kind=kind,
                chosen=chosen,
                reason=reason,
                rule=option.rule,
                configuration_version=option.version,
                details=details,
            )
        )
