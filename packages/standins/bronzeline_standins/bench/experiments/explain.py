"""Measure how much of a router's decision stories survives its loss."""

from __future__ import annotations

import asyncio
import time
from random import Random

import msgspec
import numpy as np

from bronzeline_daemon.daemon import Daemon
from bronzeline_kernel.decisions import root_subject
from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.caller import Caller
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

MS_PER_S = 1_000.0
HANDOVER_S = 2.0
N_ENGINES_TO_KILL = 4


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Kill some engines, then their router, and read the stories from another one."""
    topology = TOPOLOGIES[scenario.topology]
    options = EngineOptions(inter_token_ms=float(scenario.options["inter_token_ms"]))
    fleet = EmbeddedFleet(topology, engine_options=options, seed=seed)
    await fleet.start()
    try:
        await _run_generations(fleet, scenario, Random(seed))
        await asyncio.sleep(HANDOVER_S)
        n_decisions = _count_decisions(fleet.routers[0])
        fleet.kill_router(0)
        return await _measure_stories(fleet, n_decisions)
    finally:
        await fleet.stop()


async def _run_generations(
    fleet: EmbeddedFleet, scenario: Scenario, random: Random
) -> None:
    workspaces = fleet.topology.workspaces()
    port = fleet.routers[0].caller_port
    calls = [
        Caller(port, workspace_key(workspaces[number % len(workspaces)])).stream(
            fleet.topology.model, f"plan {number}", scenario.options["n_tokens"]
        )
        for number in range(scenario.options["n_generations"])
    ]
    work = asyncio.gather(*calls)
    for engine in random.sample(fleet.engines, N_ENGINES_TO_KILL):
        await asyncio.sleep(scenario.options["kill_interval_ms"] / MS_PER_S)
        engine.die()
    await work


def _count_decisions(router: Daemon) -> dict[str, int]:
    """Return the number of decisions for each generation that has more than one."""
    subjects = {
        root_subject(item.subject)
        for item in router.decisions.latest()
        if item.subject.startswith("gen-")
    }
    counts = {
        subject: len(router.decisions.for_subject(subject)) for subject in subjects
    }
    return {subject: count for subject, count in counts.items() if count > 1}


async def _measure_stories(
    fleet: EmbeddedFleet, n_decisions: dict[str, int]
) -> Measurements:
    survivor = fleet.routers[-1]
    n_found = 0
    waits_ms = []
    for subject in n_decisions:
        started_s = time.monotonic()
        story = await survivor.stories.explain(subject)
        waits_ms.append((time.monotonic() - started_s) * MS_PER_S)
        n_found += min(len(story.lines), n_decisions[subject])
    found_ratio = n_found / sum(n_decisions.values())
    return [
        Measurement("troubled_generations", "count", float(len(n_decisions))),
        Measurement("told_after_death", "ratio", found_ratio),
        Measurement("explain_p95", "ms", float(np.percentile(waits_ms, 95))),
        Measurement("kept_decision", "bytes", _mean_bytes(fleet)),
    ]


def _mean_bytes(fleet: EmbeddedFleet) -> float:
    kept = [item for router in fleet.routers for item in router.stories.archive.all()]
    return float(np.mean([len(msgspec.msgpack.encode(item)) for item in kept]))
