"""Poll the platform's list of VMs."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random

from bronzeline_daemon.logs import log_event
from bronzeline_kernel.exceptions import StoreError
from bronzeline_kernel.protocols import VmList, VmListing

__all__ = ["FleetService"]

MIN_POLL_INTERVAL_S = 0.5
FLEET_READS_PER_S = 20.0
JITTER = 0.2

Listener = Callable[[VmListing], None]


class FleetService:
    """Poll the list of VMs and publish each listing."""

    def __init__(self, vm_list: VmList, random: Random) -> None:
        self.listing = VmListing((), ())
        self._vm_list = vm_list
        self._random = random
        self._listeners: list[Listener] = []

    def subscribe(self, listener: Listener) -> None:
        """Register a listener that is called with each listing."""
        self._listeners.append(listener)

    def poll_interval_s(self) -> float:
        """Return the pause that bounds the read rate of the whole fleet.

        Routers read at different times and notify each other of leaving VMs, so
        a change is known everywhere soon after the first router reads it.
        """
        fleet_interval_s = len(self.listing.routers) / FLEET_READS_PER_S
        jitter = self._random.uniform(1.0 - JITTER, 1.0 + JITTER)
        return max(MIN_POLL_INTERVAL_S, fleet_interval_s * jitter)

    async def refresh(self) -> None:
        """Read the list once; keep the last listing if the read fails."""
        try:
            listing = await self._vm_list.read()
        except StoreError as error:
            log_event("vm_list_unavailable", error=error)
            return
        self.listing = listing
        for listener in self._listeners:
            listener(listing)

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            await asyncio.sleep(self.poll_interval_s())
            await self.refresh()
