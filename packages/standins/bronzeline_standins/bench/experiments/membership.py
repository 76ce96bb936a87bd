"""Measure membership traffic per router and second at several fleet sizes."""

from __future__ import annotations

import asyncio
import time

from bronzeline_kernel.membership import MembershipOptions, MemberState
from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.membership_simulation import MembershipSimulation

__all__ = ["run"]

N_ZONES = 14
SECONDS_PER_DAY = 86_400.0


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Measure each fleet size idle, with restarts and with the loss of a zone."""
    measurements: list[Measurement] = []
    for n_routers in scenario.options["sizes"]:
        measurements += _measure(n_routers, scenario, seed)
        await asyncio.sleep(0)
    return measurements


def _measure(n_routers: int, scenario: Scenario, seed: int) -> list[Measurement]:
    simulation = MembershipSimulation(
        n_routers, N_ZONES, seed, MembershipOptions(), starts_converged=True
    )
    simulation.run_for(2_000.0)
    quiet = _bytes_per_s(simulation, float(scenario.options["quiet_ms"]))
    churn = _run_churn(simulation, scenario)
    lost, detect_ms = _lose_zone(simulation, scenario.options["zone_loss_ms"])
    started_s = time.process_time()
    n_messages_handled = simulation.n_messages_handled
    simulation.run_for(2_000.0)
    cpu_us = (time.process_time() - started_s) * 1e6
    n_messages_handled = simulation.n_messages_handled - n_messages_handled
    return [
        Measurement(f"quiet_bytes_per_s_{n_routers}", "B/s", quiet),
        Measurement(f"churn_bytes_per_s_{n_routers}", "B/s", churn),
        Measurement(f"zone_loss_bytes_per_s_{n_routers}", "B/s", lost),
        Measurement(f"zone_loss_known_ms_{n_routers}", "ms", detect_ms),
        Measurement(
            f"cpu_us_per_message_{n_routers}", "us", cpu_us / n_messages_handled
        ),
    ]


def _bytes_per_s(simulation: MembershipSimulation, duration_ms: float) -> float:
    """Return the bytes per second of the router that sends the most."""
    simulation.n_bytes_sent.clear()
    simulation.run_for(duration_ms)
    return max(simulation.n_bytes_sent.values()) * 1000.0 / duration_ms


def _run_churn(simulation: MembershipSimulation, scenario: Scenario) -> float:
    """Restart routers at the daily rate, at least one; return the most bytes/s."""
    duration_ms = float(scenario.options["churn_ms"])
    per_day = float(scenario.options["restarts_a_day"])
    n_restarts = max(1, round(per_day * duration_ms / 1000.0 / SECONDS_PER_DAY))
    simulation.n_bytes_sent.clear()
    for _ in range(n_restarts):
        router_id = simulation.random.choice(sorted(simulation.routers))
        simulation.stop(router_id)
        simulation.run_for(500.0)
        simulation.fail(router_id)
        simulation.run_for(500.0)
        simulation.start(router_id)
        simulation.run_for(duration_ms / n_restarts - 1_000.0)
    return max(simulation.n_bytes_sent.values()) * 1000.0 / duration_ms


def _lose_zone(
    simulation: MembershipSimulation, duration_ms: float
) -> tuple[float, float]:
    """Fail a zone; return the most bytes/s and the ms until every router knows it."""
    lost = {
        item.router_id
        for item in simulation.listing
        if item.availability_zone == simulation.listing[0].availability_zone
    }
    lost_at_ms = simulation.now_ms
    simulation.changes.clear()
    for router_id in lost:
        simulation.fail(router_id)
    bytes_per_s = _bytes_per_s(simulation, duration_ms)
    known_at_ms = [
        at_ms
        for at_ms, _, change in simulation.changes
        if change.state is MemberState.FAILED and change.router_id in lost
    ]
    n_expected = len(lost) * len(simulation.routers)
    is_known = len(known_at_ms) >= n_expected
    return bytes_per_s, max(known_at_ms) - lost_at_ms if is_known else duration_ms
