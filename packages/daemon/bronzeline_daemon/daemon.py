"""Assemble the services of one router and run them on one event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets

from bronzeline_daemon.application import make_application
from bronzeline_daemon.clock import MonotonicClock
from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.dispatch_service import DispatchMachine, DispatchService
from bronzeline_daemon.fleet_service import FleetService
from bronzeline_daemon.gauges import add_gauges
from bronzeline_daemon.generation_assembly import (
    GenerationParts,
    make_generation_service,
    make_quarantine_service,
)
from bronzeline_daemon.lifecycle import Lifecycle
from bronzeline_daemon.logs import log_decision, log_event, log_exception
from bronzeline_daemon.membership_service import MembershipService
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.order_service import OrderService
from bronzeline_daemon.peers import PeerNetwork
from bronzeline_daemon.rate_limited_store import RateLimitedStore
from bronzeline_daemon.router_services import RouterServices
from bronzeline_daemon.story_service import StoryService
from bronzeline_daemon.workspace_key_index import WorkspaceKeyIndex
from bronzeline_kernel.config import Settings
from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership import Members, MembershipOptions
from bronzeline_kernel.plugins import PluginRegistry
from bronzeline_kernel.protocols import (
    Clock,
    EngineConnector,
    ObjectStore,
    PlainConnector,
    VmList,
)
from bronzeline_kernel.routing import Dispatcher

__all__ = ["Daemon", "DispatcherFactory"]

STOP_POLL_S = 0.02
PEER_FLUSH_S = 0.05
MAX_STOP_S = 900.0
NS_PER_MS = 1_000_000

DispatcherFactory = Callable[[RouterInfo, Random], DispatchMachine]


class Daemon:
    """Create, start and stop the services of one router."""

    def __init__(
        self,
        settings: Settings,
        registry: PluginRegistry,
        clock: Clock | None = None,
        dispatcher_factory: DispatcherFactory = Dispatcher,
    ) -> None:
        self.settings = settings
        self.registry = registry
        registry.on_listener_error = _log_listener_failure
        self.clock = clock or MonotonicClock()
        own_id = settings.router.router_id
        self.incarnation = time.time_ns() // NS_PER_MS
        # The incarnation keeps a restarted router from generating the same ids.
        self.random = Random(f"{settings.seed}/{own_id}/{self.incarnation}")
        self.decisions = DecisionLog()
        self.decisions.subscribe(self._on_decision)
        self.metrics = Metrics()
        self.decisions.subscribe(self.metrics.count_decision)
        self.caller_port = settings.router.caller_port
        unlimited_store: ObjectStore = registry.create(
            "object_store",
            settings.object_store.plugin,
            **settings.object_store.options,
        )
        vm_list: VmList = registry.create(
            "vm_list", settings.vm_list.plugin, **settings.vm_list.options
        )
        engine: EngineConnector = registry.create(
            "engine", settings.engine.plugin, **settings.engine.options
        )
        plain: PlainConnector = registry.create(
            "plain", settings.plain.plugin, **settings.plain.options
        )
        self.members = Members(own_id)
        self.store = RateLimitedStore(
            unlimited_store,
            self.clock,
            lambda: len(self.members.alive()) + 1,
            lambda: self.config_distribution.config.defaults,
        )
        store = self.store
        self.peers = PeerNetwork(
            own_id, self.incarnation, settings.peers.shared_key, self.members
        )
        self.config_distribution = ConfigDistributionService(
            store,
            self.clock,
            self.peers,
            self.members,
            settings.router.info(),
            self.random,
        )
        self.membership = MembershipService(
            settings.router.info(),
            self.members,
            self.peers,
            self.clock,
            Random(f"membership/{settings.seed}/{own_id}"),
            self.decisions,
            MembershipOptions(
                heartbeat_interval_ms=settings.peers.heartbeat_interval_ms
            ),
        )
        self.fleet = FleetService(vm_list, Random(f"vm_list/{settings.seed}/{own_id}"))
        self.fleet.subscribe(self.membership.apply_listing)
        self.dispatch = DispatchService(
            dispatcher_factory(settings.router.info(), Random(f"dispatch/{own_id}")),
            engine,
            self.peers,
            self.members,
            self.config_distribution,
            self.clock,
            self.decisions,
            self.metrics,
        )
        self.fleet.subscribe(self.dispatch.apply_listing)
        self.membership.subscribe(lambda changed: self.dispatch.update_members())
        self.lifecycle = Lifecycle(
            own_id, self.config_distribution, self.membership, self.dispatch
        )
        parts = GenerationParts(
            settings,
            self.clock,
            self.metrics,
            self.decisions,
            self.members,
            self.peers,
            self.config_distribution,
            self.dispatch,
        )
        self.quarantine = make_quarantine_service(parts)
        self.generations = make_generation_service(parts, engine, self.quarantine)
        self.fleet.subscribe(self.generations.apply_listing)
        self.orders = OrderService(
            store,
            plain,
            self.dispatch,
            self.clock,
            self.decisions,
            self.config_distribution,
            self.members,
            f"{own_id}/{self.incarnation}",
            self.random,
            has_spare_writes=self.store.has_spare_writes,
        )
        self.stories = StoryService(
            settings.router.info(),
            self.decisions,
            self.peers,
            self.members,
            self.clock,
        )
        self.workspace_keys = WorkspaceKeyIndex(lambda: self.config_distribution.config)
        self.services = RouterServices(
            settings=settings,
            incarnation=self.incarnation,
            clock=self.clock,
            lifecycle=self.lifecycle,
            metrics=self.metrics,
            decisions=self.decisions,
            members=self.members,
            peers=self.peers,
            config_distribution=self.config_distribution,
            fleet=self.fleet,
            dispatch=self.dispatch,
            quarantine=self.quarantine,
            generations=self.generations,
            orders=self.orders,
            stories=self.stories,
            workspace_keys=self.workspace_keys,
        )
        add_gauges(self.services)
        self._server: HTTPServer | None = None
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send new requests here."""
        return self.lifecycle.is_ready

    @property
    def is_stopping(self) -> bool:
        """Return whether the router drains or has ended."""
        return self.lifecycle.is_stopping

    @property
    def drain_requested(self) -> asyncio.Event:
        """Return the event that is set once the router must stop."""
        return self.lifecycle.drain_requested

    async def start(self) -> None:
        """Bind the ports and start the background tasks."""
        router = self.settings.router
        self.peers.listen_on(router.host, router.peer_port)
        await self.fleet.refresh()
        await self.config_distribution.refresh()
        self._tasks = [
            asyncio.create_task(self.fleet.run()),
            asyncio.create_task(self.config_distribution.run()),
            asyncio.create_task(self.generations.run()),
            asyncio.create_task(self.orders.run()),
            asyncio.create_task(self.quarantine.run()),
            asyncio.create_task(self.membership.run()),
            asyncio.create_task(self.stories.run()),
            asyncio.create_task(self.dispatch.run()),
            asyncio.create_task(self.dispatch.run_polls()),
        ]
        self._server = HTTPServer(make_application(self.services))
        sockets = bind_sockets(self.caller_port, router.host)
        self._server.add_sockets(sockets)
        self.caller_port = sockets[0].getsockname()[1]
        self.registry.run_event("startup", daemon=self)
        log_event("started", router=router.router_id)

    async def stop(self) -> None:
        """Refuse new work, finish running work within 15 minutes, then close."""
        self.drain()
        self.lifecycle.is_closing = True
        deadline_ms = self.clock.now_ms() + MAX_STOP_S * 1000.0
        while self._n_running() and self.clock.now_ms() < deadline_ms:
            await asyncio.sleep(STOP_POLL_S)
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()
        # Slots returned by the last work are still being sent to peers.
        await asyncio.sleep(PEER_FLUSH_S)
        self.peers.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.registry.run_event("shutdown", daemon=self)
        log_event("stopped", router=self.settings.router.router_id)

    def drain(self) -> None:
        """Start to drain: end readiness, notify the peers and request a stop."""
        self.lifecycle.drain()

    def _n_running(self) -> int:
        n_working = self.generations.n_running + self.orders.n_running
        return n_working + len(self.lifecycle.open_requests)

    def _on_decision(self, decision: Decision) -> None:
        self.registry.run_event("decision", decision=decision)
        log_decision(decision)


def _log_listener_failure(event: str, error: Exception) -> None:
    info = (type(error), error, error.__traceback__)
    log_exception("listener_failed", info, listened_to=event)
