"""Inject faults into real processes with signals and check the guarantees."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from itertools import pairwise
from random import Random

import click
import msgspec

from bronzeline_standins.bench.child_process import ChildProcess
from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.order_caller import OrderCall, OrderCaller
from bronzeline_standins.bench.process_fleet import ProcessFleet
from bronzeline_standins.bench.reconnecting_caller import (
    GenerationCall,
    ReconnectingCaller,
)
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.topology import TOPOLOGIES, Topology, workspace_key

__all__ = ["run"]

N_ROUTERS = 5
N_ENGINES = 6
N_PLAIN = 3
PAUSE_S = 2.0
RESTART_AFTER_S = 1.0
STOP_TIMEOUT_S = 25.0


@dataclass
class Calls:
    """Hold every generation and order that the callers requested."""

    generations: list[GenerationCall] = field(default_factory=list)
    orders: list[OrderCall] = field(default_factory=list)
    n_planned_cuts: int = 0


class ProcessFaultInjector:
    """Pause, stop, kill and restart processes of a fleet in random order."""

    def __init__(self, fleet: ProcessFleet, calls: Calls, random: Random) -> None:
        self._fleet = fleet
        self._calls = calls
        self._random = random

    def faults(self) -> list[Callable[[], Awaitable[None]]]:
        """Return every fault once, in random order."""
        faults: list[Callable[[], Awaitable[None]]] = [
            self.kill_engine,
            self.kill_router,
            self.kill_engine_and_router,
            self.stop_engine,
            self.stop_router,
            self.stop_platform,
            self.stop_plain,
            self.end_router_gracefully,
        ]
        self._random.shuffle(faults)
        return faults

    async def kill_engine(self) -> None:
        """Kill an engine; it restarts without its streams."""
        number = self._random.randrange(N_ENGINES)
        await self._fleet.engines[number].kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await self._fleet.start_engine(number)

    async def kill_router(self) -> None:
        """Kill a router; it restarts without any state."""
        number = self._random.randrange(N_ROUTERS)
        await self._fleet.routers[number].kill()
        await asyncio.sleep(RESTART_AFTER_S)
        await self._fleet.start_router(number)

    async def kill_engine_and_router(self) -> None:
        """Kill an engine and a router at the same time."""
        await asyncio.gather(self.kill_engine(), self.kill_router())

    async def stop_engine(self) -> None:
        """Pause an engine for 2 s with SIGSTOP; it continues with its streams."""
        await _pause(self._random.choice(self._fleet.engines))

    async def stop_router(self) -> None:
        """Pause a router for 2 s; others may have taken over its generations."""
        await _pause(self._random.choice(self._fleet.routers))

    async def stop_platform(self) -> None:
        """Pause the platform for 2 s."""
        await _pause(self._fleet.platform)

    async def stop_plain(self) -> None:
        """Pause the process of the plain services for 2 s."""
        await _pause(self._fleet.plain_servers[0])

    async def end_router_gracefully(self) -> None:
        """Stop a router with SIGTERM and count cut requests; none may be cut."""
        number = self._random.randrange(N_ROUTERS)
        port = self._fleet.caller_ports[number]
        running = [
            (call, call.n_connections)
            for call in self._calls.generations
            if call.port == port and not call.is_over
        ]
        await self._fleet.routers[number].stop(STOP_TIMEOUT_S)
        self._calls.n_planned_cuts += sum(
            call.n_connections != n_connections for call, n_connections in running
        )
        await self._fleet.start_router(number)


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Send a load while faults are injected, then check every response."""
    options = scenario.options
    topology = TOPOLOGIES[scenario.topology]
    random = Random(f"{seed}/processes")
    fleet = ProcessFleet(
        topology,
        n_routers=N_ROUTERS,
        n_engines=N_ENGINES,
        n_plain=N_PLAIN,
        inter_token_ms=options["inter_token_ms"],
    )
    calls = Calls()
    async with fleet:
        # The routers must be connected to each other before the first fault.
        await asyncio.sleep(options["settle_s"])
        load = asyncio.ensure_future(
            _send_load(fleet, topology, calls, random, options)
        )
        await _inject_faults(
            ProcessFaultInjector(fleet, calls, random), options["between_faults_s"]
        )
        await load
        n_runs = msgspec.json.decode(await fleet.control(fleet.plain_ports[0], "runs"))
    return _measurements(topology, calls, n_runs)


async def _pause(process: ChildProcess) -> None:
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(PAUSE_S)
    process.send_signal(signal.SIGCONT)


async def _inject_faults(injector: ProcessFaultInjector, between_s: float) -> None:
    for fault in injector.faults():
        await asyncio.sleep(between_s)
        name = getattr(fault, "__name__", "fault")
        click.echo(f"processes: {name}", err=True)
        await fault()


async def _send_load(
    fleet: ProcessFleet,
    topology: Topology,
    calls: Calls,
    random: Random,
    options: dict[str, float],
) -> None:
    key = workspace_key(topology.workspaces()[0])
    generation_caller = ReconnectingCaller(
        topology.model, key, lambda: fleet.caller_ports, random
    )
    order_caller = OrderCaller(
        topology.plain_service, key, lambda: fleet.caller_ports, random
    )
    tasks: list[asyncio.Task[None]] = []
    end_s = asyncio.get_running_loop().time() + options["load_s"]
    while asyncio.get_running_loop().time() < end_s:
        await asyncio.sleep(random.expovariate(options["calls_per_s"]))
        if random.random() < options["order_share"]:
            order = OrderCall(
                f"order-{len(calls.orders)}", random.randbytes(8).hex().encode()
            )
            calls.orders.append(order)
            tasks.append(asyncio.create_task(order_caller.run(order)))
        else:
            call = _draw_generation(len(calls.generations), random, options)
            calls.generations.append(call)
            tasks.append(asyncio.create_task(generation_caller.run(call)))
    _, pending = await asyncio.wait(tasks, timeout=options["drain_s"])
    for task in pending:
        task.cancel()


def _draw_generation(
    number: int, random: Random, options: dict[str, float]
) -> GenerationCall:
    n_tokens = max(4, round(random.expovariate(1.0 / options["mean_tokens"])))
    is_straggler = random.random() < options["straggler_share"]
    if is_straggler:
        n_tokens = round(options["straggler_tokens"])
    return GenerationCall(f"generation-{number}", f"draft {number}", n_tokens)


def _measurements(
    topology: Topology, calls: Calls, n_runs: dict[str, int]
) -> Measurements:
    generations = calls.generations
    n_wrong = sum(call.n_wrong_tokens(topology.model) > 0 for call in generations)
    n_whole = sum(call.answer.is_done and not call.answer.error for call in generations)
    refused = [
        call
        for call in generations
        if not call.answer.tokens and not call.answer.is_done
    ]
    n_accepted = len(generations) - len(refused)
    gaps_ms = [
        later - earlier
        for call in generations
        for earlier, later in pairwise(call.token_times_ms)
    ]
    orders = calls.orders
    return [
        Measurement("generations", "requests", len(generations)),
        Measurement("generations_wrong", "requests", n_wrong),
        Measurement("accepted_whole_share", "ratio", n_whole / max(1, n_accepted)),
        Measurement(
            "connections_lost",
            "connections",
            sum(call.n_connections - 1 for call in generations),
        ),
        Measurement("generations_refused", "requests", len(refused)),
        Measurement("longest_gap", "ms", max(gaps_ms, default=0.0)),
        Measurement("cut_by_planned_stop", "requests", calls.n_planned_cuts),
        Measurement("orders", "requests", len(orders)),
        Measurement(
            "orders_run_twice", "requests", sum(n > 1 for n in n_runs.values())
        ),
        Measurement(
            "orders_told_untruly",
            "requests",
            sum(order.was_misinformed(n_runs.get(order.key, 0)) for order in orders),
        ),
        Measurement(
            "orders_answered_share",
            "ratio",
            sum(order.answer is not None for order in orders) / max(1, len(orders)),
        ),
    ]
