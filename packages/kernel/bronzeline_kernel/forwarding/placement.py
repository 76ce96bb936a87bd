"""Choose the upstream for a request, and the one that keeps its copy."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field
from random import Random

from bronzeline_kernel.forwarding.health import UpstreamHealth
from bronzeline_kernel.forwarding.prompt_index import Prompt, PromptIndex
from bronzeline_kernel.forwarding.upstream_set import (
    Incarnation,
    ListedUpstream,
    UpstreamSet,
)

__all__ = ["Choice", "Load", "LoadByUpstream", "Placement", "PlacementOptions"]

_Cost = Callable[[ListedUpstream], float]


@dataclass(frozen=True)
class PlacementOptions:
    """Weigh what a place costs, in milliseconds of expected delay."""

    # A prompt of 5,000 tokens is read in 1,000 ms alone, and in 1,200 to
    # 2,300 ms between the steps of running streams.
    prompt_ms: float = 1_600.0
    # A prompt beside a running stream slows it by about its own length, and
    # a stream that lasts longer loses its engine more often.
    stream_ms: float = 250.0
    # A copy takes memory that running streams will want.
    copy_ms: float = 20.0
    # A stream through another zone costs money but no time that matters:
    # the own zone is left when a second prompt would have to wait there.
    far_stream_ms: float = 1_200.0
    call_ms: float = 15.0
    # A short call to another region takes about 25 ms longer and is billed.
    far_call_ms: float = 60.0
    failure_ms: float = 400.0
    # A choice among as many takes a tenth of a millisecond.
    max_near: int = 32
    max_far: int = 32
    # Peers tell of each change in prompts, which last about this long.
    peer_load_life_ms: float = 2_500.0
    # Reading a prompt twice costs more than any detour.
    suspect_zone_ms: float = 4_000.0


@dataclass
class Load:
    """Count this router's own work on one upstream."""

    n_prompts: int = 0
    n_streams: int = 0
    n_copies: int = 0
    n_calls: int = 0


@dataclass(frozen=True)
class LoadByUpstream:
    """Count a router's work on each upstream that has some, by its id."""

    prompts: Mapping[str, int] = field(default_factory=dict)
    streams: Mapping[str, int] = field(default_factory=dict)
    copies: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True)
class PeerWork:
    """Hold what a peer said of its work, and when."""

    at_ms: float
    work: LoadByUpstream


@dataclass(frozen=True)
class PeerLoads:
    """Hold the peers' work by upstream, and the age of the oldest report."""

    by_upstream: Mapping[str, Load]
    age_ms: float | None


@dataclass(frozen=True)
class Choice:
    """Hold the upstream chosen, what it was chosen against, and from what.

    The ages are those of the oldest report of a peer that counted and of the
    chosen upstream's last sign of life; None where there was none.
    """

    upstream: ListedUpstream
    cost_ms: float
    n_compared: int
    next_id: str
    next_cost_ms: float | None
    reports_age_ms: float | None
    sign_age_ms: float | None


@dataclass
class Placement:
    """Weigh the usable upstreams by own load, zone and evidence."""

    own_zone: str
    upstreams: UpstreamSet
    health: UpstreamHealth
    random: Random
    options: PlacementOptions = field(default_factory=PlacementOptions)
    prompts: PromptIndex = field(default_factory=PromptIndex)
    _loads: dict[str, Load] = field(default_factory=dict)
    _peer_work: dict[str, PeerWork] = field(default_factory=dict)

    def load(self, upstream_id: str) -> Load:
        """Return the own load on an upstream, to be changed in place."""
        return self._loads.setdefault(upstream_id, Load())

    def set_peer_load(
        self, router_id: str, work: LoadByUpstream, now_ms: float
    ) -> None:
        """Take in a peer's work, in place of what it said before."""
        self._peer_work[router_id] = PeerWork(now_ms, work)

    def own_load(self) -> LoadByUpstream:
        """Return the own work on each upstream."""
        loads = self._loads.items()
        return LoadByUpstream(
            {key: item.n_prompts for key, item in loads if item.n_prompts},
            {key: item.n_streams for key, item in loads if item.n_streams},
            {key: item.n_copies for key, item in loads if item.n_copies},
        )

    def prune(self, now_ms: float) -> None:
        """Forget upstreams that are listed no more, and old reports of peers."""
        life_ms = self.options.peer_load_life_ms
        self._peer_work = {
            key: item
            for key, item in self._peer_work.items()
            if now_ms - item.at_ms < life_ms
        }
        self.health.keep_only(self.upstreams.incarnations())
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
    ) -> Choice | None:
        """Choose where a stream's prompt is read, or need not be."""
        peers = self._peer_loads(now_ms)

        def cost(upstream: ListedUpstream) -> float:
            kept = 0.0
            if prompt is not None:
                kept = self.prompts.kept_share(upstream.incarnation, prompt, now_ms)
            saved_ms = kept * self.options.prompt_ms
            return self._stream_cost(upstream, peers, now_ms) - saved_ms

        return self._cheapest(service, now_ms, exclude, cost, peers.age_ms)

    def to_ask_for_prompts(
        self, service: str, now_ms: float
    ) -> tuple[ListedUpstream, ...]:
        """Return who may keep a prompt and was not asked a short time ago."""
        return tuple(
            item
            for item in self._some(service, now_ms)
            if not self.health.is_avoided(item.incarnation, now_ms)
            and not self.prompts.is_known(item.incarnation, now_ms)
        )

    def choose_for_call(
        self, service: str, now_ms: float, exclude: Collection[Incarnation] = ()
    ) -> Choice | None:
        """Choose where a short call runs."""
        return self._cheapest(
            service, now_ms, exclude, lambda item: self._call_cost(item, now_ms)
        )

    def choose_for_copy(
        self, primary: ListedUpstream, now_ms: float
    ) -> ListedUpstream | None:
        """Choose who keeps a copy of a stream's memory: in another zone."""
        usable = self._some(primary.service, now_ms)
        others = [
            item
            for item in usable
            if item.address != primary.address
            and not self.health.is_avoided(item.incarnation, now_ms)
        ]
        zones = [item.availability_zone for item in others]
        if any(zone != primary.availability_zone for zone in zones):
            others = [
                item
                for item in others
                if item.availability_zone != primary.availability_zone
            ]
        peers = self._peer_loads(now_ms)
        choice = self._pick(
            others, lambda item: self._copy_cost(item, peers, now_ms), now_ms
        )
        return None if choice is None else choice.upstream

    def is_keeping(self, keeper: ListedUpstream, now_ms: float) -> bool:
        """Say whether an upstream still lives that was given a copy."""
        listed = self.upstreams.get(keeper.upstream_id)
        if listed is None or listed.incarnation != keeper.incarnation:
            return False
        if self.upstreams.is_superseded(listed):
            return False
        zone = (keeper.service, keeper.availability_zone)
        if self.health.is_zone_suspect(zone, keeper.incarnation, now_ms):
            return False
        return not self.health.is_avoided(keeper.incarnation, now_ms)

    def _cheapest(
        self,
        service: str,
        now_ms: float,
        exclude: Collection[Incarnation],
        cost: _Cost,
        reports_age_ms: float | None = None,
    ) -> Choice | None:
        candidates = self._some(service, now_ms)
        usable = [item for item in candidates if item.incarnation not in exclude]
        sound = [
            item
            for item in usable
            if not self.health.is_avoided(item.incarnation, now_ms)
        ]
        return self._pick(sound or usable, cost, now_ms, reports_age_ms)

    def _some(self, service: str, now_ms: float) -> list[ListedUpstream]:
        """Look at a sample where there are many, half of it in the own zone.

        This bounds what a choice costs, and keeps routers with the same stale
        reports from choosing the same upstream.
        """
        options = self.options
        usable = self.upstreams.usable(service, now_ms)
        if len(usable) <= options.max_near + options.max_far:
            return usable
        by_zone = self.upstreams.usable_by_zone(service, now_ms)
        near = by_zone.get(self.own_zone, [])
        far_zones = [zone for zone in by_zone if zone != self.own_zone]
        chosen = self.random.sample(near, min(len(near), options.max_near))
        for zone in self.random.choices(
            far_zones, k=options.max_far if far_zones else 0
        ):
            chosen.append(self.random.choice(by_zone[zone]))
        return chosen

    def _pick(
        self,
        items: list[ListedUpstream],
        cost: _Cost,
        now_ms: float,
        reports_age_ms: float | None = None,
    ) -> Choice | None:
        if not items:
            return None
        costs = [cost(item) for item in items]
        lowest = min(costs)
        best = [index for index, value in enumerate(costs) if value <= lowest]
        chosen = self.random.choice(best)
        others = [index for index in range(len(items)) if index != chosen]
        following = min(others, key=costs.__getitem__, default=None)
        return Choice(
            upstream=items[chosen],
            cost_ms=lowest,
            n_compared=len(items),
            next_id="" if following is None else items[following].upstream_id,
            next_cost_ms=None if following is None else costs[following],
            reports_age_ms=reports_age_ms,
            sign_age_ms=self._sign_age_ms(items[chosen], now_ms),
        )

    def _sign_age_ms(self, upstream: ListedUpstream, now_ms: float) -> float | None:
        sign_at_ms = self.health.last_answer_at_ms(upstream.incarnation)
        return now_ms - sign_at_ms if math.isfinite(sign_at_ms) else None

    def _stream_cost(
        self, upstream: ListedUpstream, peers: PeerLoads, now_ms: float
    ) -> float:
        load = self._whole_load(upstream.upstream_id, peers)
        options = self.options
        slowness = self.health.slowness(upstream.incarnation, now_ms)
        return (
            slowness * options.prompt_ms
            + load.n_prompts * options.prompt_ms
            + load.n_streams * options.stream_ms
            + load.n_copies * options.copy_ms
            + self._far(upstream, options.far_stream_ms)
            + self._failures(upstream, now_ms)
        )

    def _copy_cost(
        self, upstream: ListedUpstream, peers: PeerLoads, now_ms: float
    ) -> float:
        load = self._whole_load(upstream.upstream_id, peers)
        # Each takes about as much of the memory as any other.
        n_kept = load.n_prompts + load.n_streams + load.n_copies
        return n_kept * self.options.stream_ms + self._failures(upstream, now_ms)

    def _call_cost(self, upstream: ListedUpstream, now_ms: float) -> float:
        load = self.load(upstream.upstream_id)
        return (
            load.n_calls * self.options.call_ms
            + self._far(upstream, self.options.far_call_ms)
            + self._failures(upstream, now_ms)
        )

    def _peer_loads(self, now_ms: float) -> PeerLoads:
        """Sum up by upstream what peers said a short time ago."""
        loads: defaultdict[str, Load] = defaultdict(Load)
        oldest_ms: float | None = None
        for item in self._peer_work.values():
            age_ms = now_ms - item.at_ms
            if age_ms >= self.options.peer_load_life_ms:
                continue
            oldest_ms = max(age_ms, oldest_ms or 0.0)
            for upstream_id, number in item.work.prompts.items():
                loads[upstream_id].n_prompts += number
            for upstream_id, number in item.work.streams.items():
                loads[upstream_id].n_streams += number
            for upstream_id, number in item.work.copies.items():
                loads[upstream_id].n_copies += number
        return PeerLoads(loads, oldest_ms)

    def _whole_load(self, upstream_id: str, peers: PeerLoads) -> Load:
        """Add the peers' work to the own."""
        own, others = self.load(upstream_id), peers.by_upstream.get(upstream_id)
        if others is None:
            return own
        return Load(
            own.n_prompts + others.n_prompts,
            own.n_streams + others.n_streams,
            own.n_copies + others.n_copies,
        )

    def _far(self, upstream: ListedUpstream, cost_ms: float) -> float:
        return 0.0 if upstream.availability_zone == self.own_zone else cost_ms

    def _failures(self, upstream: ListedUpstream, now_ms: float) -> float:
        score = self.health.failure_score(upstream.incarnation, now_ms)
        cost_ms = score * self.options.failure_ms
        zone = (upstream.service, upstream.availability_zone)
        if self.health.is_zone_suspect(zone, upstream.incarnation, now_ms):
            cost_ms += self.options.suspect_zone_ms
        return cost_ms
