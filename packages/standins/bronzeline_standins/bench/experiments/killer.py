"""Send engine-killing requests to a busy pool and count the generations it loses."""

from __future__ import annotations

import asyncio
import logging
import time
from dataclasses import dataclass, field
from random import Random
from typing import Any

from bronzeline_standins.bench.experiment import Measurement, Measurements
from bronzeline_standins.bench.reconnecting_caller import (
    GenerationCall,
    ReconnectingCaller,
)
from bronzeline_standins.bench.scenario import Scenario
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine import EngineServer
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]

POLL_S = 0.01
QUARANTINED = "quarantined"
RESEND_AFTER_S = 0.05


@dataclass
class KillerOutcome:
    """Hold the engine deaths and the error codes of one request that kills engines."""

    n_deaths: int = 0
    n_deaths_after_refusal: int = 0
    until_refusal_ms: float = 0.0
    codes: list[str] = field(default_factory=list)


class KillerExperiment:
    """Keep ordinary generations running while engine-killing requests arrive."""

    def __init__(
        self, fleet: EmbeddedFleet, options: dict[str, Any], seed: int
    ) -> None:
        self.bystanders: list[GenerationCall] = []
        self.killers: list[KillerOutcome] = []
        self._fleet = fleet
        self._options = options
        self._random = Random(seed)
        self._n_deaths = 0
        self._is_stopping = False
        key = workspace_key(fleet.topology.workspaces()[0])
        self._caller = ReconnectingCaller(
            fleet.topology.model, key, self._ports, self._random
        )

    async def run(self) -> None:
        """Run ordinary generations, and each killer three times under the same key."""
        restarter = asyncio.ensure_future(self._restart_dead_engines())
        n_callers = int(self._options["n_bystanders"])
        workers = [asyncio.ensure_future(self._work(n)) for n in range(n_callers)]
        await asyncio.sleep(float(self._options["warm_up_s"]))
        for number in range(int(self._options["n_killers"])):
            self.killers.append(await self._run_killer(number))
            await asyncio.sleep(float(self._options["between_s"]))
        self._is_stopping = True
        await asyncio.gather(*workers)
        restarter.cancel()

    async def _run_killer(self, number: int) -> KillerOutcome:
        outcome = KillerOutcome()
        n_before = self._n_deaths
        started_s = time.monotonic()
        mark = f"[kill-after={self._options['kill_after_tokens']}]"
        prompt = f"plan {number} {mark}"
        for resend in range(3):
            call = GenerationCall(f"killer-{number}", prompt, 200)
            await self._caller.run(call)
            outcome.codes.append(str(call.answer.error.get("code", "")))
            if resend == 0:
                outcome.until_refusal_ms = (time.monotonic() - started_s) * 1000.0
                outcome.n_deaths = self._n_deaths - n_before
            await asyncio.sleep(RESEND_AFTER_S)
        n_after = self._n_deaths - n_before
        outcome.n_deaths_after_refusal = n_after - outcome.n_deaths
        return outcome

    async def _work(self, worker: int) -> None:
        number = 0
        while not self._is_stopping:
            number += 1
            length = self._random.choice(self._options["lengths"])
            name = f"{worker}-{number}"
            call = GenerationCall(name, f"bystander {name}", length)
            self.bystanders.append(call)
            await self._caller.run(call)

    async def _restart_dead_engines(self) -> None:
        restarting: set[EngineServer] = set()
        while True:
            await asyncio.sleep(POLL_S)
            for engine in self._fleet.engines:
                if not engine.is_alive and engine not in restarting:
                    self._n_deaths += 1
                    restarting.add(engine)
                    loop = asyncio.get_running_loop()
                    loop.call_later(
                        float(self._options["engine_back_after_s"]),
                        _restart,
                        engine,
                        restarting,
                    )

    def _ports(self) -> list[int]:
        return [router.caller_port for router in self._fleet.routers]


def _restart(engine: EngineServer, restarting: set[EngineServer]) -> None:
    engine.start()
    restarting.discard(engine)


async def run(scenario: Scenario, seed: int) -> Measurements:
    """Run the scenario on an embedded fleet and return the measurements."""
    logging.getLogger("tornado").setLevel(logging.CRITICAL)
    topology = TOPOLOGIES[scenario.topology]
    inter_token_ms = float(scenario.options["inter_token_ms"])
    options = EngineOptions(inter_token_ms=inter_token_ms, salt="yes")
    fleet = EmbeddedFleet(topology, engine_options=options, seed=seed)
    await fleet.start()
    experiment = KillerExperiment(fleet, scenario.options, seed)
    try:
        await experiment.run()
        return _measurements(experiment, topology.model)
    finally:
        await fleet.stop()


def _measurements(experiment: KillerExperiment, model: str) -> Measurements:
    killers = experiment.killers
    calls = experiment.bystanders
    n_lost = sum(bool(call.answer.error) or not call.is_over for call in calls)
    first_codes = [item.codes[0] for item in killers]
    later_codes = [code for item in killers for code in item.codes[1:]]
    n_not_refused = sum(code != QUARANTINED for code in first_codes + later_codes)
    n_deaths = [item.n_deaths for item in killers]
    n_after = sum(item.n_deaths_after_refusal for item in killers)
    refusal_ms = max(item.until_refusal_ms for item in killers)
    return [
        Measurement("killers", "requests", len(killers)),
        Measurement("bystanders", "generations", len(calls)),
        Measurement("bystanders_lost", "generations", n_lost),
        Measurement(
            "bystander_tokens_wrong",
            "tokens",
            sum(c.n_wrong_tokens(model) for c in calls),
        ),
        Measurement("deaths_until_quarantine_max", "deaths", max(n_deaths)),
        Measurement(
            "deaths_until_quarantine_mean", "deaths", sum(n_deaths) / len(n_deaths)
        ),
        Measurement("deaths_after_refusal", "deaths", n_after),
        Measurement("answers_not_refused", "answers", n_not_refused),
        Measurement("until_refusal_max", "ms", refusal_ms),
    ]
