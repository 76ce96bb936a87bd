"""Exchange with peers how far rollouts are, and what versions' responses are like."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping

from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.logs import log_event, log_exception
from bronzeline_kernel.forwarding import (
    FleetEvidence,
    ForwardingView,
    ListedUpstream,
    OwnEvidence,
    RolloutAnnouncement,
    RolloutBounds,
    RolloutQuery,
    RolloutReport,
    RolloutTraffic,
    Route,
    RouterEntry,
    Sample,
    VersionsAnnouncement,
    VersionsQuery,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["RolloutExchange"]

REFRESH_S = 0.1
REPORT_EVERY_N_REFRESHES = 2
# Deciding routers tell every 500 ms; one that was heard within this time gets reports.
DECIDER_LIFETIME_MS = 2_000.0
# A router that starts asks which versions are in use; datagrams may be lost.
N_VERSION_QUERIES = 4
VERSION_QUERY_EVERY_N_REFRESHES = 5
# After an error that nothing foresaw, which may come again.
FAILURE_PAUSE_S = 1.0

OnAnnounced = Callable[[RolloutAnnouncement], None]


class RolloutExchange:
    """Follow the rollouts that deciding routers tell of, and report evidence."""

    def __init__(
        self,
        bounds: RolloutBounds,
        peers: ForwardingPeers,
        view: ForwardingView,
        metrics: ForwardingMetrics,
        clock: Clock,
    ) -> None:
        self.bounds = bounds
        self.traffic = RolloutTraffic()
        self.traffic.on_excluded_only = _log_excluded_only
        self.on_announced: OnAnnounced = lambda announced: None
        self._peers = peers
        self._view = view
        self._metrics = metrics
        self._clock = clock
        # A restarted process counts from zero.
        self._incarnation = round(clock.now_ms() * 1_000.0)
        self._number = 0
        # Both count one rollout of each service.
        self._own: dict[str, OwnEvidence] = {}
        self._fleet: dict[str, FleetEvidence] = {}
        self._deciders: dict[str, tuple[RouterEntry, float]] = {}
        self._task: asyncio.Task[None] | None = None
        peers.listen(RolloutAnnouncement, self._on_announced)
        peers.listen(RolloutQuery, self._on_query)
        peers.listen(RolloutReport, self._on_report)
        peers.listen(VersionsQuery, self._on_versions_query)
        peers.listen(VersionsAnnouncement, self._on_versions_announcement)

    @property
    def is_list_loaded(self) -> bool:
        """Return whether the list of upstreams has been read."""
        return self._view.upstreams.is_loaded

    @property
    def router_id(self) -> str:
        """Return the id of this router."""
        return self._peers.own.router_id

    def start(self) -> None:
        """Start to apply the list of upstreams and to report."""
        self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Cancel the background task."""
        if self._task is not None:
            self._task.cancel()

    def begin(self, upstream: ListedUpstream, route: Route) -> Sample | None:
        """Count an attempt if a rollout of its service runs."""
        evidence = self._own_evidence(upstream.service)
        if evidence is None:
            return None
        self._metrics.version_sent(upstream.service, upstream.version)
        now_ms = self._clock.now_ms()
        return evidence.begin(upstream.version, route.name, now_ms, route.max_gap_ms)

    def refresh(self) -> None:
        """Apply the current list of upstreams."""
        now_ms = self._clock.now_ms()
        self.traffic.refresh(self._view.upstreams.listed(), now_ms)

    def fleet(self, service: str) -> FleetEvidence:
        """Return what all routers have counted and reported here."""
        return self._fleet.setdefault(service, FleetEvidence())

    def targets_ms(self, service: str) -> Mapping[str, float]:
        """Return the target latencies of the routes that lead to a service."""
        table = self._view.table
        routes = table.config.routes if table else ()
        return {
            route.name: route.target_latency_ms
            for route in routes
            if any(share.service == service for share in route.shares)
        }

    def announce(self, announced: RolloutAnnouncement) -> None:
        """Apply what this router has decided, and tell all peers."""
        self._apply(announced)
        self._peers.send_to_all(announced)

    def query(self, service: str, version: str) -> None:
        """Ask all peers how far a rollout is."""
        self._peers.send_to_all(RolloutQuery(service, version))

    def follow(self, announced: RolloutAnnouncement) -> None:
        """Apply what was announced, or read from the store."""
        self._apply(announced)

    def _apply(self, announced: RolloutAnnouncement) -> None:
        known = self.traffic.announced(announced.service, self._clock.now_ms())
        if not self.traffic.receive(announced, self._clock.now_ms()):
            return
        if known is not None and not announced.is_same_run(known):
            self._fleet.pop(announced.service, None)
            self._own.pop(announced.service, None)
        self._metrics.rollout_stage(announced.service, announced.stage.value)
        log_event(
            "rollout_followed",
            service=announced.service,
            version=announced.version,
            stage=announced.stage.value,
            control=",".join(announced.control),
            decider=announced.decider,
            position=f"{announced.era}.{announced.revision}",
            age_ms=round(announced.age_ms),
        )

    def _on_announced(self, announced: RolloutAnnouncement, peer: RouterEntry) -> None:
        if announced.decider == peer.router_id and peer.router_id:
            self._deciders[peer.router_id] = peer, self._clock.now_ms()
        self._apply(announced)
        self.on_announced(announced)

    def _on_query(self, query: RolloutQuery, peer: RouterEntry) -> None:
        announced = self.traffic.announced(query.service, self._clock.now_ms())
        if announced is not None and announced.version == query.version:
            self._peers.send_to(announced, peer)

    def _on_report(self, report: RolloutReport, peer: RouterEntry) -> None:
        announced = self.traffic.announced(report.service, self._clock.now_ms())
        if announced is not None and announced.version == report.version:
            self.fleet(report.service).receive(report, self._clock.now_ms())

    def _on_versions_query(self, query: VersionsQuery, peer: RouterEntry) -> None:
        for announced in self.traffic.announcements(self._clock.now_ms()):
            self._peers.send_to(announced, peer)

    def _on_versions_announcement(
        self, announced: VersionsAnnouncement, peer: RouterEntry
    ) -> None:
        self.traffic.adopt(announced, self._clock.now_ms())

    def _own_evidence(self, service: str) -> OwnEvidence | None:
        """Return where attempts are counted, None if no rollout of the service runs."""
        announced = self.traffic.announced(service, self._clock.now_ms())
        if announced is None or announced.stage.is_final:
            return None
        return self._own.setdefault(service, OwnEvidence())

    async def _run(self) -> None:
        n_refreshes = n_queries = 0
        while True:
            try:
                self.refresh()
                is_due = n_refreshes % VERSION_QUERY_EVERY_N_REFRESHES == 0
                if is_due and n_queries < N_VERSION_QUERIES and self.is_list_loaded:
                    n_queries += 1
                    self._peers.send_to_all(VersionsQuery(self.router_id))
                if n_refreshes % REPORT_EVERY_N_REFRESHES == 0:
                    self._report()
            except Exception as error:
                log_exception(
                    "rollouts_failed", (type(error), error, error.__traceback__)
                )
                await asyncio.sleep(FAILURE_PAUSE_S)
            n_refreshes += 1
            await asyncio.sleep(REFRESH_S)

    def _report(self) -> None:
        now_ms = self._clock.now_ms()
        for announced in self.traffic.all_announced():
            evidence = self._own_evidence(announced.service)
            if evidence is None:
                continue
            self._number += 1
            report = RolloutReport(
                announced.service,
                announced.version,
                self.router_id,
                self._incarnation,
                self._number,
                evidence.counts(now_ms),
            )
            self.fleet(announced.service).receive(report, now_ms)
            for peer, heard_at_ms in self._deciders.values():
                if now_ms - heard_at_ms < DECIDER_LIFETIME_MS:
                    self._peers.send_to(report, peer)


def _log_excluded_only(service: str, versions: frozenset[str]) -> None:
    log_event(
        "rollout_only_excluded_listed",
        service=service,
        versions=",".join(sorted(versions)),
    )
