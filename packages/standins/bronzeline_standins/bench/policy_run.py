"""Run a workload on an embedded fleet under one dispatch policy and summarize it."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field

from bronzeline_daemon.daemon import DispatcherFactory
from bronzeline_kernel.config import FleetDefaults
from bronzeline_kernel.routing import Dispatcher
from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.load import (
    LoadRun,
    Outcome,
    RequestRecord,
    percentile,
)
from bronzeline_standins.bench.round_robin_dispatcher import RoundRobinDispatcher
from bronzeline_standins.bench.workload import Arrival, RequestKind
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import Topology

__all__ = ["PolicyRun", "PolicySummary", "compare", "measure_policies"]

SAMPLE_INTERVAL_S = 0.005
WARM_UP_S = 3.2
FIRST_TOKEN_TARGET_MS = 910.0
HOP_MS = 40.0
POLICIES: tuple[DispatcherFactory, DispatcherFactory] = (
    Dispatcher,
    RoundRobinDispatcher,
)

FaultScript = Callable[[EmbeddedFleet], Awaitable[None]]


@dataclass
class PolicySummary:
    """Hold the measures of one policy on one workload, each with its unit."""

    measures: dict[str, tuple[str, float]] = field(default_factory=dict)

    def add(self, measure: str, unit: str, value: float) -> None:
        """Add the value of one measure."""
        self.measures[measure] = (unit, value)


class FleetSampler:
    """Sample slots, queues and event loop lag every few milliseconds during a run."""

    def __init__(self, fleet: EmbeddedFleet) -> None:
        self.n_bytes_before = 0
        self.started_s = 0.0
        self.bytes_per_s = 0.0
        self.idle_slot_ms = 0.0
        self.busy_slot_ms = 0.0
        self.idle_beyond_step_ms = 0.0
        self.slot_ms = 0.0
        self.lags_ms: list[float] = []
        self._fleet = fleet
        self._until_s = 0.0
        self._idle_ms: dict[int, float] = {}
        self._step_ms = fleet.engines[0].options.inter_token_ms + HOP_MS

    async def run(self, from_ms: float, until_ms: float) -> None:
        """Sample from `from_ms` to `until_ms`, both counted from the call."""
        last_s = time.monotonic()
        self._until_s = last_s + until_ms / 1000.0
        await asyncio.sleep(from_ms / 1000.0)
        last_s = time.monotonic()
        self.n_bytes_before = self._n_bytes()
        self.started_s = last_s
        while last_s < self._until_s:
            await asyncio.sleep(SAMPLE_INTERVAL_S)
            now_s = time.monotonic()
            elapsed_ms = (now_s - last_s) * 1000.0
            self.lags_ms.append(max(0.0, elapsed_ms - SAMPLE_INTERVAL_S * 1000.0))
            last_s = now_s
            self._sample(elapsed_ms)
        n_bytes = self._n_bytes() - self.n_bytes_before
        n_routers = len(self._fleet.routers)
        self.bytes_per_s = n_bytes / n_routers / (last_s - self.started_s)

    def _n_bytes(self) -> int:
        return sum(item.peers.n_bytes_sent for item in self._fleet.routers)

    def _sample(self, elapsed_ms: float) -> None:
        models = [item.model for item in self._fleet.engines if item.is_alive]
        free = [
            max(0, item.options.n_slots - len(item.running) - len(item.queued))
            for item in models
        ]
        n_free = sum(free)
        n_queued = sum(len(item.queued) for item in models)
        n_waiting = sum(item.dispatch.n_waiting for item in self._fleet.routers)
        self.slot_ms += sum(item.options.n_slots for item in models) * elapsed_ms
        self.busy_slot_ms += sum(len(item.running) for item in models) * elapsed_ms
        if n_free and (n_waiting or n_queued):
            self.idle_slot_ms += min(n_free, n_waiting + n_queued) * elapsed_ms
        self._sample_idle_beyond_step(free, n_waiting + n_queued, elapsed_ms)

    def _sample_idle_beyond_step(
        self, free: list[int], n_waiting: int, elapsed_ms: float
    ) -> None:
        """Add up how long engines stay free beyond one step while requests wait."""
        for number, n_free in enumerate(free):
            idle_ms = self._idle_ms.get(number, 0.0) + elapsed_ms
            self._idle_ms[number] = idle_ms if n_free and n_waiting else 0.0
            if self._idle_ms[number] > self._step_ms:
                self.idle_beyond_step_ms += elapsed_ms


@dataclass(frozen=True)
class PolicyRun:
    """Describe a run: the fleet, the arrivals and an optional fault script."""

    topology: Topology
    arrivals: Sequence[Arrival]
    engine_options: EngineOptions
    counted_from_ms: float = 0.0
    drain_ms: float = 6_000.0
    defaults: FleetDefaults = field(default_factory=FleetDefaults)
    script: FaultScript | None = None

    async def run(self, policy: DispatcherFactory, seed: int) -> PolicySummary:
        """Run the workload on a fleet with this policy and summarize the records."""
        fleet = EmbeddedFleet(
            self.topology,
            engine_options=self.engine_options,
            defaults=self.defaults,
            seed=seed,
            dispatcher_factory=policy,
        )
        await fleet.start()
        tasks: list[asyncio.Task[None]] = []
        try:
            await asyncio.sleep(WARM_UP_S)
            sampler = FleetSampler(fleet)
            until_ms = max(item.at_ms for item in self.arrivals)
            sampling = sampler.run(self.counted_from_ms, until_ms)
            tasks.append(asyncio.ensure_future(sampling))
            if self.script is not None:
                tasks.append(asyncio.ensure_future(self._run_script(fleet)))
            load = LoadRun(
                self.topology, self.arrivals, lambda item: _choose_port(fleet, item)
            )
            records = await load.run(self.drain_ms)
            return self._summarize(records, sampler)
        finally:
            for task in tasks:
                task.cancel()
            await fleet.stop()

    async def _run_script(self, fleet: EmbeddedFleet) -> None:
        assert self.script is not None
        await self.script(fleet)

    def _summarize(
        self, records: list[RequestRecord], sampler: FleetSampler
    ) -> PolicySummary:
        counted = [
            item
            for item in records
            if item.arrival.at_ms >= self.counted_from_ms
            and item.arrival.kind is RequestKind.GENERATION
        ]
        short = [item for item in counted if not item.arrival.is_straggler]
        summary = PolicySummary()
        _add_first_tokens(summary, "short", short)
        _add_first_tokens(
            summary,
            "large",
            [item for item in short if item.arrival.is_large_workspace],
        )
        _add_first_tokens(
            summary,
            "small",
            [item for item in short if not item.arrival.is_large_workspace],
        )
        _add_shares(summary, counted, short)
        _add_samples(summary, sampler)
        return summary


def _choose_port(fleet: EmbeddedFleet, arrival: Arrival) -> int:
    """Choose a ready router in the caller's region, or any if there is none."""
    region = arrival.region
    ready = [item for item in fleet.routers if item.is_ready]
    near = [item for item in ready if item.settings.router.region == region]
    routers = near or ready or fleet.routers
    return routers[int(arrival.balancer_draw * len(routers))].caller_port


def _add_first_tokens(
    summary: PolicySummary, name: str, records: list[RequestRecord]
) -> None:
    waits = [item.first_token_ms for item in records if item.token_times_ms]
    for percent in (50.0, 95.0, 99.0):
        measure = f"{name}_first_token_p{percent:.0f}_ms"
        summary.add(measure, "ms", percentile(waits, percent))


def _add_shares(
    summary: PolicySummary, counted: list[RequestRecord], short: list[RequestRecord]
) -> None:
    admitted = [item for item in short if not _is_refused(item)]
    in_time = [item for item in admitted if _is_in_time(item)]
    gaps = [gap for item in admitted for gap in item.gaps_ms]
    summary.add("short_gap_p95_ms", "ms", percentile(gaps, 95.0))
    summary.add("short_in_time", "share", len(in_time) / max(1, len(admitted)))
    whole = [item for item in in_time if item.outcome is Outcome.WHOLE]
    summary.add("short_goodput", "share", len(whole) / max(1, len(short)))
    refused = [item for item in counted if _is_refused(item)]
    summary.add("refused", "share", len(refused) / max(1, len(counted)))
    refused_ms = [item.duration_ms for item in refused]
    summary.add("refusal_p95_ms", "ms", percentile(refused_ms, 95.0))
    cut = [item for item in counted if _is_cut(item)]
    summary.add("cut", "requests", len(cut))
    broken = [item for item in counted if item.outcome is Outcome.BROKEN]
    summary.add("broken", "requests", len(broken))
    summary.add("counted", "requests", len(counted))


def _add_samples(summary: PolicySummary, sampler: FleetSampler) -> None:
    n_slot_ms = max(1.0, sampler.slot_ms)
    summary.add("slots_busy", "share", sampler.busy_slot_ms / n_slot_ms)
    summary.add("idle_while_waiting", "share", sampler.idle_slot_ms / n_slot_ms)
    beyond = sampler.idle_beyond_step_ms / n_slot_ms
    summary.add("idle_beyond_step", "share", beyond)
    summary.add("peer_bytes_per_s", "B/s", sampler.bytes_per_s)
    summary.add("loop_lag_p99_ms", "ms", percentile(sampler.lags_ms, 99.0))


def _is_refused(record: RequestRecord) -> bool:
    is_failed = record.outcome in (Outcome.REFUSED, Outcome.FAILED)
    return is_failed and not record.token_times_ms


def _is_in_time(record: RequestRecord) -> bool:
    has_started = bool(record.token_times_ms)
    return has_started and record.first_token_ms <= FIRST_TOKEN_TARGET_MS


def _is_cut(record: RequestRecord) -> bool:
    """Return whether a response that had started ended before its last token."""
    is_failed = record.outcome in (Outcome.CUT, Outcome.FAILED)
    is_ended = record.ended_at_ms > 0.0
    return is_failed and bool(record.token_times_ms) and is_ended


def compare(bronzeline: PolicySummary, baseline: PolicySummary) -> list[Measurement]:
    """Combine the measures of Bronzeline with those of the baseline."""
    return [
        Measurement(measure, unit, value, baseline.measures[measure][1])
        for measure, (unit, value) in bronzeline.measures.items()
    ]


async def measure_policies(run: PolicyRun, seed: int) -> list[Measurement]:
    """Run the same workload under Bronzeline's dispatcher and under the baseline."""
    bronzeline, baseline = [await run.run(policy, seed) for policy in POLICIES]
    return compare(bronzeline, baseline)
