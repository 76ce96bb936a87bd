"""Change the configuration of a fleet under faults, and time each change."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace
from random import Random

import msgspec

from bronzeline_daemon.plugins.http_store import HttpStore
from bronzeline_kernel.config import ConfigClient, FleetConfig
from bronzeline_kernel.exceptions import BronzelineError
from bronzeline_standins.bench.config_size import measure_size
from bronzeline_standins.bench.config_watch import ConfigWatch
from bronzeline_standins.bench.experiment import Measurement, Outcome
from bronzeline_standins.bench.load import percentile
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.ports import HOST
from bronzeline_standins.rollout_simulation import RolloutSimulation
from bronzeline_standins.topology import TOPOLOGIES

__all__ = ["run"]

S_PER_MINUTE = 60.0
MS_PER_S = 1_000.0
RESTARTED = 4
STALE = 7


@dataclass(frozen=True)
class Options:
    """Hold the scenario's changes and faults."""

    n_changes: int
    change_interval_s: float
    idle_s: float
    outage_s: float
    outage_interval_s: float
    restart_interval_s: float
    stale_s: float
    settle_s: float
    loop_sizes: tuple[int, ...]
    n_loop_changes: int
    n_workspaces: int


async def run(scenario: Scenario, seed: int) -> Outcome:
    """Run and return the measurements."""
    options = msgspec.convert(scenario.options, Options)
    fleet = EmbeddedFleet(TOPOLOGIES[scenario.topology], seed=seed)
    await fleet.start()
    try:
        idle = await _measure_idle(fleet, options)
        changes = await _measure_changes(fleet, options, seed)
    finally:
        await fleet.stop()
    slope = _measure_slope(options, seed)
    return [*changes, *idle, *slope, *measure_size(options.n_workspaces)]


async def _measure_idle(fleet: EmbeddedFleet, options: Options) -> Outcome:
    before = _n_calls(fleet)
    await asyncio.sleep(options.idle_s)
    n_minutes = fleet.n_routers * options.idle_s / S_PER_MINUTE
    n_calls = (_n_calls(fleet) - before) / n_minutes
    return [Measurement("calls_per_idle_router_minute", "calls", n_calls)]


async def _measure_changes(
    fleet: EmbeddedFleet, options: Options, seed: int
) -> Outcome:
    watch = ConfigWatch(fleet)
    watching = asyncio.create_task(watch.run())
    faults = asyncio.create_task(_break(fleet, options, watch))
    n_refused = 0
    before = _n_calls(fleet)
    try:
        while len(watch.accepted) < options.n_changes:
            n_refused += not await _change(fleet, watch, seed)
            await asyncio.sleep(options.change_interval_s)
        n_calls = (_n_calls(fleet) - before) / len(watch.accepted)
        faults.cancel()
        fleet.platform.set_faults(is_unavailable=False)
        await watch.settle(options.settle_s)
    finally:
        faults.cancel()
        watching.cancel()
    lags_ms = watch.lags_ms()
    return [
        Measurement("changes", "count", float(len(lags_ms))),
        Measurement("changes_refused", "count", float(n_refused)),
        Measurement("changes_not_everywhere", "count", float(watch.n_unseen())),
        Measurement("in_force_p50", "ms", percentile(lags_ms, 50)),
        Measurement("in_force_p99", "ms", percentile(lags_ms, 99)),
        Measurement("in_force_p100", "ms", max(lags_ms, default=0.0)),
        Measurement("versions_going_back", "count", float(watch.n_backwards)),
        Measurement("calls_per_change", "calls", n_calls),
    ]


async def _change(fleet: EmbeddedFleet, watch: ConfigWatch, seed: int) -> bool:
    store = HttpStore(f"http://{HOST}:{fleet.platform.port}")
    number = len(watch.accepted)
    client = ConfigClient(store, Random(f"{seed}/{number}"), asyncio.sleep)

    def edit(config: FleetConfig) -> FleetConfig:
        value_ms = 4_000.0 + config.revision
        return replace(
            config, defaults=replace(config.defaults, plain_deadline_ms=value_ms)
        )

    try:
        result = await client.change(edit)
    except BronzelineError:
        return False
    watch.accept(result.version)
    return True


async def _break(fleet: EmbeddedFleet, options: Options, watch: ConfigWatch) -> None:
    await asyncio.gather(
        _fail_store(fleet, options),
        _restart(fleet, options, watch),
        _make_stale(fleet, options, watch),
    )


async def _fail_store(fleet: EmbeddedFleet, options: Options) -> None:
    while True:
        await asyncio.sleep(options.outage_interval_s)
        fleet.platform.set_faults(is_unavailable=True)
        await asyncio.sleep(options.outage_s)
        fleet.platform.set_faults(is_unavailable=False, n_answers_to_lose=2)


async def _restart(fleet: EmbeddedFleet, options: Options, watch: ConfigWatch) -> None:
    while True:
        await asyncio.sleep(options.restart_interval_s)
        watch.leave(RESTARTED)
        fleet.kill_router(RESTARTED)
        await fleet.start_router(RESTARTED)
        watch.come_back(RESTARTED)


async def _make_stale(
    fleet: EmbeddedFleet, options: Options, watch: ConfigWatch
) -> None:
    while True:
        await asyncio.sleep(options.stale_s)
        watch.leave(STALE)
        fleet.pause_router(STALE)
        await asyncio.sleep(options.stale_s)
        fleet.resume_router(STALE)
        watch.come_back(STALE)


def _n_calls(fleet: EmbeddedFleet) -> int:
    calls = fleet.platform.n_calls
    return calls["read"] + calls["write"] + calls["watch"]


def _measure_slope(options: Options, seed: int) -> Outcome:
    outcome: Outcome = []
    for n_routers in options.loop_sizes:
        outcome += _measure_loop(n_routers, options.n_loop_changes, seed)
    return outcome


def _measure_loop(n_routers: int, n_changes: int, seed: int) -> Outcome:
    """Count on the kernel's machines what a fleet of this size costs."""
    loop = RolloutSimulation(seed, n_routers)
    loop.run(5_000.0)
    loop.n_calls.clear()
    loop.n_bytes = 0
    loop.run(S_PER_MINUTE * MS_PER_S)
    n_idle_calls = loop.n_calls.total() / n_routers
    idle_bytes = loop.n_bytes / n_routers / S_PER_MINUTE
    loop.n_calls.clear()
    loop.n_bytes = 0
    lags_ms = [_time_change(loop) for _ in range(n_changes)]
    n_bytes = loop.n_bytes / n_routers / n_changes
    name = f"loop_{n_routers}"
    return [
        Measurement(f"{name}_calls_per_idle_router_minute", "calls", n_idle_calls),
        Measurement(f"{name}_idle_bytes_per_router_second", "bytes", idle_bytes),
        Measurement(
            f"{name}_calls_per_change", "calls", loop.n_calls.total() / n_changes
        ),
        Measurement(f"{name}_bytes_per_router_and_change", "bytes", n_bytes),
        Measurement(f"{name}_in_force_p100", "ms", max(lags_ms)),
    ]


def _time_change(loop: RolloutSimulation) -> float:
    loop.change()
    started_ms = loop.now_ms
    while loop.lagging():
        loop.run(5.0)
    lag_ms = loop.now_ms - started_ms
    loop.run(max(0.0, MS_PER_S - lag_ms))
    return lag_ms
