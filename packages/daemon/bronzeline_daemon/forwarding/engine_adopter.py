"""Identify restarted engines while the store is unavailable."""

from __future__ import annotations

from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.forwarding import (
    AdoptionGuard,
    EngineClient,
    ForwardingView,
    ListedUpstream,
    RouterEntry,
    UpstreamAdopted,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["EngineAdopter"]


class EngineAdopter:
    """Add restarted engines to the view before the store lists them; notify peers."""

    def __init__(
        self,
        view: ForwardingView,
        engines: EngineClient,
        peers: ForwardingPeers,
        clock: Clock,
    ) -> None:
        self._view = view
        self._engines = engines
        self._peers = peers
        self._clock = clock
        self._guard = AdoptionGuard()
        self._tasks = BackgroundTasks()
        peers.listen(UpstreamAdopted, self._on_peer_adopted)

    def on_replaced(self, upstream_id: str) -> None:
        """Identify the process that now answers at an upstream's address."""
        upstream = self._view.upstreams.get(upstream_id)
        now_ms = self._clock.now_ms()
        proof_age_ms = self._view.lease.age_ms(now_ms)
        table = self._view.table
        if upstream is None or table is None:
            return
        if not self._guard.should_identify(upstream, table, proof_age_ms, now_ms):
            return
        service = table.service(upstream.service)
        assert service is not None
        self._tasks.start(self._identify(upstream, service.health_path))

    async def _identify(self, former: ListedUpstream, health_path: str) -> None:
        try:
            identity = await self._engines.identify(former, health_path)
        except UpstreamError as error:
            log_event(
                "upstream_not_identified",
                former_id=former.upstream_id,
                error=str(error),
            )
            return
        entry = self._guard.replacement_entry(former, identity)
        if entry is not None:
            self._peers.report_adopted(entry)
            self._adopt(entry, "own")

    def _on_peer_adopted(self, message: UpstreamAdopted, peer: RouterEntry) -> None:
        """Add an engine that a peer identified, if the store is unavailable."""
        proof_age_ms = self._view.lease.age_ms(self._clock.now_ms())
        if self._guard.is_store_unreachable(proof_age_ms):
            self._adopt(message.entry, "peer")

    def _adopt(self, entry: ListedUpstream, source: str) -> None:
        if self._view.adopt(entry, self._clock.now_ms()):
            log_event(
                "upstream_adopted",
                upstream_id=entry.upstream_id,
                address=f"{entry.host}:{entry.port}",
                source=source,
            )
