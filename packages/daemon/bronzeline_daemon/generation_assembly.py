"""Build the generation and quarantine services of one router."""

from __future__ import annotations

from random import Random
from typing import TYPE_CHECKING

from bronzeline_daemon.generation_service import GenerationService
from bronzeline_daemon.generations import DecisionLogRecorder
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_kernel.generation import (
    EventIdCodec,
    GenerationOptions,
    GenerationSpec,
    first_token_timeout_ms,
)
from bronzeline_kernel.protocols import EngineConnector

if TYPE_CHECKING:
    from bronzeline_daemon.daemon import Daemon

__all__ = ["make_generation_service", "make_quarantine_service"]


def make_generation_service(
    daemon: Daemon, engine: EngineConnector
) -> GenerationService:
    """Return the generation service of one router."""
    settings = daemon.settings
    router_id = settings.router.router_id

    def resolve_options(spec: GenerationSpec) -> GenerationOptions:
        return generation_options(daemon, spec)

    service = GenerationService(
        engine,
        daemon.dispatch,
        daemon.clock,
        daemon.metrics,
        peers=daemon.peers,
        members=daemon.members,
        router=settings.router,
        event_ids=EventIdCodec(settings.peers.shared_key),
        random=Random(f"generations/{settings.seed}/{router_id}"),
        quarantine=daemon.quarantine,
        resolve_options=resolve_options,
    )
    service.recorder = DecisionLogRecorder(
        daemon.decisions, daemon.clock, daemon.rollout
    )
    return service


def make_quarantine_service(daemon: Daemon) -> QuarantineService:
    """Return the quarantine service of one router."""

    def duration_ms(spec: GenerationSpec) -> float:
        resolved = daemon.rollout.resolve(
            "quarantine_ms",
            workspace=spec.workspace,
            service=spec.service,
            model=spec.model,
        )
        return float(resolved.value)

    return QuarantineService(daemon.peers, daemon.members, daemon.clock, duration_ms)


def generation_options(daemon: Daemon, spec: GenerationSpec) -> GenerationOptions:
    """Return the options in force for one generation."""

    def option_value(option: str) -> float:
        resolved = daemon.rollout.resolve(
            option, workspace=spec.workspace, service=spec.service, model=spec.model
        )
        return float(resolved.value)

    stall_timeout_ms = option_value("stall_timeout_ms")
    return GenerationOptions(
        own_id=daemon.settings.router.router_id,
        stall_timeout_ms=stall_timeout_ms,
        first_token_timeout_ms=first_token_timeout_ms(
            stall_timeout_ms, len(spec.prompt)
        ),
        reconnect_grace_ms=option_value("reconnect_grace_ms"),
        resume_budget_ratio=option_value("resume_budget_ratio"),
    )
