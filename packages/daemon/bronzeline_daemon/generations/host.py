"""Declare what a run of a generation needs from its router."""

from __future__ import annotations

from typing import Protocol, TypeVar

from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.generations.recorder import GenerationRecorder
from bronzeline_daemon.generations.replication import Replication
from bronzeline_daemon.generations.stream_timing import ResumeGap
from bronzeline_daemon.generations.streams import EngineStreams
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_kernel.generation import GenerationSpec, GenerationState
from bronzeline_kernel.protocols import Clock

__all__ = ["GenerationHost"]

RunT = TypeVar("RunT", contravariant=True)


class GenerationHost(Protocol[RunT]):
    """Provide the services that all runs share, and keep track of the runs."""

    dispatch: DispatchService
    clock: Clock
    metrics: Metrics
    replication: Replication
    streams: EngineStreams
    quarantine: QuarantineService
    recorder: GenerationRecorder
    engine_active_at_ms: dict[str, float]

    def is_alive(self, router_id: str) -> bool:
        """Return whether a router is considered alive."""

    def with_local_address(
        self, state: GenerationState | None
    ) -> GenerationState | None:
        """Replace the engine in a peer's state by this router's entry for it."""

    def engines_to_avoid(self, spec: GenerationSpec) -> list[str]:
        """Return the engines that a suspect request must not run on."""

    def announce_placement(self, run: RunT, holder_id: str) -> None:
        """Report to the key's directory routers that the generation runs here."""

    def engine_died(self, reporting_run: RunT, upstream_id: str) -> None:
        """Report each attempt on a dead engine to the quarantine."""

    def on_run_adopted(self, run: RunT, former_id: str) -> None:
        """Register a run under the id of the earlier run that it continues."""

    def on_resumed(self, run: RunT, gap: ResumeGap) -> None:
        """Record and log the timing of a resume."""

    def on_ended(self, run: RunT) -> None:
        """Remove an ended generation; keep its state for a returning caller."""
