"""Track whether one router accepts work, drains or closes."""

from __future__ import annotations

import asyncio

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.logs import log_event
from bronzeline_daemon.membership_service import MembershipService

__all__ = ["Lifecycle"]


class Lifecycle:
    """Hold the state of one router from its start to its end."""

    def __init__(
        self,
        router_id: str,
        config_distribution: ConfigDistributionService,
        membership: MembershipService,
        dispatch: DispatchService,
    ) -> None:
        self._router_id = router_id
        self._rollout = config_distribution
        self._membership = membership
        self._dispatch = dispatch
        self.is_stopping = False
        self.is_closing = False
        self.drain_requested = asyncio.Event()
        # The requests whose responses are not completely written.
        self.open_requests: set[object] = set()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send new requests here."""
        has_config = self._rollout.is_loaded and not self._rollout.is_isolated
        return has_config and not self.is_stopping

    def drain(self) -> None:
        """Start to drain: end readiness, notify the peers and request a stop."""
        if self.is_stopping:
            return
        self.is_stopping = True
        self._membership.announce_drain()
        self._dispatch.begin_drain()
        self.drain_requested.set()
        log_event("stopping", router=self._router_id)
