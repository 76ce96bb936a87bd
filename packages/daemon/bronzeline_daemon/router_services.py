"""Group the services of one router that its handlers and gauges use."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.fleet_service import FleetService
from bronzeline_daemon.generation_service import GenerationService
from bronzeline_daemon.lifecycle import Lifecycle
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.order_service import OrderService
from bronzeline_daemon.peers import PeerNetwork
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_daemon.story_service import StoryService
from bronzeline_daemon.workspace_key_index import WorkspaceKeyIndex
from bronzeline_kernel.config import Settings
from bronzeline_kernel.decisions import DecisionLog
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock

__all__ = ["RouterServices"]


@dataclass(frozen=True)
class RouterServices:
    """Hold the services of one router."""

    settings: Settings
    # Tells this process from earlier ones of the same router.
    incarnation: int
    clock: Clock
    lifecycle: Lifecycle
    metrics: Metrics
    decisions: DecisionLog
    members: Members
    peers: PeerNetwork
    config_distribution: ConfigDistributionService
    fleet: FleetService
    dispatch: DispatchService
    quarantine: QuarantineService
    generations: GenerationService
    orders: OrderService
    stories: StoryService
    workspace_keys: WorkspaceKeyIndex
