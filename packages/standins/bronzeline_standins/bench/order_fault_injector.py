"""Inject faults into routers, the object API and plain services under order load."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Awaitable, Callable
from random import Random

from bronzeline_standins.embedded import EmbeddedFleet

__all__ = ["OrderFaultInjector"]

MIN_FAULT_S = 0.2
MAX_FAULT_S = 3.0


class OrderFaultInjector:
    """Start faults of random kinds and durations, several of them at once."""

    def __init__(self, fleet: EmbeddedFleet, seed: int) -> None:
        self.n_faults: Counter[str] = Counter()
        self._fleet = fleet
        self._random = Random(f"order-faults/{seed}")
        self._faulty_routers: set[int] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self, duration_s: float, interval_s: float) -> None:
        """Start one fault in each interval, then wait until all have ended."""
        kinds: list[Callable[[float], Awaitable[None]]] = [
            self._kill_router,
            self._pause_router,
            self._stop_store,
            self._slow_store,
            self._lose_store_answers,
            self._kill_plain,
            self._lose_plain_answers,
            self._pause_plain,
        ]
        for _ in range(int(duration_s / interval_s)):
            fault = self._random.choice(kinds)
            fault_s = self._random.uniform(MIN_FAULT_S, MAX_FAULT_S)
            self._start_fault(fault, fault_s)
            await asyncio.sleep(interval_s)
        if self._tasks:
            await asyncio.wait(self._tasks)

    def _start_fault(
        self, fault: Callable[[float], Awaitable[None]], fault_s: float
    ) -> None:
        self.n_faults[fault.__name__.strip("_")] += 1
        task = asyncio.ensure_future(fault(fault_s))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _pick_router(self) -> int | None:
        free = [
            n for n in range(self._fleet.n_routers) if n not in self._faulty_routers
        ]
        # At least half of the routers (rounded down) stay up, so that a balancer
        # finds some.
        if len(free) <= self._fleet.n_routers // 2:
            return None
        return self._random.choice(free)

    async def _kill_router(self, fault_s: float) -> None:
        number = self._pick_router()
        if number is None:
            return
        self._faulty_routers.add(number)
        self._fleet.kill_router(number)
        await asyncio.sleep(fault_s)
        await self._fleet.start_router(number)
        self._faulty_routers.discard(number)

    async def _pause_router(self, fault_s: float) -> None:
        number = self._pick_router()
        if number is None:
            return
        self._faulty_routers.add(number)
        self._fleet.pause_router(number)
        await asyncio.sleep(2 * fault_s)
        self._fleet.resume_router(number)
        self._faulty_routers.discard(number)

    async def _stop_store(self, fault_s: float) -> None:
        self._fleet.platform.set_faults(is_unavailable=True)
        await asyncio.sleep(fault_s)
        self._fleet.platform.set_faults(is_unavailable=False)

    async def _slow_store(self, fault_s: float) -> None:
        self._fleet.platform.set_faults(latency_ms=self._random.choice((300, 2_500)))
        await asyncio.sleep(fault_s)
        self._fleet.platform.set_faults(latency_ms=0.0)

    async def _lose_store_answers(self, fault_s: float) -> None:
        n_lost = self._random.randrange(1, 30)
        self._fleet.platform.set_faults(n_answers_to_lose=n_lost)
        await asyncio.sleep(fault_s)

    async def _kill_plain(self, fault_s: float) -> None:
        server = self._random.choice(self._fleet.plain_servers)
        if not server.is_alive:
            return
        server.die()
        await asyncio.sleep(fault_s)
        server.start()

    async def _lose_plain_answers(self, fault_s: float) -> None:
        server = self._random.choice(self._fleet.plain_servers)
        server.set_faults(n_answers_to_lose=self._random.randrange(1, 8))
        await asyncio.sleep(fault_s)

    async def _pause_plain(self, fault_s: float) -> None:
        server = self._random.choice(self._fleet.plain_servers)
        server.set_faults(is_paused=True)
        await asyncio.sleep(fault_s)
        server.set_faults(is_paused=False)
