"""Make the relays of admitted requests."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_daemon.forwarding.call_relay import CallRelay
from bronzeline_daemon.forwarding.caller_response import CallerResponse
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.relay import Relay
from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_daemon.forwarding.rollout_exchange import RolloutExchange
from bronzeline_daemon.forwarding.stream_relay import StreamRelay
from bronzeline_kernel.forwarding import (
    TRIAL_OPTIONS,
    Admitted,
    Block,
    BudgetShare,
    CallerRequest,
    CallRun,
    ForwardingView,
    MovePlan,
    Placement,
    Quarantine,
    RequestAdmission,
    RequestIdentity,
    RequestRoute,
    RequestVersions,
    Route,
    RunDirectory,
    StreamAdmission,
    StreamBinding,
    StreamMover,
    StreamOptions,
    StreamOrigins,
    StreamRun,
    UrgencyTerms,
    WorkKind,
    allowed_time_ms,
)

__all__ = ["RelayFactory"]


@dataclass(frozen=True)
class RelayFactory:
    """Make a relay with the machine that decides for its request."""

    view: ForwardingView
    placement: Placement
    peers: ForwardingPeers
    quarantine: Quarantine
    admission: StreamAdmission
    origins: StreamOrigins
    runs: RunDirectory
    moves: MovePlan
    budgets: BudgetShare
    rollouts: RolloutExchange | None
    context: RelayContext

    def make(
        self,
        request_with_body: CallerRequest,
        admitted: Admitted,
        request_route: RequestRoute,
        response: CallerResponse,
        identity: RequestIdentity,
        now_ms: float,
    ) -> Relay:
        """Return the relay of a request; only the relay keeps the body."""
        request = request_with_body.with_body(b"")
        deadline_ms = now_ms + allowed_time_ms(request, admitted.route)
        trial = self.quarantine.begin_trial(identity, now_ms)
        if trial is not None:
            # The same request may be on its way to other routers.
            self.peers.report_quarantine()
        if admitted.route.kind is WorkKind.STREAM:
            stream = self._stream_run(
                request, admitted, request_route, identity, deadline_ms, trial
            )
            return StreamRelay(
                self.context,
                stream,
                request_with_body,
                admitted.workspace,
                response,
                identity,
            )
        call = self._call_run(request, admitted.route, request_route, deadline_ms)
        return CallRelay(
            self.context,
            call,
            request_with_body,
            admitted.workspace,
            response,
            identity,
        )

    def find_block(
        self, request: CallerRequest, identity: RequestIdentity
    ) -> Block | None:
        """Return a block that refuses a request, or None."""
        keys = self.quarantine.keys(request, identity)
        return self.quarantine.find(keys, self._now_ms())

    def _stream_run(
        self,
        request: CallerRequest,
        admitted: Admitted,
        request_route: RequestRoute,
        identity: RequestIdentity,
        deadline_ms: float,
        trial: Block | None,
    ) -> StreamRun:
        route, workspace = admitted.route, admitted.workspace
        service = request_route.next_service()
        binding = StreamBinding(
            request,
            request_route,
            identity.run_hash,
            self.view.upstreams,
            self.placement.prompts,
            self.origins,
            self.view.read_age_ms,
            self.peers.n_routers > 1,
            versions=self._versions(route, request),
        )

        def is_blocked() -> bool:
            block = self.find_block(request, identity)
            is_own = (
                trial is not None and block is not None and trial.is_round_of(block)
            )
            return block is not None and not is_own

        def on_answered() -> None:
            now_ms = self._now_ms()
            self.quarantine.prompt_answered(request.shared_part_ids, now_ms)
            self.quarantine.trials.passed(identity.work_hash, now_ms)

        return StreamRun(
            binding,
            service,
            self.placement,
            self.budgets.budget(service, self.peers.n_routers),
            deadline_ms,
            options=TRIAL_OPTIONS if trial is not None else StreamOptions(),
            find_copy=lambda at_ms: self.runs.pop_copy(identity.run_hash, at_ms),
            is_blocked=is_blocked,
            mover=StreamMover(self.moves, binding, route.max_gap_ms, is_blocked),
            on_answered=on_answered,
            admission=RequestAdmission(
                self.admission,
                request,
                route,
                workspace.name if workspace else "",
                lambda name: self._find_terms(name, request, request_route),
            ),
        )

    def _call_run(
        self,
        request: CallerRequest,
        route: Route,
        request_route: RequestRoute,
        deadline_ms: float,
    ) -> CallRun:
        service = request_route.next_service()

        def find_urgency(name: str) -> int | None:
            terms = self._find_terms(name, request, request_route)
            return None if terms is None else terms.urgency

        return CallRun(
            route,
            service,
            self.placement,
            self.budgets.budget(service, self.peers.n_routers),
            deadline_ms,
            next_service=request_route.next_service,
            find_urgency=find_urgency,
            versions=self._versions(route, request),
        )

    def _versions(self, route: Route, request: CallerRequest) -> RequestVersions | None:
        if self.rollouts is None:
            return None
        return RequestVersions(self.rollouts.traffic, route.name, request.request_id)

    def _find_terms(
        self, service: str, request: CallerRequest, route: RequestRoute
    ) -> UrgencyTerms | None:
        """Return a request's terms in the configuration in force."""
        table = self.view.table
        if table is None:
            return None
        workspace = table.find_workspace(request.key or "")
        return table.terms(service, route.current, workspace)

    def _now_ms(self) -> float:
        return self.context.clock.now_ms()
