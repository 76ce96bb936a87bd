"""Place orders through a fleet, first without faults, then under faults."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

import msgspec

from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.load import percentile
from bronzeline_standins.bench.order_cost import decision_us
from bronzeline_standins.bench.order_fault_injector import OrderFaultInjector
from bronzeline_standins.bench.order_load import OrderLoad, OrderRecord
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.caller import Caller
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

MS_PER_S = 1_000.0
N_TIMED_ORDERS = 5_000


@dataclass(frozen=True)
class Options:
    """Hold the scenario's options: load, durations and faults."""

    quiet_s: float
    faulty_s: float
    settle_s: float
    rate_per_s: float
    fault_interval_s: float
    n_direct: int


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Run the scenario on an embedded fleet and return the measurements."""
    options = msgspec.convert(scenario.options, Options)
    fleet = EmbeddedFleet(TOPOLOGIES[scenario.topology], seed=seed)
    await fleet.start()
    try:
        return await _measure(fleet, options, seed)
    finally:
        await fleet.stop()


async def _measure(fleet: EmbeddedFleet, options: Options, seed: int) -> Measurements:
    load = OrderLoad(fleet, seed)
    before = fleet.platform.n_calls.copy()
    await load.place_orders(options.quiet_s, options.rate_per_s)
    await load.wait_until_decided(options.settle_s)
    calls = fleet.platform.n_calls - before
    n_quiet = len(load.records)
    status_ms = await _time_status(fleet, options.n_direct)
    faults = OrderFaultInjector(fleet, seed)
    await asyncio.gather(
        load.place_orders(options.faulty_s, options.rate_per_s),
        faults.run(options.faulty_s, options.fault_interval_s),
    )
    await load.wait_until_decided(options.settle_s)
    return [
        *_verdict_measurements(load),
        *_store_calls(calls, n_quiet),
        *_latencies(load.records[:n_quiet], "quiet", status_ms),
        *_latencies(load.records[n_quiet:], "faulty", []),
        *_status_shares(load.records[n_quiet:]),
        Measurement("faults", "count", float(faults.n_faults.total())),
        Measurement("decision_per_order", "us", decision_us(N_TIMED_ORDERS)),
    ]


def _verdict_measurements(load: OrderLoad) -> Measurements:
    verdict = load.check(load.records)
    return [
        Measurement("orders", "count", float(len(load.records))),
        Measurement("orders_run_twice", "count", float(verdict.n_run_twice)),
        Measurement("false_not_run", "count", float(verdict.n_false_not_run)),
        Measurement(
            "answers_lost_or_crossed", "count", float(verdict.n_lost_or_crossed)
        ),
        Measurement("orders_undecided", "count", float(verdict.n_undecided)),
    ]


def _store_calls(calls: Any, n_orders: int) -> Measurements:
    return [
        Measurement("writes_per_order", "calls", calls["write"] / n_orders),
        Measurement("reads_per_order", "calls", calls["read"] / n_orders),
    ]


def _latencies(
    records: list[OrderRecord], name: str, status_ms: list[float]
) -> Measurements:
    waits_ms = [
        item.first_answer_ms for item in records if item.first_answer_ms is not None
    ]
    return [
        Measurement(
            f"{name}_order_p{quantile}",
            "ms",
            percentile(waits_ms, quantile),
            percentile(status_ms, quantile) if status_ms else None,
        )
        for quantile in (50, 99)
    ]


def _status_shares(records: list[OrderRecord]) -> Measurements:
    n_first = sum(item.statuses.total() == 1 and item.is_decided for item in records)
    n_not_run = sum(item.statuses["not_run"] > 0 for item in records)
    return [
        Measurement("faulty_decided_at_once", "share", n_first / len(records)),
        Measurement("faulty_not_run", "share", n_not_run / len(records)),
    ]


async def _time_status(fleet: EmbeddedFleet, n_calls: int) -> list[float]:
    """Time status requests, which take the same path without writing a claim."""
    workspace = fleet.topology.workspaces()[0]
    caller = Caller(fleet.routers[0].caller_port, workspace_key(workspace))
    durations_ms = []
    for number in range(n_calls):
        started_s = time.monotonic()
        await caller.status(fleet.topology.plain_service, f"order-{number}")
        durations_ms.append((time.monotonic() - started_s) * MS_PER_S)
    return durations_ms
