"""Build the generation and quarantine services of one router."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.generation_service import GenerationService
from bronzeline_daemon.generations import DecisionLogRecorder
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.peers import PeerNetwork
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_kernel.config import Settings
from bronzeline_kernel.decisions import DecisionLog
from bronzeline_kernel.generation import (
    EventIdCodec,
    GenerationOptions,
    GenerationSpec,
    first_token_timeout_ms,
)
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock, EngineConnector

__all__ = [
    "GenerationParts",
    "make_generation_service",
    "make_quarantine_service",
]


@dataclass(frozen=True)
class GenerationParts:
    """Hold the services that generations are built on."""

    settings: Settings
    clock: Clock
    metrics: Metrics
    decisions: DecisionLog
    members: Members
    peers: PeerNetwork
    config_distribution: ConfigDistributionService
    dispatch: DispatchService


def make_generation_service(
    parts: GenerationParts, engine: EngineConnector, quarantine: QuarantineService
) -> GenerationService:
    """Return the generation service of one router."""
    settings = parts.settings
    router_id = settings.router.router_id

    def resolve_options(spec: GenerationSpec) -> GenerationOptions:
        return generation_options(parts.config_distribution, router_id, spec)

    service = GenerationService(
        engine,
        parts.dispatch,
        parts.clock,
        parts.metrics,
        peers=parts.peers,
        members=parts.members,
        router=settings.router,
        event_ids=EventIdCodec(settings.peers.shared_key),
        random=Random(f"generations/{settings.seed}/{router_id}"),
        quarantine=quarantine,
        resolve_options=resolve_options,
    )
    service.recorder = DecisionLogRecorder(
        parts.decisions, parts.clock, parts.config_distribution
    )
    return service


def make_quarantine_service(parts: GenerationParts) -> QuarantineService:
    """Return the quarantine service of one router."""

    def duration_ms(spec: GenerationSpec) -> float:
        resolved = parts.config_distribution.resolve(
            "quarantine_ms",
            workspace=spec.workspace,
            service=spec.service,
            model=spec.model,
        )
        return float(resolved.value)

    return QuarantineService(parts.peers, parts.members, parts.clock, duration_ms)


def generation_options(
    config_distribution: ConfigDistributionService, router_id: str, spec: GenerationSpec
) -> GenerationOptions:
    """Return the options in force for one generation."""

    def option_value(option: str) -> float:
        resolved = config_distribution.resolve(
            option, workspace=spec.workspace, service=spec.service, model=spec.model
        )
        return float(resolved.value)

    stall_timeout_ms = option_value("stall_timeout_ms")
    return GenerationOptions(
        own_id=router_id,
        stall_timeout_ms=stall_timeout_ms,
        first_token_timeout_ms=first_token_timeout_ms(
            stall_timeout_ms, len(spec.prompt)
        ),
        reconnect_grace_ms=option_value("reconnect_grace_ms"),
        resume_budget_ratio=option_value("resume_budget_ratio"),
    )
