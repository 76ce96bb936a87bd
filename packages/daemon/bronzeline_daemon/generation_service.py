"""Run the generations that callers requested from this router."""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import replace
from random import Random

from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.generations import (
    AnswerEvent,
    EngineStreams,
    GenerationRecorder,
    GenerationRun,
    NullRecorder,
    OnAnswerEvent,
    PlacementClient,
    Replication,
    ResumeGap,
)
from bronzeline_daemon.logs import log_event
from bronzeline_daemon.metrics import Metrics
from bronzeline_daemon.peers import PeerNetwork
from bronzeline_daemon.quarantine_service import QuarantineService
from bronzeline_kernel.config import RouterSettings
from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation import (
    EventIdCodec,
    FailAnswer,
    Generation,
    GenerationOptions,
    GenerationPlaced,
    GenerationSpec,
    GenerationState,
    GenerationStep,
    HolderLost,
    Recovery,
    ReplicaOpened,
    RequestPeerState,
    ResumeBudget,
    Superseded,
    TakeOver,
    rank_holders,
    request_key,
)
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock, EngineConnector, VmListing

__all__ = ["AnswerEvent", "GenerationRun", "GenerationService", "OnAnswerEvent"]

TICK_INTERVAL_S = 0.1
FENCE_STEP = 1_000
FENCES_PER_MS = 16
MS_PER_S = 1_000.0
MAX_KEPT_GAPS = 1_000
MAX_FURTHER_PEERS = 8
N_HOLDER_CANDIDATES = 4

ResolveOptions = Callable[[GenerationSpec], GenerationOptions]


class GenerationService:
    """Start generations, take them over from peers and hand them over to peers."""

    def __init__(
        self,
        engine: EngineConnector,
        dispatch: DispatchService,
        clock: Clock,
        metrics: Metrics,
        *,
        peers: PeerNetwork,
        members: Members,
        router: RouterSettings,
        event_ids: EventIdCodec,
        random: Random,
        quarantine: QuarantineService,
        resolve_options: ResolveOptions,
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self.dispatch = dispatch
        self.clock = clock
        self.metrics = metrics
        self.replication = Replication(
            peers, clock, self._on_take_over, self._count_cross_region_bytes
        )
        self.placements = PlacementClient(peers, members, clock)
        self.resume_gaps: deque[ResumeGap] = deque(maxlen=MAX_KEPT_GAPS)
        self.budget = ResumeBudget()
        self.quarantine = quarantine
        self.streams = EngineStreams(engine, clock, self.budget.cost)
        self.recorder: GenerationRecorder = NullRecorder()
        self._members = members
        self._router = router
        self._incarnation = peers.incarnation
        self._event_ids = event_ids
        self._random = random
        self._upstreams: dict[str, Upstream] = {}
        self._resolve_options = resolve_options
        self.engine_active_at_ms: dict[str, float] = {}
        self._wall_clock_s = wall_clock_s
        self._running: dict[str, GenerationRun] = {}

    @property
    def n_running(self) -> int:
        """Return the number of generations that have not ended."""
        return len(self._running)

    def make_id(self) -> str:
        """Return an id that no earlier process of this router generated."""
        return f"gen-{self._incarnation:x}-{self._random.getrandbits(64):016x}"

    def running_ids(self) -> list[str]:
        """Return the ids of the generations that have not ended."""
        return list(self._running)

    def ids_in_region(self, region: str) -> list[str]:
        """Return the ids of the generations whose engine is in a region."""
        return [
            generation_id
            for generation_id, run in self._running.items()
            if run.machine.upstream and run.machine.upstream.region == region
        ]

    def abort(self) -> None:
        """Drop all generations at once without notifying callers or peers."""
        for run in self._running.values():
            run.machine.abandon()
        self._running.clear()
        self.streams.close()

    def apply_listing(self, listing: VmListing) -> None:
        """Apply the engines' addresses from a listing of the VMs."""
        self._upstreams = {item.upstream_id: item for item in listing.upstreams}

    async def run(self) -> None:
        """Check the timeouts of all generations until cancelled."""
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            self.tick()

    def tick(self) -> None:
        """Check the timeouts of all generations and expire stored state."""
        now_ms = self.clock.now_ms()
        for run in list(self._running.values()):
            run.tick(now_ms)
            self._check_holder(run)
        self.replication.store.expire(now_ms)
        self.placements.expire(now_ms)

    def _count_cross_region_bytes(self, router_id: str, n_bytes: int) -> None:
        info = self._members.find(router_id)
        if info is not None and info.region != self._router.region:
            self.budget.cost.cross_region_bytes += n_bytes

    def _check_holder(self, run: GenerationRun) -> None:
        holder_id = run.machine.delivery.replication.holder_id
        if holder_id and not self.is_alive(holder_id):
            run.handle(HolderLost(holder_id))

    def is_alive(self, router_id: str) -> bool:
        """Return whether a router is considered alive."""
        is_own = router_id == self._router.router_id
        return is_own or self._members.is_alive(router_id)

    def start(self, spec: GenerationSpec, on_event: OnAnswerEvent) -> GenerationRun:
        """Start or resume a generation and send its events to `on_event`."""
        key = _request_key(spec) if spec.idempotency_key else ""
        recovery: Recovery | None = None
        if spec.last_event_id:
            recovery = self._make_recovery(spec, key)
            if recovery is not None:
                spec = replace(spec, generation_id=recovery.hints.generation_id)
        options = self._resolve_options(spec)
        self.budget.ratio = options.resume_budget_ratio
        machine = Generation(
            spec,
            options,
            request_key=key,
            make_prefix=self._event_ids.prefix,
            recovery=recovery,
            holder_ids=self._holder_ids() if key else (),
            budget=self.budget,
        )
        run = GenerationRun(machine, on_event, self)
        if spec.last_event_id and recovery is None:
            on_event(FailAnswer("unknown_event_id", 0))
            return run
        run.start()
        if not machine.is_ended:
            self._running[spec.generation_id] = run
            if key and recovery is None:
                self._find_earlier_run(run, key)
        return run

    def announce_placement(self, run: GenerationRun, holder_id: str) -> None:
        """Report to the key's directory routers that the generation runs here."""
        router_ids = (holder_id, self._router.router_id)
        key = run.machine.request_key
        self.placements.place(GenerationPlaced(key, run.generation_id, router_ids))

    def on_run_adopted(self, run: GenerationRun, former_id: str) -> None:
        """Register a run under the id of the earlier run that it continues."""
        if self._running.get(former_id) is run:
            del self._running[former_id]
        self._running[run.generation_id] = run

    def _find_earlier_run(self, run: GenerationRun, key: str) -> None:
        def on_state(state: GenerationState | None, *_: object) -> None:
            local_state = self.with_local_address(state)
            if local_state is not None:
                run.adopt_earlier_run(local_state)

        def on_found(placement: GenerationPlaced) -> None:
            if (
                placement.generation_id != run.generation_id
                and not run.machine.is_ended
            ):
                ids = placement.router_ids
                request = RequestPeerState(placement.generation_id, ids, 0)
                self.replication.ask(request, key, _has_tokens, on_state)

        self.placements.ask(key, on_found)

    def with_local_address(
        self, state: GenerationState | None
    ) -> GenerationState | None:
        """Replace the engine in a peer's state by this router's entry for it."""
        if state is None or state.upstream is None:
            return state
        upstream_id = state.upstream.upstream_id
        return replace(state, upstream=self._upstreams.get(upstream_id, state.upstream))

    def engine_died(self, reporting_run: GenerationRun, upstream_id: str) -> None:
        """Report each attempt on a dead engine to the quarantine, but only once."""
        now_ms = self.clock.now_ms()
        affected = [
            run
            for run in self._running.values()
            if run.machine.attempt and _upstream_id(run) == upstream_id
        ]
        specs = [
            (run.machine.spec, now_ms - run.attempt_started_at_ms)
            for run in (*affected, reporting_run)
            if run.mark_death_counted()
        ]
        if specs:
            self.quarantine.engine_died(upstream_id, specs)

    def engines_to_avoid(self, spec: GenerationSpec) -> list[str]:
        """Return the engines that a suspect request must not run on."""
        candidates = [
            item.upstream_id
            for item in self._upstreams.values()
            if item.service == spec.service and not item.is_leaving
        ]
        return self.quarantine.engines_to_avoid(spec, candidates)

    def on_ended(self, run: GenerationRun) -> None:
        """Remove an ended generation; keep its state for a returning caller."""
        machine = run.machine
        self.budget.cost.n_tokens_dropped += machine.n_dropped_frames
        if self._running.get(run.generation_id) is run:
            del self._running[run.generation_id]
        if machine.request_key and machine.cause != "superseded":
            message = ReplicaOpened(run.replica_id, machine.state())
            own_id = self._router.router_id
            self.replication.store.open(own_id, message, self.clock.now_ms())

    def on_resumed(self, run: GenerationRun, gap: ResumeGap) -> None:
        """Record and log the timing of a resume."""
        self.resume_gaps.append(gap)
        self.recorder.record(
            run.machine.spec,
            "resume",
            _upstream_id(run),
            gap.cause,
            gap_ms=f"{gap.total_ms:.0f}",
            tokens_held=str(gap.n_tokens_held),
        )
        log_event(
            "resumed",
            generation=run.generation_id,
            cause=gap.cause,
            gap_ms=round(gap.total_ms, 1),
            is_attached=gap.is_attached,
        )

    def _make_recovery(self, spec: GenerationSpec, key: str) -> Recovery | None:
        read = self._event_ids.read(spec.last_event_id)
        if read is None or read.hints.request_key != key:
            return None
        hints = read.hints
        fence = max(hints.fence + FENCE_STEP, self._new_fence())
        # Another router may hold the replica by now; in a small fleet, any router.
        alive_ids = [item.router_id for item in self._members.alive()]
        router_ids = [item for item in (hints.holder_id, hints.owner_id) if item]
        router_ids += [item for item in alive_ids if item not in router_ids][
            :MAX_FURTHER_PEERS
        ]
        upstream = self._upstreams.get(hints.upstream_id)
        n_delivered = read.index + 1
        return Recovery(
            hints, n_delivered, read.digest, upstream, fence, tuple(router_ids)
        )

    def _new_fence(self) -> int:
        # The fence in the caller's hint does not include takeovers that delivered
        # no event. Clock differences between routers only cost additional tries:
        # the response is the same whichever router wins.
        now_ms = int(self._wall_clock_s() * MS_PER_S)
        return now_ms * FENCES_PER_MS + self._random.randrange(FENCES_PER_MS)

    def _holder_ids(self) -> list[str]:
        router = self._router
        ranked = rank_holders(
            router.router_id,
            router.availability_zone,
            router.region,
            self._members.alive(),
        )
        return ranked[:N_HOLDER_CANDIDATES]

    def _on_take_over(self, message: TakeOver) -> GenerationState | None:
        run = self._running.get(message.generation_id)
        if run is None or run.machine.request_key != message.request_key:
            return None
        state = run.machine.state()
        was_known = run.machine.step is not GenerationStep.RECOVERING
        self.recorder.record(run.machine.spec, "hand_over", "", "caller_came_back")
        # A caller who left is the one who returns now, so the takeover of a run
        # without a caller succeeds whatever its fence.
        fence = max(message.fence, run.machine.fence + (not run.machine.has_caller))
        run.handle(Superseded(fence))
        return state if was_known else None


def _has_tokens(state: GenerationState) -> bool:
    return bool(state.tokens)


def _upstream_id(run: GenerationRun) -> str:
    upstream = run.machine.upstream
    return upstream.upstream_id if upstream else ""


def _request_key(spec: GenerationSpec) -> str:
    body = (
        spec.service,
        spec.model,
        spec.prompt,
        spec.max_tokens,
        spec.stop,
        spec.sampling_seed,
        spec.temperature,
        spec.adapter,
    )
    return request_key(spec.workspace, spec.idempotency_key, body)
