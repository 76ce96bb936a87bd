"""Exchange with peers where the streams began that callers may take up."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_kernel.forwarding import (
    OriginAsked,
    OriginUnknown,
    RouterEntry,
    ServiceVersions,
    StreamOrigin,
    StreamOrigins,
)
from bronzeline_kernel.forwarding.stream_binding import MAX_LIST_AGE_MS
from bronzeline_kernel.protocols import Clock

__all__ = ["OriginExchange"]

# Peers in other regions answer within 40 ms unless they have failed.
FIND_TIMEOUT_S = 0.08


@dataclass
class Lookup:
    """Count the peers that must still answer."""

    n_pending: int
    is_done: asyncio.Event = field(default_factory=asyncio.Event)


class OriginExchange:
    """Record streams' origins at peers, and ask them."""

    def __init__(
        self,
        peers: ForwardingPeers,
        origins: StreamOrigins,
        versions: ServiceVersions,
        list_age_ms: Callable[[float], float],
        clock: Clock,
    ) -> None:
        self._peers = peers
        self._origins = origins
        self._versions = versions
        self._list_age_ms = list_age_ms
        self._clock = clock
        self._lookups: dict[str, Lookup] = {}
        peers.listen(StreamOrigin, self._on_origin)
        peers.listen(OriginAsked, self._on_asked)
        peers.listen(OriginUnknown, self._on_unknown)

    def share(self, origin: StreamOrigin) -> None:
        """Send an origin to the peers that callers' next requests will ask."""
        for peer in self._peers.peer_list.origin_holders(origin.request_hash):
            self._peers.send_to(origin, peer)

    async def find(self, request_id: str, request_hash: str) -> None:
        """Ask peers; wait until one knows or most have answered, 80 ms at most.

        Some of them may have been lost together with the router that asked before.
        """
        holders = self._peers.peer_list.origin_holders(request_hash)
        if not holders or request_hash in self._lookups:
            return
        lookup = self._lookups[request_hash] = Lookup(len(holders) // 2 + 1)
        for peer in holders:
            self._peers.send_to(OriginAsked(request_id, request_hash), peer)
        try:
            async with asyncio.timeout(FIND_TIMEOUT_S):
                await lookup.is_done.wait()
        except TimeoutError:
            # Some holders may have failed; what the others know is recorded.
            pass
        finally:
            del self._lookups[request_hash]

    def _on_asked(self, asked: OriginAsked, peer: RouterEntry) -> None:
        now_ms = self._clock.now_ms()
        origin = self._origins.find(asked.request_id, asked.request_hash, now_ms)
        if origin is not None:
            self._peers.send_to(origin, peer)
            return
        knows_all = self._versions.is_complete and self._is_fresh(now_ms)
        versions = self._versions.records(now_ms) if knows_all else None
        self._peers.send_to(OriginUnknown(asked.request_hash, versions), peer)

    def _is_fresh(self, now_ms: float) -> bool:
        return self._list_age_ms(now_ms) < MAX_LIST_AGE_MS

    def _on_origin(self, origin: StreamOrigin, peer: RouterEntry) -> None:
        self._origins.put(origin, self._clock.now_ms())
        lookup = self._lookups.get(origin.request_hash)
        if lookup is not None:
            lookup.is_done.set()

    def _on_unknown(self, unknown: OriginUnknown, peer: RouterEntry) -> None:
        now_ms = self._clock.now_ms()
        if unknown.versions is not None and not self._versions.is_complete:
            # This router has started while the store is away.
            self._versions.learn(unknown.versions, now_ms)
        if unknown.versions is not None:
            self._origins.report(unknown.request_hash, unknown.versions, now_ms)
        lookup = self._lookups.get(unknown.request_hash)
        if lookup is None:
            return
        lookup.n_pending -= 1
        if lookup.n_pending <= 0:
            lookup.is_done.set()
