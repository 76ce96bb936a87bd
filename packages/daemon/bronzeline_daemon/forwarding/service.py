"""Admit callers' requests and forward them to upstreams."""

from __future__ import annotations

import math
from random import Random

from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.earlier_run_finder import EarlierRunFinder
from bronzeline_daemon.forwarding.engine_adopter import EngineAdopter
from bronzeline_daemon.forwarding.event_log import EventLog
from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.forwarding.origin_exchange import OriginExchange
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prober import Prober
from bronzeline_daemon.forwarding.prompt_list_reader import PromptListReader
from bronzeline_daemon.forwarding.relay_context import RelayContext, RequestReport
from bronzeline_daemon.forwarding.relay_factory import RelayFactory
from bronzeline_daemon.forwarding.rollout_exchange import RolloutExchange
from bronzeline_daemon.forwarding.run_copier import RunCopier
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.forwarding import (
    Admitted,
    BudgetShare,
    CallerLimits,
    CallerRequest,
    EngineClient,
    EngineInfo,
    ForwardingSettings,
    ForwardingView,
    ListedUpstream,
    MovePlan,
    Placement,
    Quarantine,
    Refusal,
    Refused,
    Regions,
    RequestIdentity,
    RequestRoute,
    ResponseHead,
    ResponseLimits,
    Route,
    RunDirectory,
    Sample,
    StopPlan,
    StreamAdmission,
    StreamOrigins,
    UpstreamHealth,
    UpstreamNotice,
    WireFormat,
    WorkKind,
    Zone,
    admit,
    identify,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["ForwardingService"]

STATUS_OF_REFUSAL = {
    Refusal.NO_ROUTE: 404,
    Refusal.UNKNOWN_KEY: 401,
    Refusal.NOT_READY: 503,
    Refusal.STOPPING: 503,
    Refusal.QUARANTINED: 503,
    Refusal.OVERLOADED: 503,
}
# Some streams end within this time.
FULL_RETRY_MS = 1_000.0
# Several sends of a quarantined request wait for the same end. They return one after
# the other, so that all routers know of the first one's trial by the second one's.
RETURN_SPREAD_MS = 2_000.0


class ForwardingService:
    """Check requests and relay the admitted ones to upstreams."""

    def __init__(
        self,
        settings: ForwardingSettings,
        view: ForwardingView,
        wire: WireFormat,
        engines: EngineClient,
        clock: Clock,
        random: Random,
    ) -> None:
        self._settings = settings
        self._view = view
        self._wire = wire
        self.engines = engines
        self._clock = clock
        self._random = random
        self.connection_pool = ConnectionPool(
            clock, ResponseLimits.for_memory(settings.memory_mib)
        )
        self.metrics = ForwardingMetrics()
        self.placement = Placement(
            settings.availability_zone, view.upstreams, UpstreamHealth(), random
        )
        zone = settings.availability_zone
        self.placement.regions = Regions(zone, settings.regions)
        self.placement.capacity.is_active = settings.learns_capacity
        self.admission = StreamAdmission(self.placement)
        self.quarantine = Quarantine(random, self._n_engines)
        runs = RunDirectory(view.upstreams)
        self.peers = ForwardingPeers(
            settings, self.placement, runs, self.quarantine, clock, random
        )
        self.origins = StreamOrigins()
        origin_exchange = OriginExchange(
            self.peers,
            self.origins,
            view.upstreams.versions,
            view.read_age_ms,
            clock,
        )
        self._engine_adopter = EngineAdopter(view, engines, self.peers, clock)
        self.rollouts: RolloutExchange | None = None
        if settings.rollout is not None:
            self.rollouts = RolloutExchange(
                settings.rollout, self.peers, view, self.metrics, clock
            )
        self.n_running = 0
        self._n_streams = 0
        # More streams than this at once are refused, so that calls have room.
        self.max_streams = math.inf
        self.stop_plan: StopPlan | None = None
        self._logs = LogLimiter(clock, settings.router_id)
        self.placement.health.on_replaced = self._on_replaced
        view.upstreams.notices.random = random
        engines.on_notice = self._on_notice
        engines.may_call = lambda upstream: self.placement.permission.may_call(
            upstream, clock.now_ms()
        )
        event_log = EventLog(self._logs, self.metrics)
        event_log.subscribe(self.placement, self.quarantine)
        self.admission.on_decision = event_log.log_admission
        moves = MovePlan(
            self.placement,
            self._find_engine,
            settings.regions,
            lambda: self.stop_plan is None,
            event_log.on_move_ended,
        )
        context = RelayContext(
            clock,
            self.connection_pool,
            wire,
            engines,
            Prober(),
            RunCopier(engines),
            EarlierRunFinder(
                self.peers,
                origin_exchange,
                PromptListReader(engines, self.placement.prompts, clock),
            ),
            self.peers,
            origin_exchange,
            self.quarantine,
            self._logs,
            self.metrics,
            self._on_upstream_dead,
            view.upstreams.is_staying,
            self._on_response,
            lambda: math.inf if self.stop_plan is None else self.stop_plan.answer_by_ms,
            self._begin_sample,
        )
        self._relays = RelayFactory(
            view,
            self.placement,
            self.peers,
            self.quarantine,
            self.admission,
            self.origins,
            runs,
            moves,
            BudgetShare(settings.retry_ratio, settings.n_retry_reserve),
            self.rollouts,
            context,
        )

    def limits(self) -> CallerLimits:
        """Return the limits for callers' requests."""
        table = self._view.table
        return table.config.limits if table else CallerLimits()

    def handle(self, request: CallerRequest, response: CallerResponse) -> None:
        """Refuse or forward one request; the response may follow later."""
        now_ms = self._clock.now_ms()
        identity = identify(request)
        admitted = admit(self._view, request, now_ms, self.stop_plan)
        block = self._relays.find_block(request, identity)
        if isinstance(admitted, Admitted) and block is not None:
            reason = f"ends engines: {' '.join(block.keys)}"
            retry_after_ms = block.remaining_ms + self._random.uniform(
                0.0, RETURN_SPREAD_MS
            )
            admitted = Refused(Refusal.QUARANTINED, reason, retry_after_ms)
        if isinstance(admitted, Refused):
            self._refuse(request, identity, admitted, response)
        else:
            self._forward(request, identity, admitted, response, now_ms)

    def _refuse(
        self,
        request: CallerRequest,
        identity: RequestIdentity,
        refused: Refused,
        response: CallerResponse,
    ) -> None:
        headers = []
        if refused.retry_after_ms:
            headers = self._wire.refusal_headers(refused.retry_after_ms)
        response.send(STATUS_OF_REFUSAL[refused.refusal], headers)
        self.metrics.request_refused(refused.refusal.value)
        self._logs.warn(
            "request_refused",
            request_id=request.request_id,
            refusal=refused.refusal.value,
            reason=refused.reason,
            configuration_version=self._view.version,
            lease_age_ms=self._lease_age_ms(),
            request_hash=identity.work_hash,
        )

    def _begin_sample(self, upstream: ListedUpstream, route: Route) -> Sample | None:
        return None if self.rollouts is None else self.rollouts.begin(upstream, route)

    def _n_engines(self, zone: Zone) -> int:
        service, zone_name = zone
        by_zone = self._view.upstreams.usable_by_zone(service, self._clock.now_ms())
        return len(by_zone.get(zone_name, ()))

    def _on_upstream_dead(self, upstream: ListedUpstream) -> None:
        self.placement.health.record_zone_loss(upstream.zone, self._clock.now_ms())

    def _on_notice(self, upstream: ListedUpstream, notice: UpstreamNotice) -> None:
        now_ms = self._clock.now_ms()
        self._view.upstreams.notices.record(upstream.incarnation, notice, now_ms)

    def _on_response(self, upstream: ListedUpstream, head: ResponseHead) -> None:
        self._on_notice(upstream, head.notice)
        if head.is_rejected and head.limit_per_s is None:
            # Only a response to a request that ran shows that there is no limit.
            return
        self.placement.limits.record_response(
            upstream.incarnation, head.limit_per_s, self._clock.now_ms()
        )

    def _on_replaced(self, upstream: tuple[str, int]) -> None:
        self.peers.report_replaced(upstream)
        self._engine_adopter.on_replaced(upstream[0])

    def _lease_age_ms(self) -> int | None:
        age_ms = self._view.lease.age_ms(self._clock.now_ms())
        return round(age_ms) if math.isfinite(age_ms) else None

    def _forward(
        self,
        request: CallerRequest,
        identity: RequestIdentity,
        admitted: Admitted,
        response: CallerResponse,
        now_ms: float,
    ) -> None:
        route = admitted.route
        request_with_body, request = request, request.with_body(b"")
        request_route = RequestRoute(
            route,
            lambda: self._find_route(request),
            self._random,
            lambda at_ms: self._view.route_history.former_services(
                request.host, request.path, at_ms
            ),
        )
        if route.kind is WorkKind.STREAM and self._n_streams >= self.max_streams:
            refused = Refused(Refusal.OVERLOADED, "streams_full", FULL_RETRY_MS)
            self._refuse(request, identity, refused, response)
            self.metrics.turned_away(refused.reason)
            return
        relay = self._relays.make(
            request_with_body, admitted, request_route, response, identity, now_ms
        )
        self.n_running += 1
        if route.kind is WorkKind.STREAM:
            self._n_streams += 1
        relay.start(lambda report: self._on_request_ended(route.kind, report))

    def _find_route(self, request: CallerRequest) -> Route | None:
        """Return the route of the configuration in force, None if there is none."""
        table = self._view.table
        return table.find(request.host, request.path) if table else None

    def _find_engine(self, service: str) -> EngineInfo | None:
        """Return what the configuration in force says of engines that may move runs."""
        if not self._settings.moves_streams:
            return None
        found = self._view.table.service(service) if self._view.table else None
        return found.engine if found else None

    def run_maintenance(self) -> None:
        """Log how many lines were dropped, and remove stale records."""
        self._logs.report_dropped()
        self.placement.prune(self._clock.now_ms())

    def _on_request_ended(self, kind: WorkKind, report: RequestReport) -> None:
        self.n_running -= 1
        if kind is WorkKind.STREAM:
            self._n_streams -= 1
        self.metrics.request_ended(kind.value, report.outcome, report.duration_ms)
        if report.first_event_ms:
            self.metrics.stream_ended(report.first_event_ms, report.longest_gap_ms)
