"""Choose which streams move off a leaving upstream, when, and where to.

Addresses releases and scale-ins that end many long streams within two seconds: the
links carry only a few copies at a time, so those with the most to lose go first.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.config import EngineInfo
from bronzeline_kernel.forwarding.peer_reports import PeerLoads
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.stream_move import MoveOptions, MoveReport
from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = ["MoveNeed", "MovePlan"]

# Some upstreams leave this long after their notice.
SHORTEST_NOTICE_MS = 2_000.0
# Streams are checked every 50 ms; after this time all of an upstream's are known.
GATHER_MS = 60.0
OFFER_TTL_MS = 200.0
# How long the notice of an upstream without such streams is remembered.
FORGET_MS = 60_000.0
# A stream that ends sooner than a move usually takes is not moved.
MIN_REST_MS = 300.0
# Copies at once on one link: as many as it carries in this time, and at least one.
LINK_QUEUE_MS = 400.0
MAX_AT_ONCE = 4
# At once where the configuration gives no size or bandwidth.
DEFAULT_AT_ONCE = 2
BITS_PER_BYTE = 8.0
BITS_PER_MS = 1_000.0
OTHER_ZONE_RATIO = 2.0
# After a search without result the next one waits for this time, as each compares all
# upstreams and streams are checked every 50 ms.
SEARCH_PAUSE_MS = 200.0


@dataclass(frozen=True)
class MoveNeed:
    """Describe a stream at a leaving upstream.

    `rest_ms` is the time that the rest of the stream probably takes.
    """

    key: int
    source: ListedUpstream
    n_tokens: int
    rest_ms: float
    may_run: Callable[[ListedUpstream], bool]
    # Destinations that had no room for the stream.
    excluded: Collection[Incarnation] = ()


@dataclass(frozen=True)
class _Transfer:
    source: Incarnation
    destination: ListedUpstream
    duration_ms: float


@dataclass(frozen=True)
class _NoRoom:
    """Hold how many tokens a stream may have to fit, until the next search."""

    max_tokens: float
    until_ms: float


@dataclass
class MovePlan:
    """Admit moves by what the streams lose, and by what links and engines can carry."""

    placement: Placement
    find_engine: Callable[[str], EngineInfo | None]
    # Maps zones to regions. A zone that it lacks is not known to be in the region of
    # any zone that it has.
    regions: Mapping[str, str] = field(default_factory=dict)
    may_begin: Callable[[], bool] = lambda: True
    on_end: Callable[[MoveReport], None] = lambda report: None
    options: MoveOptions = field(default_factory=MoveOptions)
    _offers: dict[Incarnation, dict[int, tuple[MoveNeed, float]]] = field(
        default_factory=dict
    )
    _seen_at_ms: dict[Incarnation, float] = field(default_factory=dict)
    _transfers: dict[int, _Transfer] = field(default_factory=dict)
    _no_room: dict[Incarnation, _NoRoom] = field(default_factory=dict)
    # Streams that fit nowhere for reasons of their own, until the next search.
    _paused: dict[int, float] = field(default_factory=dict)
    _n_keys: int = 0

    def new_key(self) -> int:
        """Return a key for one stream."""
        self._n_keys += 1
        return self._n_keys

    def is_leaving(self, source: ListedUpstream) -> bool:
        """Return whether an upstream leaves whose service allows moves.

        One that has started anew doesn't run the stream any more.
        """
        upstreams = self.placement.upstreams
        if upstreams.is_staying(source):
            self._seen_at_ms.pop(source.incarnation, None)
            return False
        engine = self.find_engine(source.service)
        if engine is None or not engine.has_moves or not source.version:
            return False
        listed = upstreams.get(source.upstream_id)
        is_other = listed is not None and listed.incarnation != source.incarnation
        return not is_other and not upstreams.is_superseded(source)

    def find_destination(self, need: MoveNeed, now_ms: float) -> ListedUpstream | None:
        """Return where to move a stream now, None if it is not its turn."""
        source = need.source.incarnation
        self._prune(now_ms)
        seen_at_ms = self._seen_at_ms.setdefault(source, now_ms)
        left_ms = max(MIN_REST_MS, seen_at_ms + SHORTEST_NOTICE_MS - now_ms)
        offers = self._offers.setdefault(source, {})
        offers.pop(need.key, None)
        if not self.may_begin() or need.rest_ms <= left_ms:
            return None
        if self._is_paused(need):
            return None
        offers[need.key] = need, now_ms
        if now_ms - seen_at_ms < GATHER_MS:
            return None
        n_free = self._n_free_transfers(need)
        if self._rank(need, offers) >= n_free:
            return None
        destination = self._choose(need, now_ms)
        if destination is None:
            # A stream that fits nowhere doesn't hold up others.
            del offers[need.key]
        return destination

    def may_receive(self, destination: ListedUpstream, now_ms: float) -> bool:
        """Return whether a run may go on at a destination, as far as is known."""
        may_send = self.placement.permission.may_send_ahead(destination, now_ms)
        return may_send and self.placement.is_holder_available(destination, now_ms)

    def may_hold_stopped_run(self, source: ListedUpstream, now_ms: float) -> bool:
        """Return whether a run may go on at the leaving source that stopped it."""
        is_avoided = self.placement.health.is_avoided(source.incarnation, now_ms)
        return not is_avoided and not self.placement.upstreams.is_superseded(source)

    def reserve(self, need: MoveNeed, destination: ListedUpstream) -> None:
        """Count a move against its destination, and its copy against the links."""
        self._offers.get(need.source.incarnation, {}).pop(need.key, None)
        self._transfers[need.key] = _Transfer(
            need.source.incarnation, destination, self._transfer_ms(need, destination)
        )
        self.placement.load(destination.upstream_id).n_streams += 1

    def release(self, key: int) -> None:
        """Release what a move has reserved."""
        transfer = self._transfers.pop(key, None)
        if transfer is not None:
            self.placement.load(transfer.destination.upstream_id).n_streams -= 1

    def _rank(
        self, need: MoveNeed, offers: Mapping[int, tuple[MoveNeed, float]]
    ) -> int:
        """Return how many streams have more to lose."""
        own = need.n_tokens, -need.key
        others = (item for item, _ in offers.values())
        return sum((item.n_tokens, -item.key) > own for item in others)

    def _n_free_transfers(self, need: MoveNeed) -> int:
        n_running = sum(
            item.source == need.source.incarnation for item in self._transfers.values()
        )
        one_ms = self._transfer_ms(need, None)
        if not one_ms:
            return DEFAULT_AT_ONCE - n_running
        return max(1, min(MAX_AT_ONCE, int(LINK_QUEUE_MS / one_ms))) - n_running

    def _choose(self, need: MoveNeed, now_ms: float) -> ListedUpstream | None:
        source, placement = need.source, self.placement
        peers = placement.peer_loads(now_ms)
        rooms = [
            (item, self._max_tokens(item, peers, now_ms))
            for item in placement.upstreams.usable(source.service, now_ms)
            if item.version == source.version
            and item.address != source.address
            and self._region(item) == self._region(source)
            and self.may_receive(item, now_ms)
        ]
        found = [
            item
            for item, max_tokens in rooms
            if need.n_tokens <= max_tokens
            and item.incarnation not in need.excluded
            and need.may_run(item)
        ]
        same_zone = [
            x for x in found if x.availability_zone == source.availability_zone
        ]
        found = same_zone or found
        if not found:
            max_tokens = max((room for _, room in rooms), default=-1.0)
            self._pause(need, max_tokens, now_ms + SEARCH_PAUSE_MS)
            return None
        costs = [self._cost(item, peers, now_ms) for item in found]
        least = min(costs)
        # Routers that know the same would all choose the first one.
        return placement.random.choice(
            [item for item, cost in zip(found, costs, strict=True) if cost <= least]
        )

    def _is_paused(self, need: MoveNeed) -> bool:
        """Return whether a recent search showed that a stream fits nowhere."""
        no_room = self._no_room.get(need.source.incarnation)
        if no_room is not None and need.n_tokens > no_room.max_tokens:
            return True
        return need.key in self._paused

    def _pause(self, need: MoveNeed, max_tokens: float, until_ms: float) -> None:
        """Search no more for a while for the streams that fit nowhere either."""
        if need.n_tokens > max_tokens:
            no_room = _NoRoom(max_tokens, until_ms)
            self._no_room[need.source.incarnation] = no_room
        else:
            self._paused[need.key] = until_ms

    def _cost(self, item: ListedUpstream, peers: PeerLoads, now_ms: float) -> float:
        load = self.placement.total_load(item.upstream_id, now_ms, peers)
        n_incoming = sum(
            x.destination.incarnation == item.incarnation
            for x in self._transfers.values()
        )
        copy_weight = self.placement.options.copy_share / (
            self.placement.options.stream_share
        )
        return (
            load.n_streams + load.n_prompts + n_incoming + copy_weight * load.n_copies
        )

    def _max_tokens(
        self, item: ListedUpstream, peers: PeerLoads, now_ms: float
    ) -> float:
        """Return how many tokens one more stream may have if all have this size.

        Engines evict backups first, so only streams count. Without a free slot the
        result is negative.
        """
        engine = self.find_engine(item.service)
        load = self.placement.total_load(item.upstream_id, now_ms, peers)
        n_streams = load.n_streams + 1
        if n_streams > (item.n_slots or (engine.n_slots if engine else 0)):
            return -1.0
        memory_tokens = engine.memory_tokens if engine else 0
        return memory_tokens // n_streams if memory_tokens else math.inf

    def _transfer_ms(self, need: MoveNeed, to: ListedUpstream | None) -> float:
        """Return how long the links need for a copy, 0 if that is not known."""
        engine = self.find_engine(need.source.service)
        if engine is None or not engine.link_mbps or not engine.bytes_per_token:
            return 0.0
        n_bits = need.n_tokens * engine.bytes_per_token * BITS_PER_BYTE
        zone = need.source.availability_zone
        is_other_zone = to is not None and to.availability_zone != zone
        ratio = OTHER_ZONE_RATIO if is_other_zone else 1.0
        return ratio * n_bits / (engine.link_mbps * BITS_PER_MS)

    def _region(self, upstream: ListedUpstream) -> str:
        return self.regions.get(upstream.availability_zone, "")

    def _prune(self, now_ms: float) -> None:
        """Forget streams that are offered no longer, and their upstreams."""
        self._no_room = {
            key: item for key, item in self._no_room.items() if now_ms < item.until_ms
        }
        self._paused = {
            key: until_ms for key, until_ms in self._paused.items() if now_ms < until_ms
        }
        for source, offers in list(self._offers.items()):
            for key, (_, at_ms) in list(offers.items()):
                if now_ms - at_ms >= OFFER_TTL_MS:
                    del offers[key]
            if not offers and now_ms - self._seen_at_ms.get(source, now_ms) > FORGET_MS:
                del self._offers[source]
                self._seen_at_ms.pop(source, None)
