"""Choose the upstream for a request and the holder of its copy."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass, field, replace
from random import Random

from bronzeline_kernel.forwarding.engine_pace import EnginePace
from bronzeline_kernel.forwarding.health import UpstreamHealth
from bronzeline_kernel.forwarding.peer_reports import (
    Load,
    LoadByUpstream,
    PeerLoads,
    PeerReports,
)
from bronzeline_kernel.forwarding.placement_costs import PlacementCosts
from bronzeline_kernel.forwarding.placement_options import PlacementOptions
from bronzeline_kernel.forwarding.prompt_index import Prompt, PromptIndex
from bronzeline_kernel.forwarding.regions import RegionExit, Regions
from bronzeline_kernel.forwarding.return_queue import ReturnQueue
from bronzeline_kernel.forwarding.send_permission import SendPermission
from bronzeline_kernel.forwarding.upstream_capacity import UpstreamCapacity
from bronzeline_kernel.forwarding.upstream_limits import UpstreamLimits
from bronzeline_kernel.forwarding.upstream_sampler import UpstreamSampler
from bronzeline_kernel.forwarding.upstream_set import (
    Incarnation,
    ListedUpstream,
    UpstreamSet,
)

__all__ = ["Choice", "Placement"]

_CostFunction = Callable[[ListedUpstream], float]
_RoomFunction = Callable[[ListedUpstream, float], bool]
_MayRunFunction = Callable[[ListedUpstream], bool]


@dataclass(frozen=True)
class Choice:
    """Hold the chosen upstream, the best alternative and the age of the evidence.

    `reports_age_ms` is the age of the oldest peer report used, `sign_age_ms` the
    time since the chosen upstream last responded or accepted a connection,
    `limit_per_s` the limit that it named, `region_exit` why it is in another region;
    each is None if there was none.
    """

    upstream: ListedUpstream
    cost_ms: float
    n_compared: int
    next_id: str
    next_cost_ms: float | None
    reports_age_ms: float | None
    sign_age_ms: float | None
    limit_per_s: float | None = None
    region_exit: RegionExit | None = None


@dataclass
class Placement:
    """Compare the usable upstreams by load, availability zone and health."""

    own_zone: str
    upstreams: UpstreamSet
    health: UpstreamHealth
    random: Random
    options: PlacementOptions = field(default_factory=PlacementOptions)
    prompts: PromptIndex = field(default_factory=PromptIndex)
    limits: UpstreamLimits = field(default_factory=UpstreamLimits)
    capacity: UpstreamCapacity = field(default_factory=UpstreamCapacity)
    regions: Regions = field(default_factory=lambda: Regions(""))
    _paces: defaultdict[str, EnginePace] = field(
        default_factory=lambda: defaultdict(EnginePace)
    )
    _loads: dict[str, Load] = field(default_factory=dict)
    _peer_reports: PeerReports = field(default_factory=PeerReports)
    _returns: ReturnQueue = field(default_factory=ReturnQueue)

    @property
    def permission(self) -> SendPermission:
        """Return the decision on which upstreams may be sent requests."""
        return SendPermission(self.upstreams, self.limits, self._returns)

    @property
    def _sampler(self) -> UpstreamSampler:
        return UpstreamSampler(self.own_zone, self.upstreams, self.random, self.options)

    @property
    def _costs(self) -> PlacementCosts:
        return PlacementCosts(self.own_zone, self.health, self.capacity, self.options)

    def load(self, upstream_id: str) -> Load:
        """Return this router's load on an upstream, for modification in place."""
        return self._loads.setdefault(upstream_id, Load())

    def n_prompts(self, upstream: ListedUpstream, now_ms: float) -> int:
        """Return how many prompts of all routers an upstream has yet to read."""
        return self.total_load(upstream.upstream_id, now_ms).n_prompts

    def total_load(
        self, upstream_id: str, now_ms: float, peers: PeerLoads | None = None
    ) -> Load:
        """Return the load of all routers on an upstream, as far as it is known.

        Callers that compare upstreams pass `peer_loads` as `peers`, which sums all
        reports each time.
        """
        return self._total_load(upstream_id, peers or self.peer_loads(now_ms))

    def pace(self, service: str) -> EnginePace:
        """Return the learned pace of a service's engines."""
        return self._paces[service]

    def set_peer_load(
        self, router_id: str, load: LoadByUpstream, now_ms: float
    ) -> None:
        """Replace the load that a peer reported."""
        self._peer_reports.put(router_id, load, now_ms)

    def peer_loads(self, now_ms: float) -> PeerLoads:
        """Return the sum of the peers' recent reports."""
        return self._peer_reports.total(now_ms)

    def n_silent_peers(self, now_ms: float) -> int:
        """Return how many peers had streams when their reports stopped."""
        return self._peer_reports.n_silent(now_ms)

    def own_load(self) -> LoadByUpstream:
        """Return this router's load on each upstream."""
        loads = self._loads.items()
        return LoadByUpstream(
            {key: item.n_prompts for key, item in loads if item.n_prompts},
            {key: item.n_streams for key, item in loads if item.n_streams},
            {key: item.n_copies for key, item in loads if item.n_copies},
        )

    def prune(self, now_ms: float) -> None:
        """Drop the state of upstreams no longer listed, and old peer reports."""
        self._peer_reports.prune(now_ms)
        self.regions.prune(now_ms)
        self.health.keep_only(self.upstreams.incarnations())
        self.capacity.keep_only(self.upstreams.incarnations())
        self.limits.keep_only(self.upstreams.incarnations(), now_ms)
        self.upstreams.notices.keep_only(self.upstreams.incarnations(), now_ms)
        self._loads = {
            key: item
            for key, item in self._loads.items()
            if item != Load() or self.upstreams.get(key) is not None
        }

    def choose_for_stream(
        self,
        service: str,
        now_ms: float,
        exclude: Collection[Incarnation] = (),
        prompt: Prompt | None = None,
        *,
        is_resumed: bool = False,
        may_run: _MayRunFunction | None = None,
        target_ms: float = 0.0,
    ) -> Choice | None:
        """Choose the upstream for a stream, preferring one that cached its prompt.

        A resumed stream may be sent a little ahead of an upstream's limit. Without
        `may_run` it may run at any upstream. `target_ms` is its route's target latency.
        """
        peers = self._peer_reports.total(now_ms)
        prompt_ms = self.pace(service).usual_prompt_ms
        costs = self._costs

        def cost(upstream: ListedUpstream) -> float:
            cached_share = 0.0
            if prompt is not None:
                cached_share = self.prompts.cached_share(
                    upstream.incarnation, prompt, now_ms
                )
            load = self._total_load(upstream.upstream_id, peers)
            cost_share = costs.stream(upstream, load, now_ms) - cached_share
            return cost_share * prompt_ms

        permission = self.permission
        has_room = permission.has_room_ahead if is_resumed else permission.has_room
        candidates = self._sampler.candidates(service, now_ms, may_run)
        usable = self._usable(candidates, now_ms, exclude, has_room)
        items, region_exit = self.regions.select(
            service, usable, cost, target_ms, now_ms
        )
        spread_ms = self.regions.resume_spread_ms(prompt_ms) if is_resumed else 0.0
        choice = self._pick(items, cost, now_ms, peers.age_ms, spread_ms)
        return choice and replace(choice, region_exit=region_exit)

    def prompt_list_candidates(
        self, service: str, now_ms: float
    ) -> tuple[ListedUpstream, ...]:
        """Return upstreams that may have cached a prompt and have no recent list."""
        return tuple(
            item
            for item in self._sampler.sample(service, now_ms)
            if self.permission.may_call(item, now_ms)
            and not self.health.is_avoided(item.incarnation, now_ms)
            and not self.prompts.has_fresh_list(item.incarnation, now_ms)
        )

    def choose_for_call(
        self,
        service: str,
        now_ms: float,
        exclude: Collection[Incarnation] = (),
        may_run: _MayRunFunction | None = None,
        target_ms: float = 0.0,
    ) -> Choice | None:
        """Choose the upstream for a short call; without `may_run`, among all."""
        costs = self._costs

        def cost(upstream: ListedUpstream) -> float:
            return costs.call(upstream, self.load(upstream.upstream_id), now_ms)

        candidates = self._sampler.candidates(service, now_ms, may_run)
        has_room = self.permission.has_room
        usable = self._usable(candidates, now_ms, exclude, has_room)
        items, region_exit = self.regions.select(
            service, usable, cost, target_ms, now_ms
        )
        choice = self._pick(items, cost, now_ms)
        return choice and replace(choice, region_exit=region_exit)

    def choose_for_copy(
        self, primary: ListedUpstream, now_ms: float
    ) -> ListedUpstream | None:
        """Choose the holder of a stream's copy, in another zone if possible.

        The stream can go on from it only at the same software version.
        """
        others = [
            item
            for item in self._sampler.of_version(primary, now_ms)
            if item.address != primary.address
            and self.permission.may_call(item, now_ms)
            and not self.health.is_avoided(item.incarnation, now_ms)
        ]
        others = self._holders(primary, others, now_ms)
        peers, costs = self._peer_reports.total(now_ms), self._costs

        def cost(upstream: ListedUpstream) -> float:
            load = self._total_load(upstream.upstream_id, peers)
            return costs.copy(upstream, load, now_ms)

        choice = self._pick(others, cost, now_ms)
        return None if choice is None else choice.upstream

    def record_send(self, upstream: ListedUpstream, now_ms: float) -> None:
        """Count a request against the limit of an upstream, if it named one."""
        self.limits.record_send(upstream.incarnation, now_ms)

    def is_holder_available(self, holder: ListedUpstream, now_ms: float) -> bool:
        """Return whether the holder of a copy, and its zone, seem to be alive."""
        if self._costs.is_zone_suspect(holder, now_ms):
            return False
        return self.may_holder_serve(holder, now_ms)

    def may_holder_serve(self, holder: ListedUpstream, now_ms: float) -> bool:
        """Return whether the holder of a copy has not failed, restarted or left.

        Its zone may be suspect because of another upstream.
        """
        if not self.upstreams.is_staying(holder):
            return False
        if self.upstreams.is_superseded(holder):
            return False
        return not self.health.is_avoided(holder.incarnation, now_ms)

    def _holders(
        self, primary: ListedUpstream, items: list[ListedUpstream], now_ms: float
    ) -> list[ListedUpstream]:
        """Return those of some upstreams that may hold a copy of a stream."""
        costs = self._costs
        in_region = self.regions.holders(
            primary, items, lambda item: costs.is_zone_suspect(item, now_ms)
        )
        if in_region is not None:
            return in_region
        zone = primary.availability_zone
        return [item for item in items if item.availability_zone != zone] or items

    def _usable(
        self,
        candidates: Sequence[ListedUpstream],
        now_ms: float,
        exclude: Collection[Incarnation],
        has_room: _RoomFunction,
    ) -> Sequence[ListedUpstream]:
        """Return the upstreams that have room, without those avoided if possible."""
        usable = [
            item
            for item in candidates
            if item.incarnation not in exclude and has_room(item, now_ms)
        ]
        healthy = [
            item
            for item in usable
            if not self.health.is_avoided(item.incarnation, now_ms)
        ]
        return healthy or usable

    def _pick(
        self,
        items: Sequence[ListedUpstream],
        cost: _CostFunction,
        now_ms: float,
        reports_age_ms: float | None = None,
        spread_ms: float = 0.0,
    ) -> Choice | None:
        """Pick at random among the upstreams within `spread_ms` of the lowest cost."""
        if not items:
            return None
        costs = [cost(item) for item in items]
        highest = min(costs) + spread_ms
        cheapest = [index for index, value in enumerate(costs) if value <= highest]
        chosen = self.random.choice(cheapest)
        others = [index for index in range(len(items)) if index != chosen]
        next_best = min(others, key=costs.__getitem__, default=None)
        return Choice(
            upstream=items[chosen],
            cost_ms=costs[chosen],
            n_compared=len(items),
            next_id="" if next_best is None else items[next_best].upstream_id,
            next_cost_ms=None if next_best is None else costs[next_best],
            reports_age_ms=reports_age_ms,
            sign_age_ms=self._sign_age_ms(items[chosen], now_ms),
            limit_per_s=self.limits.limit_per_s(items[chosen].incarnation),
        )

    def _sign_age_ms(self, upstream: ListedUpstream, now_ms: float) -> float | None:
        alive_at_ms = self.health.last_alive_at_ms(upstream.incarnation)
        return now_ms - alive_at_ms if math.isfinite(alive_at_ms) else None

    def _total_load(self, upstream_id: str, peers: PeerLoads) -> Load:
        """Return the sum of this router's and the peers' load on an upstream."""
        own, others = self.load(upstream_id), peers.by_upstream.get(upstream_id)
        if others is None:
            return own
        return Load(
            own.n_prompts + others.n_prompts,
            own.n_streams + others.n_streams,
            own.n_copies + others.n_copies,
        )
