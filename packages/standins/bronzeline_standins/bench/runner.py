"""Run one benchmark scenario within its time limit."""

from __future__ import annotations

import asyncio
import importlib
import signal
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from types import FrameType

from bronzeline_kernel.exceptions import BronzelineError
from bronzeline_standins.bench.child_process import ChildProcess
from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.figure import Figure
from bronzeline_standins.bench.scenario import Scenario

__all__ = ["ScenarioTimeoutError", "run_scenario"]

HARD_LIMIT_GRACE_S = 3.0
EXPERIMENTS_PACKAGE = "bronzeline_standins.bench.experiments"


class ScenarioTimeoutError(BronzelineError):
    """Report a scenario that did not end within its time limit."""


def run_scenario(
    scenario: Scenario, seed: int | None, report: Callable[[str], None]
) -> list[Figure]:
    """Run one scenario and return its figures; raises `ScenarioTimeoutError`."""
    used_seed = scenario.seed if seed is None else seed
    module = importlib.import_module(f"{EXPERIMENTS_PACKAGE}.{scenario.experiment}")
    started_s = time.monotonic()
    limit_s = scenario.limit_ms / 1000.0
    error = ScenarioTimeoutError(
        f"{scenario.scenario} took more than {scenario.limit_ms:.0f} ms"
    )
    try:
        with _hard_limit(limit_s + HARD_LIMIT_GRACE_S, error):
            measurements: Measurements = asyncio.run(
                asyncio.wait_for(module.run(scenario, used_seed), limit_s)
            )
    except TimeoutError:
        raise error from None
    finally:
        n_killed = ChildProcess.kill_all()
        if n_killed:
            report(f"{scenario.scenario}: killed {n_killed} leftover child processes")
    report(f"{scenario.scenario}: {time.monotonic() - started_s:.1f} s")
    return [_to_figure(scenario, used_seed, item) for item in measurements]


@contextmanager
def _hard_limit(limit_s: float, error: ScenarioTimeoutError) -> Iterator[None]:
    # SIGALRM also ends an experiment that computes without awaiting, which can't be
    # cancelled by asyncio.
    def expire(number: int, frame: FrameType | None) -> None:
        raise error

    previous = signal.signal(signal.SIGALRM, expire)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, previous)


def _to_figure(scenario: Scenario, seed: int, item: Measurement) -> Figure:
    bound = scenario.bounds.get(item.measure)
    ratio = item.value / item.baseline if item.baseline else None
    return Figure(
        scenario=scenario.scenario,
        measure=item.measure,
        unit=item.unit,
        seed=seed,
        baseline=item.baseline,
        value=item.value,
        ratio=ratio,
        bound=bound.value if bound else None,
        within=bound.allows(item.value) if bound else None,
    )
