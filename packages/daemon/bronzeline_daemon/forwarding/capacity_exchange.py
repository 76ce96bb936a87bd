"""Tell peers how long upstreams took, and learn it from them."""

from __future__ import annotations

import asyncio
from random import Random

from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.logs import log_exception
from bronzeline_kernel.forwarding import CapacityReport, Placement, RouterEntry
from bronzeline_kernel.protocols import Clock

__all__ = ["CapacityExchange"]

# Five reports per second at most; a router that is idle sends none.
REPORT_INTERVAL_S = 0.2
# Peers that get one report. Each upstream's times reach every router soon, as many
# routers use it.
MAX_PEERS = 16


class CapacityExchange:
    """Send the times seen since the last report to a sample of the peers."""

    def __init__(
        self,
        placement: Placement,
        peers: ForwardingPeers,
        clock: Clock,
        random: Random,
    ) -> None:
        self._placement = placement
        self._peers = peers
        self._clock = clock
        self._random = random
        self._task: asyncio.Task[None] | None = None
        peers.listen(CapacityReport, self._on_report)

    def start(self) -> None:
        """Start to send reports, if capacity is learned."""
        if self._placement.capacity.is_active:
            self._task = asyncio.create_task(self._run())

    def stop(self) -> None:
        """Stop sending reports."""
        if self._task is not None:
            self._task.cancel()

    def send_reports(self) -> None:
        """Report to peers what they have not been told yet."""
        self._placement.capacity.detect_changes(self._clock.now_ms())
        peers = self._placement.regions.peers_in_region(self._peers.peer_list.all)
        for report in self._placement.capacity.reports():
            for peer in self._random.sample(peers, min(len(peers), MAX_PEERS)):
                self._peers.send_to(report, peer)

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            try:
                self.send_reports()
            except Exception as error:
                # Reports go on: one that fails must not end all later ones.
                log_exception(
                    "capacity_report_failed", (type(error), error, error.__traceback__)
                )

    def _on_report(self, report: CapacityReport, peer: RouterEntry) -> None:
        now_ms = self._clock.now_ms()
        find = self._placement.upstreams.get
        self._placement.capacity.receive(report, find, now_ms)
