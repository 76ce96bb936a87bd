import asyncio
import unittest
from itertools import pairwise

from nose2.tools import params

from bronzeline_standins.fault_matrix import FaultMatrix
from bronzeline_standins.tests.matrix.fault_injection import inject_fault
from bronzeline_standins.tests.matrix.fleet_simulation import (
    Caller,
    FleetSimulation,
    engine_request,
    make_spec,
)
from bronzeline_standins.tests.matrix.simulated_clock_loop import run_simulated
from bronzeline_standins.token_chain import first_broken_index, reference_tokens

N_TOKENS = 40
SETTLE_S = 7.0
MAX_RESUME_GAP_MS = 4_000.0
MATRIX = FaultMatrix(
    "generations",
    (
        "engine_death",
        "engine_pause",
        "engine_stall",
        "engine_leaving",
        "silent_connection",
        "link_cut",
        "peers_cut",
        "caller_connection_silent",
        "router_pause",
        "router_death",
        "engine_and_router_death",
    ),
    (
        "accepted",
        "queued",
        "dispatched",
        "first_token",
        "streaming",
        "finishing",
        "delivered",
    ),
)
SECOND_FAULTS = (
    "engine_death",
    "engine_pause",
    "silent_connection",
    "caller_connection_silent",
    "router_death",
)
COMMAND = "nose2 -s packages bronzeline_standins.tests.matrix.generations_matrix_tests"


def has_reached(fleet, caller, step):
    match step:
        case "accepted":
            return True
        case "queued":
            return fleet.now_ms() >= 10.0
        case "dispatched":
            return fleet.n_connections > 0
        case "first_token":
            return len(caller.tokens) >= 1
        case "streaming":
            return len(caller.tokens) >= N_TOKENS // 2
        case "finishing":
            return len(caller.tokens) >= N_TOKENS
        case "delivered":
            return caller.n_connections > 1 or caller.is_finished


async def run_cell(fleet, caller, cell, second):
    caller.loses_end = cell.step == "delivered"
    caller.connect("router-0")
    await fleet.wait_until(lambda: has_reached(fleet, caller, cell.step))
    fault_at_ms = fleet.now_ms()
    inject_fault(fleet, caller, cell.fault)
    if second is not None:
        delay_ms, fault = second
        await asyncio.sleep(delay_ms / 1000.0)
        inject_fault(fleet, caller, fault)
    await fleet.wait_until(lambda: caller.is_finished)
    times_ms = [fault_at_ms, *(t for t in caller.token_times_ms if t > fault_at_ms)]
    gaps_ms = [after - before for before, after in pairwise(times_ms)]
    return max(gaps_ms, default=0.0)


def simulate(cell, seed, second=None, **options):
    async def work(loop):
        fleet = FleetSimulation(loop, seed, **options)
        spec = make_spec(N_TOKENS, idempotency_key="key-1")
        caller = Caller(fleet, spec)
        gap_ms = await run_cell(fleet, caller, cell, second)
        await asyncio.sleep(SETTLE_S)
        return fleet, caller, gap_ms

    return run_simulated(work)


VARIANTS = (
    ("once", {}),
    ("twice", {}),
    ("together", {}),
    ("engines_ignore_fences", {"ignores_fence": True}),
    ("same_tokens", {"is_salted": False}),
)


class GenerationsMatrixTests(unittest.TestCase):
    def check(self, caller, fleet, gap_ms, what):
        spec = caller.spec
        message = f"{what}; repeat with: {COMMAND}; failure={caller.failure}"
        broken = first_broken_index(engine_request(spec), caller.tokens)
        self.assertIsNone(broken, message)
        self.assertEqual(len(caller.tokens), N_TOKENS, message)
        self.assertIsNotNone(caller.end, message)
        self.assertEqual(caller.end.reason, "length", message)
        self.assertEqual(caller.end.n_tokens, N_TOKENS, message)
        self.assertEqual(caller.end.n_prompt_tokens, 2, message)
        self.assertEqual(
            fleet.n_streams(), 0, f"{message}; an engine still runs a stream"
        )
        for router in fleet.routers.values():
            self.assertEqual(router.service.n_running, 0, message)
            self.assertEqual(router.dispatch.n_granted, 0, message)
        return message

    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed, (variant, options) in enumerate(VARIANTS):
            second = None
            if variant == "twice":
                second = (700.0, cell.fault)
            if variant == "together":
                index = len(cell.fault) + len(cell.step)
                second = (0.0, SECOND_FAULTS[index % len(SECOND_FAULTS)])
            fleet, caller, gap_ms = simulate(cell, seed, second, **options)
            what = f"{cell} {variant} seed={seed}"
            message = self.check(caller, fleet, gap_ms, what)
            if variant in ("once", "engines_ignore_fences"):
                self.assertLess(gap_ms, MAX_RESUME_GAP_MS, message)
            if variant == "same_tokens":
                expected = list(reference_tokens(engine_request(caller.spec)))
                self.assertEqual(caller.tokens, expected, message)
