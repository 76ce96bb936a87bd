"""Send requests that kill each engine that runs them, while other faults occur."""

import asyncio
import unittest

from nose2.tools import params

from bronzeline_kernel.generation import request_hash
from bronzeline_standins.fault_matrix import FaultMatrix
from bronzeline_standins.tests.matrix.fleet_simulation import (
    Caller,
    FleetSimulation,
    engine_request,
    make_spec,
)
from bronzeline_standins.tests.matrix.simulated_clock_loop import run_simulated
from bronzeline_standins.token_chain import first_broken_index

MAX_DEATHS = 3
N_BYSTANDERS = 20
N_TOKENS = 60
MATRIX = FaultMatrix(
    "killers",
    ("killer", "killer_resent_at_once", "router_death", "engine_death"),
    ("first_token", "streaming", "alone"),
)
KILL_AFTER = {"first_token": 1, "streaming": 20, "alone": 20}


def killer_spec(n_tokens):
    prompt = f"a plan that kills [kill-after={n_tokens}]"
    return make_spec(N_TOKENS, prompt=prompt, generation_id="killer")


def bystander_spec(number):
    return make_spec(
        N_TOKENS,
        prompt=f"plan {number}",
        generation_id=f"bystander-{number}",
        idempotency_key=f"key-{number}",
    )


def restart_dead_engines(fleet):
    for engine in fleet.engines.values():
        if not engine.is_alive:
            asyncio.get_running_loop().call_later(2.0, restart, engine)


def restart(engine):
    if not engine.is_alive:
        engine.start()


async def simulate(loop, cell, seed):
    fleet = FleetSimulation(loop, seed, n_engines=6)
    n_bystanders = 0 if cell.step == "alone" else N_BYSTANDERS
    callers = [Caller(fleet, bystander_spec(n)) for n in range(n_bystanders)]
    for number, caller in enumerate(callers):
        caller.connect(f"router-{number % 4}")
    await asyncio.sleep(0.1)
    killer = Caller(fleet, killer_spec(KILL_AFTER[cell.step]))
    killer.connect("router-1")
    resent = []
    has_fault = False
    refusing_routers = set()
    while not (killer.is_finished and all(item.is_finished for item in callers)):
        await asyncio.sleep(0.01)
        restart_dead_engines(fleet)
        n_deaths = sum(engine.n_deaths for engine in fleet.engines.values())
        if n_deaths and cell.fault == "killer_resent_at_once" and not resent:
            resent.append(Caller(fleet, killer.spec))
            resent[0].connect("router-2")
        if n_deaths and not has_fault and cell.fault == "router_death":
            fleet.kill_router("router-3")
            for caller in callers:
                if caller.router_id == "router-3":
                    caller.lose_connection()
        if n_deaths and not has_fault and cell.fault == "engine_death":
            next(iter(fleet.engines.values())).die()
        has_fault = has_fault or n_deaths > 0
        if killer.is_finished and not refusing_routers:
            refusing_routers = find_refusing_routers(fleet, killer.spec)
        assert fleet.now_ms() < 60_000.0, "generations still running after 60 s"
    return fleet, killer, resent, callers, refusing_routers


def find_refusing_routers(fleet, spec):
    return {
        name
        for name, router in fleet.routers.items()
        if router.quarantine.is_quarantined(spec)
    }


class KillersMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed in range(6):
            message = f"{cell} seed={seed}"
            fleet, killer, resent, callers, refusing_routers = run_simulated(
                lambda loop, seed=seed: simulate(loop, cell, seed)
            )
            self.assertEqual(killer.failure.code, "quarantined", message)
            self.assertEqual(refusing_routers, set(fleet.routers), message)
            # The unrelated engine death counts as well, and may delay the killer's
            # quarantine by one more death.
            n_unrelated = 2 if cell.fault == "engine_death" else 0
            n_deaths = sum(engine.n_deaths for engine in fleet.engines.values())
            self.assertLessEqual(
                n_deaths, MAX_DEATHS + n_unrelated + len(resent), message
            )
            for caller in callers:
                broken = first_broken_index(engine_request(caller.spec), caller.tokens)
                self.assertIsNone(broken, message)
                self.assertIsNotNone(caller.end, f"{message} {caller.failure}")
                self.assertEqual(len(caller.tokens), N_TOKENS, message)

    @params("lifted", "expired")
    def test_a_quarantine_ends(self, ending):
        async def simulate_two_callers(loop):
            fleet = FleetSimulation(loop, 1)
            router = fleet.routers["router-1"]
            spec = make_spec(3, prompt="a plan")
            entry = router.quarantine.tracker.quarantine(
                request_hash(spec), "guild-00", (), "test", loop.now_ms() + 5_000.0
            )
            first = Caller(fleet, spec)
            first.connect("router-1")
            await asyncio.sleep(1.0)
            if ending == "lifted":
                self.assertTrue(router.quarantine.lift(entry.entry_id))
            else:
                await asyncio.sleep(5.0)
            second = Caller(fleet, spec)
            second.connect("router-1")
            await asyncio.sleep(1.0)
            return first, second

        first, second = run_simulated(simulate_two_callers)
        self.assertEqual(first.failure.code, "quarantined")
        self.assertEqual(second.end.n_tokens, 3)
