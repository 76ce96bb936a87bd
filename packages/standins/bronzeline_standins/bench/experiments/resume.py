"""Inject faults under load and measure the gaps until generations resume."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass
from random import Random
from typing import Any

import numpy as np

from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.fault_injector import FAULTS, FaultInjector
from bronzeline_standins.bench.naive_restart import NaiveRestart, measure_naive_restart
from bronzeline_standins.bench.reconnecting_caller import (
    GenerationCall,
    ReconnectingCaller,
)
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.token_chain import engine_request
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

TOKENS_BEFORE_LOSS = (25, 100, 300)
MAX_GAP_WAIT_S = 12.0
# Tokens that were in flight when the fault was injected still arrive within this time.
GAP_START_WINDOW_MS = 250.0


@dataclass(frozen=True)
class FaultGap:
    """Hold the gap in the output of one generation after a fault."""

    fault: str
    gap_ms: float
    n_tokens_before_loss: int


class ResumeExperiment:
    """Keep a number of generations running while faults are injected."""

    def __init__(self, fleet: EmbeddedFleet, options: dict[str, Any], seed: int):
        self.gaps: list[FaultGap] = []
        self.calls: list[GenerationCall] = []
        self.n_faults = 0
        self.fleet = fleet
        self._options = options
        self._random = Random(seed)
        self.injector = FaultInjector(fleet, self._random)
        key = workspace_key(fleet.topology.workspaces()[0])
        self._caller = ReconnectingCaller(
            fleet.topology.model, key, self.injector.ports, self._random
        )
        self._is_stopping = False

    async def run(self) -> None:
        """Run the load and the faults, then wait until every generation has ended."""
        n_callers = int(self._options["n_generations"])
        workers = [asyncio.ensure_future(self._work(n)) for n in range(n_callers)]
        await asyncio.sleep(float(self._options["warm_up_s"]))
        deadline_s = time.monotonic() + float(self._options["faults_s"])
        watchers = []
        number = 0
        while time.monotonic() < deadline_s:
            fault = FAULTS[number % len(FAULTS)]
            watcher = self._inject_fault(fault)
            if watcher is not None:
                watchers.append(watcher)
                number += 1
            await asyncio.sleep(float(self._options["fault_interval_s"]))
        self.n_faults = number
        self._is_stopping = True
        await asyncio.gather(*watchers, *workers)

    async def _work(self, worker: int) -> None:
        number = 0
        while not self._is_stopping:
            number += 1
            length = self._random.choice(self._options["lengths"])
            name = f"{worker}-{number}"
            call = GenerationCall(name, f"plan {name} of forty robes", length)
            self.calls.append(call)
            await self._caller.run(call)

    def _inject_fault(self, fault: str) -> asyncio.Task[None] | None:
        open_calls = {item.generation_id: item for item in self._open_calls()}
        at_ms = time.monotonic() * 1000.0
        injected = self.injector.inject(fault)
        if injected is None:
            return None
        affected = [
            call
            for generation_id, call in open_calls.items()
            if generation_id in injected.generation_ids
        ]
        if fault == "caller_silent":
            for call in affected:
                call.abandoned.set()
        return asyncio.ensure_future(self._record_gaps(fault, at_ms, affected))

    def _open_calls(self) -> list[GenerationCall]:
        return [
            call
            for call in self.calls
            if not call.is_over and call.answer.tokens and call.generation_id
        ]

    async def _record_gaps(
        self, fault: str, at_ms: float, affected: list[GenerationCall]
    ) -> None:
        n_tokens = {call.key: len(call.answer.tokens) for call in affected}
        deadline_s = time.monotonic() + MAX_GAP_WAIT_S
        while time.monotonic() < deadline_s:
            await asyncio.sleep(0.25)
            is_window_over = time.monotonic() * 1000.0 - at_ms > 5_000.0
            if is_window_over or all(call.is_over for call in affected):
                break
        for call in affected:
            gap_ms = call.gap_after_ms(at_ms, GAP_START_WINDOW_MS)
            if gap_ms is not None:
                self.gaps.append(FaultGap(fault, gap_ms, n_tokens[call.key]))


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Run the scenario and the naive baseline and return the measurements."""
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    topology = TOPOLOGIES[scenario.topology]
    engine_options = EngineOptions(
        inter_token_ms=float(scenario.options["inter_token_ms"]), salt="yes"
    )
    fleet = EmbeddedFleet(topology, engine_options=engine_options, seed=seed)
    await fleet.start()
    naive = asyncio.ensure_future(_measure_naive(engine_options, topology.model))
    experiment = ResumeExperiment(fleet, scenario.options, seed)
    try:
        await experiment.run()
        return _measurements(experiment, await naive, topology.model)
    finally:
        await fleet.stop()


async def _measure_naive(options: EngineOptions, model: str) -> list[NaiveRestart]:
    request = engine_request(model, "plan of forty robes", 1_000)
    return [
        await measure_naive_restart(options, request, n_tokens)
        for n_tokens in TOKENS_BEFORE_LOSS
    ]


def _measurements(
    experiment: ResumeExperiment, naive: list[NaiveRestart], model: str
) -> Measurements:
    gaps = experiment.gaps
    calls = experiment.calls
    rows = [
        Measurement("losses", "losses", len(gaps)),
        Measurement("faults", "faults", experiment.n_faults),
        Measurement("generations", "generations", len(calls)),
        *_percentiles("resume", [item.gap_ms for item in gaps]),
        Measurement(
            "tokens_wrong", "tokens", sum(c.n_wrong_tokens(model) for c in calls)
        ),
        Measurement(
            "answers_failed", "answers", sum(bool(c.answer.error) for c in calls)
        ),
        Measurement("answers_cut", "answers", sum(not c.is_over for c in calls)),
    ]
    for fault in FAULTS:
        chosen = [item.gap_ms for item in gaps if item.fault == fault]
        rows += _percentiles(fault, chosen)
    rows += _resume_phases(experiment)
    rows += _extra_work(experiment)
    rows += _compare_with_naive(gaps, naive)
    return rows


def _resume_phases(experiment: ResumeExperiment) -> Measurements:
    resumes = [
        gap
        for router in experiment.fleet.routers
        for gap in router.generations.resume_gaps
    ]
    rows: Measurements = [
        Measurement(
            "resumes_attached", "resumes", sum(item.is_attached for item in resumes)
        ),
        Measurement(
            "resumes_moved", "resumes", sum(not item.is_attached for item in resumes)
        ),
    ]
    for part in ("detection_ms", "choice_ms", "first_token_ms"):
        values = [getattr(item, part) for item in resumes if not item.is_attached]
        rows += _percentiles(f"part_{part.removesuffix('_ms')}", values)
    return rows


def _extra_work(experiment: ResumeExperiment) -> Measurements:
    costs = [router.generations.budget.cost for router in experiment.fleet.routers]
    n_first = sum(item.n_first_time_tokens for item in costs)
    n_prompt = sum(item.n_repeated_prompt_tokens for item in costs)
    n_prefix = sum(item.n_repeated_prefix_tokens for item in costs)
    n_dropped = sum(item.n_tokens_dropped for item in costs)
    duplicate_ms = sum(item.duplicate_engine_ms for item in costs)
    n_bytes = sum(item.cross_region_bytes for item in costs)
    return [
        Measurement("tokens_first_time", "tokens", n_first),
        Measurement("prompt_tokens_again", "tokens", n_prompt),
        Measurement("prefix_tokens_again", "tokens", n_prefix),
        Measurement("tokens_dropped", "tokens", n_dropped),
        Measurement("duplicate_engine_time", "ms", duplicate_ms),
        Measurement("cross_region_copies", "bytes", n_bytes),
    ]


def _compare_with_naive(
    gaps: list[FaultGap], naive: list[NaiveRestart]
) -> Measurements:
    rows: Measurements = []
    edges = (0, 50, 200, 100_000)
    for restart, low, high in zip(naive, edges, edges[1:], strict=False):
        chosen = [
            item.gap_ms
            for item in gaps
            if item.fault == "engine_death" and low <= item.n_tokens_before_loss < high
        ]
        if chosen:
            rows.append(
                Measurement(
                    f"engine_death_gap_p50_at_{restart.n_tokens_before_loss}_tokens",
                    "ms",
                    float(np.median(chosen)),
                    restart.gap_ms,
                )
            )
    return rows


def _percentiles(name: str, values: list[float]) -> Measurements:
    if not values:
        return []
    return [
        Measurement(f"{name}_p50", "ms", float(np.percentile(values, 50))),
        Measurement(f"{name}_p95", "ms", float(np.percentile(values, 95))),
        Measurement(f"{name}_max", "ms", max(values)),
    ]
