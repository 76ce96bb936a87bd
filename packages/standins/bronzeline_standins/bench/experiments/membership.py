"""Measure the bytes a second that membership costs each router, by size."""

from __future__ import annotations

import asyncio
import time

from bronzeline_kernel.membership import MembershipOptions, MemberState
from bronzeline_standins.bench.experiment import Measurement
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.membership_simulation import MembershipSimulation

__all__ = ["run"]

N_ZONES = 14
SECONDS_A_DAY = 86_400.0


async def run(scenario: Scenario, seed: int) -> list[Measurement]:
    """Run each size through quiet, restarts and the loss of a zone."""
    measurements: list[Measurement] = []
    for n_routers in scenario.options["sizes"]:
        measurements += _measure(n_routers, scenario, seed)
        await asyncio.sleep(0)
    return measurements


def _measure(n_routers: int, scenario: Scenario, seed: int) -> list[Measurement]:
    loop = MembershipSimulation(
        n_routers, N_ZONES, seed, MembershipOptions(), starts_converged=True
    )
    loop.run_for(2_000.0)
    quiet = _bytes_per_s(loop, float(scenario.options["quiet_ms"]))
    churn = _run_churn(loop, scenario)
    lost, detect_ms = _lose_zone(loop, scenario.options["zone_loss_ms"])
    started_s = time.process_time()
    n_messages_handled = loop.n_messages_handled
    loop.run_for(2_000.0)
    cpu_us = (time.process_time() - started_s) * 1e6
    n_messages_handled = loop.n_messages_handled - n_messages_handled
    return [
        Measurement(f"quiet_bytes_per_s_{n_routers}", "B/s", quiet),
        Measurement(f"churn_bytes_per_s_{n_routers}", "B/s", churn),
        Measurement(f"zone_loss_bytes_per_s_{n_routers}", "B/s", lost),
        Measurement(f"zone_loss_known_ms_{n_routers}", "ms", detect_ms),
        Measurement(
            f"cpu_us_per_message_{n_routers}", "us", cpu_us / n_messages_handled
        ),
    ]


def _bytes_per_s(loop: MembershipSimulation, duration_ms: float) -> float:
    """Return the bytes a second of the router that sends most."""
    loop.n_bytes_sent.clear()
    loop.run_for(duration_ms)
    return max(loop.n_bytes_sent.values()) * 1000.0 / duration_ms


def _run_churn(loop: MembershipSimulation, scenario: Scenario) -> float:
    """Restart routers at the daily rate, at least one."""
    duration_ms = float(scenario.options["churn_ms"])
    per_day = float(scenario.options["restarts_a_day"])
    n_restarts = max(1, round(per_day * duration_ms / 1000.0 / SECONDS_A_DAY))
    loop.n_bytes_sent.clear()
    for _ in range(n_restarts):
        router_id = loop.random.choice(sorted(loop.routers))
        loop.stop(router_id)
        loop.run_for(500.0)
        loop.fail(router_id)
        loop.run_for(500.0)
        loop.start(router_id)
        loop.run_for(duration_ms / n_restarts - 1_000.0)
    return max(loop.n_bytes_sent.values()) * 1000.0 / duration_ms


def _lose_zone(loop: MembershipSimulation, duration_ms: float) -> tuple[float, float]:
    """Lose a zone; return the bytes and when every router knew every loss."""
    lost = {
        item.router_id
        for item in loop.listing
        if item.availability_zone == loop.listing[0].availability_zone
    }
    lost_at_ms = loop.now_ms
    loop.changes.clear()
    for router_id in lost:
        loop.fail(router_id)
    bytes_per_s = _bytes_per_s(loop, duration_ms)
    known_at_ms = [
        at_ms
        for at_ms, _, change in loop.changes
        if change.state is MemberState.FAILED and change.router_id in lost
    ]
    n_expected = len(lost) * len(loop.routers)
    is_known = len(known_at_ms) >= n_expected
    return bytes_per_s, max(known_at_ms) - lost_at_ms if is_known else duration_ms
