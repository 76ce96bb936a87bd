"""Build the run of a scenario in which demand rises on partly occupied engines."""

from __future__ import annotations

from dataclasses import replace
from random import Random

from bronzeline_standins.bench.policy_run import PolicyRun
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.bench.workload import (
    Arrival,
    RequestKind,
    Swing,
    Workload,
    draw_arrivals,
)
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import TOPOLOGIES

__all__ = ["swing_run"]

RAMP_MS = 2_000.0
INITIAL_ARRIVALS_MS = 500.0
MIN_TOKENS = 8


def swing_run(scenario: Scenario, seed: int) -> PolicyRun:
    """Return the run that a scenario describes.

    The engines start with the stragglers that the peak load keeps running, so
    that the peak lasts long enough to matter.
    """
    options = scenario.options
    workload, engine = _workload(scenario)
    base_ms = options["base_ms"]
    arrivals = draw_arrivals(workload, seed)
    initial = _initial_stragglers(workload, engine, arrivals, seed)
    return PolicyRun(
        workload.topology,
        [*initial, *arrivals],
        engine,
        counted_from_ms=base_ms,
        drain_ms=options["drain_ms"],
    )


def _workload(scenario: Scenario) -> tuple[Workload, EngineOptions]:
    options = scenario.options
    topology = TOPOLOGIES[scenario.topology]
    engine = EngineOptions(
        n_slots=options["n_slots"], inter_token_ms=options["inter_token_ms"]
    )
    share = options["straggler_share"]
    factor = options["straggler_factor"]
    mean_tokens = options["mean_tokens"] * (1.0 - share + share * factor)
    n_slots = engine.n_slots * topology.n_engines
    mean_ms = mean_tokens * engine.inter_token_ms
    peak_per_s = options["load_ratio"] * n_slots * 1000.0 / mean_ms
    swing_factor = options["swing_factor"]
    base_ms = options["base_ms"]
    workload = Workload(
        topology,
        duration_ms=base_ms + options["crest_ms"],
        generations_per_s=peak_per_s / swing_factor,
        mean_tokens=options["mean_tokens"],
        straggler_share=share,
        straggler_factor=factor,
        mean_prompt_words=options["mean_prompt_words"],
        swings=(Swing(base_ms, swing_factor, ramp_ms=RAMP_MS),),
    )
    return workload, engine


def _initial_stragglers(
    workload: Workload, engine: EngineOptions, arrivals: list[Arrival], seed: int
) -> list[Arrival]:
    """Sample stragglers that run from the start, each with its remaining length."""
    random = Random(f"{seed}/standing")
    mean_tokens = workload.mean_tokens * workload.straggler_factor
    mean_s = mean_tokens * engine.inter_token_ms / 1000.0
    peak_per_s = workload.generations_per_s * workload.factor_at(
        workload.duration_ms - 1.0
    )
    n_initial = round(peak_per_s * workload.straggler_share * mean_s)
    template = arrivals[0]
    initial = []
    for number in range(n_initial):
        # Requests that are running at a given moment are longer than average: a
        # gamma distribution of shape 4 becomes one of shape 5. The moment is
        # uniformly distributed over their run.
        full_length = random.gammavariate(5.0, mean_tokens / 4.0)
        n_tokens = max(MIN_TOKENS, round(full_length * random.random()))
        initial.append(
            replace(
                template,
                request_id=f"standing-{number}",
                at_ms=number * INITIAL_ARRIVALS_MS / n_initial,
                kind=RequestKind.GENERATION,
                workspace=random.choice(workload.topology.workspaces()),
                region=random.choice(workload.topology.regions),
                balancer_draw=random.random(),
                prompt=f"standing {number} [length={n_tokens}]",
                n_tokens=n_tokens,
                is_straggler=True,
            )
        )
    return initial
