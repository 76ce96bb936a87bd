"""Run scenarios one by one and print their figures as they come."""

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
from bronzeline_standins.bench.experiment import Measurement, Outcome
from bronzeline_standins.bench.figure import Figure
from bronzeline_standins.bench.scenario import Scenario

__all__ = ["ScenarioTimeoutError", "run_scenario"]

GRACE_S = 3.0
EXPERIMENTS_PACKAGE = "bronzeline_standins.bench.experiments"


class ScenarioTimeoutError(BronzelineError):
    """Report a scenario that did not end within its limit."""


def run_scenario(
    scenario: Scenario, seed: int | None, report: Callable[[str], None]
) -> list[Figure]:
    """Run one scenario; raises `ScenarioTimeoutError`."""
    chosen_seed = scenario.seed if seed is None else seed
    module = importlib.import_module(f"{EXPERIMENTS_PACKAGE}.{scenario.experiment}")
    started_s = time.monotonic()
    limit_s = scenario.limit_ms / 1000.0
    error = ScenarioTimeoutError(
        f"{scenario.scenario} took more than {scenario.limit_ms:.0f} ms"
    )
    try:
        with _hard_limit(limit_s + GRACE_S, error):
            outcome: Outcome = asyncio.run(
                asyncio.wait_for(module.run(scenario, chosen_seed), limit_s)
            )
    except TimeoutError:
        raise error from None
    finally:
        n_left = ChildProcess.end_all()
        if n_left:
            report(f"{scenario.scenario}: ended {n_left} processes that it left")
    report(f"{scenario.scenario}: {time.monotonic() - started_s:.1f} s")
    return [_figure(scenario, chosen_seed, item) for item in outcome]


@contextmanager
def _hard_limit(limit_s: float, error: ScenarioTimeoutError) -> Iterator[None]:
    # An experiment that computes without awaiting can't be cancelled.
    def expire(number: int, frame: FrameType | None) -> None:
        raise error

    before = signal.signal(signal.SIGALRM, expire)
    signal.setitimer(signal.ITIMER_REAL, limit_s)
    try:
        yield
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0.0)
        signal.signal(signal.SIGALRM, before)


def _figure(scenario: Scenario, seed: int, item: Measurement) -> Figure:
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
