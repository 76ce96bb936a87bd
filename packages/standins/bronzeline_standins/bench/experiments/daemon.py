"""Measure throughput, latency and CPU time of one router process."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from bronzeline_standins.bench.child_process import ChildProcess, ResourceUsage
from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.load import percentile
from bronzeline_standins.bench.process_fleet import STANDINS_MODULE, ProcessFleet
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.stream_load import StreamLoadResult
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

N_ENGINES = 9
ENGINES_PER_PROCESS = 3
N_LOAD_PROCESSES = 2
IDLE_S = 3.0
STAGGER_S = 1.0
PEER_CONNECT_S = 2.0
# The middle one of the three levels is the required load; the last exceeds it.
TARGET_LEVEL = 1
MAX_GAP_P95_MS = 47.0
MIN_FORWARDED_SHARE = 0.95
US_PER_S = 1e6


@dataclass(frozen=True)
class LevelResult:
    """Hold the results of one load level and the router's CPU time and memory."""

    result: StreamLoadResult
    before: ResourceUsage
    after: ResourceUsage
    holder_cpu_s: float

    @property
    def gap_p95_ms(self) -> float:
        """Return the 95th percentile of the gap between tokens in milliseconds."""
        return self.result.gap_percentile_ms(95.0)

    @property
    def cpu_us_per_token(self) -> float:
        """Return the router's CPU time per forwarded token in microseconds."""
        cpu_s = self.after.cpu_s - self.before.cpu_s
        return cpu_s * US_PER_S / max(1, self.result.n_all_tokens)


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Measure rising load levels, the engines without a router, and replication."""
    options = scenario.options
    n_target = options["levels"][TARGET_LEVEL]
    async with _make_fleet(scenario, n_routers=1) as fleet:
        idle = await _measure_idle(fleet)
        levels = [
            await _measure_level(fleet, options, n_streams, is_router=True)
            for n_streams in options["levels"]
        ]
        direct = await _measure_level(
            fleet, options, options["levels"][-1], is_router=False
        )
    async with _make_fleet(scenario, n_routers=2) as fleet:
        await asyncio.sleep(PEER_CONNECT_S)
        replicated = await _measure_level(fleet, options, n_target, is_router=True)
    return [
        *_measurements(levels, direct, idle, options["inter_token_ms"]),
        *_replicated_measurements(replicated, direct),
    ]


def _make_fleet(scenario: Scenario, n_routers: int) -> ProcessFleet:
    return ProcessFleet(
        TOPOLOGIES[scenario.topology],
        n_routers=n_routers,
        n_engines=N_ENGINES,
        engines_per_process=ENGINES_PER_PROCESS,
        inter_token_ms=scenario.options["inter_token_ms"],
        is_one_region=True,
    )


async def _measure_idle(fleet: ProcessFleet) -> tuple[ResourceUsage, ResourceUsage]:
    await asyncio.sleep(1.0)
    before = fleet.routers[0].usage()
    await asyncio.sleep(IDLE_S)
    return before, fleet.routers[0].usage()


async def _measure_level(
    fleet: ProcessFleet, options: dict[str, float], n_streams: int, *, is_router: bool
) -> LevelResult:
    before = fleet.routers[0].usage()
    holder_before = fleet.routers[-1].usage()
    ports = fleet.caller_ports[:1] if is_router else fleet.engine_ports
    loads = [
        ChildProcess(
            STANDINS_MODULE,
            "stream-load",
            *(f"--port={port}" for port in ports),
            "--router" if is_router else "--engine",
            f"--key={workspace_key(fleet.topology.workspaces()[0])}",
            f"--model={fleet.topology.model}",
            f"--streams={n_streams // N_LOAD_PROCESSES}",
            f"--tokens={options['n_tokens']}",
            f"--duration-s={options['level_s']}",
            f"--stagger-s={STAGGER_S}",
        )
        for _ in range(N_LOAD_PROCESSES)
    ]
    await asyncio.gather(*(load.start() for load in loads))
    lines = await asyncio.gather(*(load.read_lines() for load in loads))
    holder_cpu_s = fleet.routers[-1].usage().cpu_s - holder_before.cpu_s
    return LevelResult(_merged(lines), before, fleet.routers[0].usage(), holder_cpu_s)


def _merged(lines: Sequence[Sequence[bytes]]) -> StreamLoadResult:
    total = StreamLoadResult(0)
    for item in lines:
        total.merge(msgspec.json.decode(item[-1], type=StreamLoadResult))
    return total


def _measurements(
    levels: Sequence[LevelResult],
    direct: LevelResult,
    idle: tuple[ResourceUsage, ResourceUsage],
    inter_token_ms: float,
) -> Measurements:
    in_pace = [item for item in levels if _keeps_pace(item, inter_token_ms)]
    best = max(in_pace, key=lambda item: item.result.tokens_per_s, default=levels[0])
    target = levels[TARGET_LEVEL]
    memory_kb = target.after.resident_kb - idle[1].resident_kb
    first_ms = percentile(target.result.first_token_ms, 95.0)
    direct_first_ms = percentile(direct.result.first_token_ms, 95.0)
    direct_rate = direct.result.tokens_per_s
    return [
        Measurement(
            "tokens_forwarded", "tokens/s", best.result.tokens_per_s, direct_rate
        ),
        Measurement(
            "requests_forwarded",
            "requests/s",
            best.result.requests_per_s,
            direct.result.requests_per_s,
        ),
        Measurement(
            "inter_token_p95_at_need", "ms", target.gap_p95_ms, direct.gap_p95_ms
        ),
        Measurement("first_token_p95_at_need", "ms", first_ms, direct_first_ms),
        Measurement(
            "tokens_at_need", "tokens/s", target.result.tokens_per_s, direct_rate
        ),
        Measurement("failed_at_need", "requests", target.result.n_failed),
        Measurement("cpu_per_token", "us", best.cpu_us_per_token),
        Measurement("cores_at_need", "cores", target.after.cores_since(target.before)),
        Measurement("memory_per_stream", "KB", memory_kb / target.result.n_streams),
        Measurement("idle_control_cores", "cores", idle[1].cores_since(idle[0])),
        Measurement("idle_memory", "MB", idle[1].resident_kb / 1024.0),
    ]


def _replicated_measurements(
    replicated: LevelResult, direct: LevelResult
) -> Measurements:
    result = replicated.result
    holder_us = replicated.holder_cpu_s * US_PER_S / max(1, result.n_all_tokens)
    first_ms = percentile(result.first_token_ms, 95.0)
    return [
        Measurement(
            "covered_tokens_at_need",
            "tokens/s",
            result.tokens_per_s,
            direct.result.tokens_per_s,
        ),
        Measurement(
            "covered_inter_token_p95", "ms", replicated.gap_p95_ms, direct.gap_p95_ms
        ),
        Measurement("covered_first_token_p95", "ms", first_ms),
        Measurement("covered_cpu_per_token", "us", replicated.cpu_us_per_token),
        Measurement("holder_cpu_per_token", "us", holder_us),
    ]


def _keeps_pace(level: LevelResult, inter_token_ms: float) -> bool:
    offered = level.result.n_streams * 1000.0 / inter_token_ms
    is_in_time = level.gap_p95_ms <= MAX_GAP_P95_MS
    is_forwarded = level.result.tokens_per_s >= MIN_FORWARDED_SHARE * offered
    return is_in_time and is_forwarded
