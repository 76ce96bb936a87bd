"""Inject the faults that a resumable generation must survive."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from bronzeline_daemon.daemon import Daemon
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine import EngineServer

__all__ = ["FAULTS", "FaultInjector", "InjectedFault"]

FAULTS = (
    "engine_death",
    "engine_pause",
    "engine_stall",
    "silent_connection",
    "region_cut",
    "caller_silent",
    "router_death",
    "router_pause",
    "engine_and_router_death",
)
RECOVERY_DELAY_S = 2.0
ROUTER_PAUSE_S = 4.0
N_SILENT_CALLERS = 6


@dataclass(frozen=True)
class InjectedFault:
    """Hold an injected fault and the generations that it affected."""

    fault: str
    generation_ids: frozenset[str]


class FaultInjector:
    """Inject faults into engines, connections and routers, and repair them later."""

    def __init__(self, fleet: EmbeddedFleet, random: Random) -> None:
        self._fleet = fleet
        self._random = random
        self._broken_engines: set[EngineServer] = set()
        self._broken_routers: set[int] = set()
        self._router_starts: list[asyncio.Task[Daemon]] = []
        self._injectors: dict[str, Callable[[EngineServer, int], frozenset[str]]] = {
            "engine_death": self._kill_engine,
            "engine_pause": self._pause_engine,
            "engine_stall": self._stall_engine,
            "silent_connection": self._silence_engine,
            "region_cut": self._cut_regions,
            "caller_silent": self._choose_callers,
            "router_death": self._kill_router,
            "router_pause": self._pause_router,
            "engine_and_router_death": self._kill_engine_and_router,
        }

    def ports(self) -> list[int]:
        """Return the caller ports of the routers that have no fault."""
        routers = self._routers()
        return [routers[number].caller_port for number in sorted(routers)]

    def inject(self, fault: str) -> InjectedFault | None:
        """Inject a fault; return None if too few engines or routers are healthy."""
        engines = [
            engine
            for engine in self._fleet.engines
            if engine not in self._broken_engines and engine.model.running
        ]
        routers = self._routers()
        if not engines or len(routers) <= 2:
            return None
        engine = self._random.choice(engines)
        number = self._random.choice(sorted(routers))
        return InjectedFault(fault, self._injectors[fault](engine, number))

    def _routers(self) -> dict[int, Daemon]:
        return {
            number: router
            for number, router in enumerate(self._fleet.routers)
            if number not in self._broken_routers
        }

    def _kill_engine(self, engine: EngineServer, number: int) -> frozenset[str]:
        affected = frozenset(engine.model.running)
        engine.die()
        self._repair_engine_later(engine, engine.start)
        return affected

    def _pause_engine(self, engine: EngineServer, number: int) -> frozenset[str]:
        return self._set_fault(engine, "is_paused")

    def _stall_engine(self, engine: EngineServer, number: int) -> frozenset[str]:
        return self._set_fault(engine, "is_stalled")

    def _set_fault(self, engine: EngineServer, name: str) -> frozenset[str]:
        engine.set_faults(**{name: True})
        self._repair_engine_later(engine, lambda: engine.set_faults(**{name: False}))
        return frozenset(engine.model.running)

    def _silence_engine(self, engine: EngineServer, number: int) -> frozenset[str]:
        engine.go_silent()
        return frozenset(engine.model.running)

    def _cut_regions(self, engine: EngineServer, number: int) -> frozenset[str]:
        topology = self._fleet.topology
        region_a, region_b = self._random.sample(topology.regions, 2)
        affected: set[str] = set()
        for router in self._routers().values():
            own = router.settings.router.region
            if own in (region_a, region_b):
                other = region_b if own == region_a else region_a
                affected.update(router.generations.ids_in_region(other))
        self._fleet.cut(region_a, region_b)
        asyncio.get_running_loop().call_later(RECOVERY_DELAY_S, self._fleet.heal)
        return frozenset(affected)

    def _choose_callers(self, engine: EngineServer, number: int) -> frozenset[str]:
        router = self._fleet.routers[number]
        return frozenset(router.generations.running_ids()[:N_SILENT_CALLERS])

    def _kill_router(self, engine: EngineServer, number: int) -> frozenset[str]:
        affected = frozenset(self._fleet.routers[number].generations.running_ids())
        self._fleet.kill_router(number)
        self._broken_routers.add(number)
        loop = asyncio.get_running_loop()
        loop.call_later(RECOVERY_DELAY_S, self._restart_router, number)
        return affected

    def _pause_router(self, engine: EngineServer, number: int) -> frozenset[str]:
        affected = frozenset(self._fleet.routers[number].generations.running_ids())
        self._fleet.pause_router(number)
        self._broken_routers.add(number)
        loop = asyncio.get_running_loop()
        loop.call_later(ROUTER_PAUSE_S, self._resume_router, number)
        return affected

    def _kill_engine_and_router(
        self, engine: EngineServer, number: int
    ) -> frozenset[str]:
        return self._kill_router(engine, number) | self._kill_engine(engine, number)

    def _repair_engine_later(
        self, engine: EngineServer, repair: Callable[[], object]
    ) -> None:
        self._broken_engines.add(engine)

        def run() -> None:
            repair()
            self._broken_engines.discard(engine)

        asyncio.get_running_loop().call_later(RECOVERY_DELAY_S, run)

    def _resume_router(self, number: int) -> None:
        self._fleet.resume_router(number)
        self._broken_routers.discard(number)

    def _restart_router(self, number: int) -> None:
        task = asyncio.ensure_future(self._fleet.start_router(number))
        self._router_starts.append(task)
        task.add_done_callback(lambda _: self._broken_routers.discard(number))
