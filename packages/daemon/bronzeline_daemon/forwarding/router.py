"""Run one router between callers and a platform's upstreams."""

from __future__ import annotations

import asyncio
from dataclasses import replace
from random import Random

from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.forwarding.block_exchange import BlockExchange
from bronzeline_daemon.forwarding.block_store import BlockStore
from bronzeline_daemon.forwarding.bounded_server import PlainServer
from bronzeline_daemon.forwarding.capacity_exchange import CapacityExchange
from bronzeline_daemon.forwarding.connection_limiter import CALLERS
from bronzeline_daemon.forwarding.directory_watch import DirectoryWatch
from bronzeline_daemon.forwarding.frontend import CallerFrontend
from bronzeline_daemon.forwarding.limiter_setup import add_limiter_gauges, make_limiter
from bronzeline_daemon.forwarding.metrics import MetricsServer
from bronzeline_daemon.forwarding.origin_directory import OriginDirectory
from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_daemon.forwarding.plain_response import send_plain_response
from bronzeline_daemon.forwarding.proof_exchange import ProofExchange
from bronzeline_daemon.forwarding.rollout_directory import RolloutDirectory
from bronzeline_daemon.forwarding.rollout_metrics import RolloutCollector
from bronzeline_daemon.forwarding.router_directory import RouterDirectory
from bronzeline_daemon.forwarding.service import ForwardingService
from bronzeline_daemon.forwarding.version_directory import VersionDirectory
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.forwarding import (
    DirectoryStore,
    EngineClient,
    ForwardingSettings,
    ForwardingView,
    LeaseTerms,
    ProofOptions,
    ProofSource,
    StopPlan,
    WireFormat,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["ForwardingRouter"]

# Subtracted from the time for which a removed key may still be accepted, to
# allow for clock drift and delays of the event loop.
LEASE_MARGIN_MS = 300.0
# Readiness ends at this share of the lease, so that callers have been moved when
# the lease expires: the load balancer checks once a second and needs two
# failures.
READY_RATIO = 0.72
# The interval for reporting dropped log lines and removing stale records.
MAINTENANCE_INTERVAL_S = 5.0
STOP_POLL_S = 0.05
LISTEN_BACKLOG = 512


class ForwardingRouter:
    """Serve callers until asked to stop."""

    def __init__(
        self,
        settings: ForwardingSettings,
        store: DirectoryStore,
        wire: WireFormat,
        engines: EngineClient,
        clock: Clock | None = None,
        metrics_port: int | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or BootClock()
        self.random = Random(f"{settings.router_id}/{self.clock.now_ms()}")
        self.view = ForwardingView(_lease_terms(settings))
        self.service = ForwardingService(
            settings, self.view, wire, engines, self.clock, self.random
        )
        self.connection_limiter = make_limiter(settings, self.clock)
        self.service.max_streams = self.connection_limiter.limits.streams
        self.connection_limiter.on_turned_away = self.service.metrics.turned_away
        self.connection_limiter.find_workspace = self.view.workspace_name
        for client in (store, engines):
            client.response_budget.account = self.connection_limiter.account
        self.frontend = CallerFrontend(
            wire, self.service.limits, self.service.handle, self.connection_limiter
        )
        peers = self.service.peers
        self.source = ProofSource(
            peers.own, _proof_options(settings), self.clock.now_ms()
        )
        self.documents = PeerDocuments(
            self.view, peers.peer_list, self.clock, self.connection_limiter
        )
        self.watch = DirectoryWatch(
            store,
            self.view,
            self.clock,
            self.random,
            self.source,
            self.documents,
            self.frontend.apply_limits,
            self.service.metrics.store_called,
        )
        self.proofs = ProofExchange(
            self.view,
            self.source,
            self.watch,
            peers,
            store.era,
            self.clock,
            self.random,
        )
        self.directory = RouterDirectory(
            store, peers, self.source, self.documents, self.clock, self.random
        )
        self.blocks = BlockExchange(
            self.service.quarantine,
            BlockStore(store, self.service.quarantine),
            self.source,
            peers,
            self.clock,
            self.random,
        )
        self.versions = VersionDirectory(
            store, self.view.upstreams.versions, self.source, self.clock
        )
        self.origins = OriginDirectory(
            store,
            self.service.origins,
            self.view.upstreams.versions,
            peers,
            self.clock,
        )
        self.capacity = CapacityExchange(
            self.service.placement, peers, self.clock, self.random
        )
        self.rollout_directory: RolloutDirectory | None = None
        if self.service.rollouts is not None:
            self.rollout_directory = RolloutDirectory(
                store, self.service.rollouts, self.source, self.clock
            )
            self.service.metrics.registry.register(
                RolloutCollector(
                    self.service.rollouts, self.rollout_directory, self.clock
                )
            )
        self._store = store
        store.era.listen(_log_restored)
        self._add_gauges()
        add_limiter_gauges(self.connection_limiter, self.service.metrics)
        self._metrics_port = metrics_port
        self._metrics_server = MetricsServer(self.service.metrics)
        self._metrics_server.join(self.connection_limiter, "metrics")
        self._readiness = PlainServer(self._respond_readiness)
        self._readiness.join(self.connection_limiter, "readiness")
        self._maintenance_task: asyncio.Task[None] | None = None
        self.stopped = asyncio.Event()

    @property
    def is_ready(self) -> bool:
        """Return whether the load balancer should send callers to this router."""
        is_stopping = self.service.stop_plan is not None
        return not is_stopping and self.view.is_ready(self.clock.now_ms())

    async def start(self) -> None:
        """Start the background tasks and listen for callers and peers."""
        self.connection_limiter.start()
        self.watch.start()
        self._maintenance_task = asyncio.create_task(self._run_maintenance())
        await self.service.peers.start()
        self.documents.start(self.settings.peers.host, self.settings.peers.port)
        self.proofs.start()
        self.directory.start()
        self.blocks.start()
        self.versions.start()
        self.origins.start()
        self.capacity.start()
        if self.service.rollouts is not None and self.rollout_directory is not None:
            self.service.rollouts.start()
            self.rollout_directory.start()
        for server, address in (
            (self._readiness, self.settings.readiness),
            (self.frontend.server, self.settings.callers),
        ):
            sockets = bind_sockets(address.port, address.host, backlog=LISTEN_BACKLOG)
            server.add_sockets(sockets)
        if self._metrics_port is not None:
            host = self.settings.callers.host
            self._metrics_server.add_sockets(bind_sockets(self._metrics_port, host))
        log_event("started", router=self.settings.router_id)

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Apply changed time limits; addresses only change with a restart."""
        self.view.lease.terms = _lease_terms(settings)
        self.source.options = _proof_options(settings)
        if self.service.rollouts is not None and settings.rollout is not None:
            self.service.rollouts.bounds = settings.rollout
        self.settings = settings
        log_event("settings_taken", router=settings.router_id)

    def begin_stop(self) -> None:
        """End readiness, finish the running requests, then close."""
        if self.service.stop_plan is not None:
            return
        plan = StopPlan(self.clock.now_ms(), self.settings.stop_grace_ms)
        self.service.stop_plan = plan
        self.service.admission.is_stopping = True
        self.frontend.close_after_responses()
        log_event("stopping", n_running=self.service.n_running)
        self._stop_task = asyncio.create_task(self._finish_stop(plan))

    def close(self) -> None:
        """Cancel the background tasks and close all listeners."""
        if self._maintenance_task is not None:
            self._maintenance_task.cancel()
        self.connection_limiter.stop()
        self.watch.stop()
        self.proofs.stop()
        self.directory.stop()
        self.blocks.stop()
        self.versions.stop()
        self.origins.stop()
        self.capacity.stop()
        if self.service.rollouts is not None and self.rollout_directory is not None:
            self.service.rollouts.stop()
            self.rollout_directory.stop()
        self.service.peers.stop()
        self.documents.stop()
        for server in (self.frontend.server, self._readiness, self._metrics_server):
            server.stop()
        self._store.close()

    async def _run_maintenance(self) -> None:
        while True:
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)
            self.service.run_maintenance()
            self.connection_limiter.logs.report_dropped()

    async def _finish_stop(self, plan: StopPlan) -> None:
        while self.clock.now_ms() < plan.ends_at_ms:
            if self._is_idle() and self.clock.now_ms() >= plan.idle_end_at_ms:
                break
            await asyncio.sleep(STOP_POLL_S)
        # A request that comes until the process has exited would be cut.
        self.service.stop_plan = replace(plan, grace_ms=0.0)
        log_event(
            "stopped",
            n_cut=self.service.n_running,
            n_unread=self.connection_limiter.n_unread(CALLERS),
        )
        self.close()
        self.stopped.set()

    def _is_idle(self) -> bool:
        """Return whether all requests have ended and their responses are sent."""
        n_unread = self.connection_limiter.n_unread(CALLERS)
        return not self.service.n_running and not n_unread

    def _add_gauges(self) -> None:
        metrics, view = self.service.metrics, self.view
        for name, text, read in (
            ("running", "Requests that are running.", lambda: self.service.n_running),
            ("configuration_version", "Version in force.", lambda: view.version),
            (
                "needs_keys",
                "1 if requests on routes that aren't public need a key.",
                lambda: float(bool(view.table and view.table.config.needs_keys)),
            ),
            (
                "keys",
                "Valid keys of the version in force.",
                lambda: view.table.n_keys if view.table else 0,
            ),
            (
                "lease_age_ms",
                "Age of the proof that keys are current.",
                lambda: view.lease.age_ms(self.clock.now_ms()),
            ),
            ("upstreams", "Listed upstreams.", lambda: len(view.upstreams)),
            (
                "limited_upstreams",
                "Upstreams that name a request rate as their limit.",
                lambda: len(self.service.placement.limits),
            ),
            (
                "leaving_upstreams",
                "Upstreams that said that they leave.",
                lambda: view.upstreams.notices.n_leaving,
            ),
            (
                "resting_upstreams",
                "Upstreams that want no requests for some time.",
                lambda: view.upstreams.notices.n_resting(self.clock.now_ms()),
            ),
            (
                "region_exits",
                "Services, by target, whose requests may leave the region.",
                lambda: len(self.service.placement.regions),
            ),
            (
                "channels_opened",
                "Connections opened to upstreams.",
                lambda: self.service.connection_pool.n_opened,
            ),
            (
                "store_era",
                "Era of the store; rises when it is restored from a copy.",
                lambda: float(self._store.era.number),
            ),
            (
                "reads_store",
                "1 while this router reads the store itself.",
                lambda: float(self.source.must_read_store(self.clock.now_ms())),
            ),
            (
                "response_bytes",
                "Bytes of upstreams' responses that are buffered.",
                lambda: self.service.connection_pool.response_budget.n_bytes,
            ),
            ("ready", "1 while callers are accepted.", lambda: float(self.is_ready)),
        ):
            metrics.gauge(name, text, read)
        metrics.gauge_by_upstream(
            "upstream_time_ratio",
            "Time of requests as a multiple of the median of the service's upstreams.",
            lambda: self.service.placement.capacity.ratios(self.clock.now_ms()),
        )

    def _respond_readiness(self, request: HTTPServerRequest) -> None:
        send_plain_response(request, 200 if self.is_ready else 503)


def _log_restored(former_era: int, era: int) -> None:
    log_event("store_restored", era=era, former_era=former_era)


def _lease_terms(settings: ForwardingSettings) -> LeaseTerms:
    max_age_ms = settings.key_revocation_ms - LEASE_MARGIN_MS
    return LeaseTerms(max_age_ms, READY_RATIO * max_age_ms)


def _proof_options(settings: ForwardingSettings) -> ProofOptions:
    limit_ms = min(
        settings.config_in_force_ms,
        settings.leaving_in_force_ms,
        _lease_terms(settings).ready_age_ms,
    )
    return ProofOptions.within(limit_ms)
