"""Inject every fault at every step of a planned stop."""

import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.routing.messages import (
    DrainStarted,
    LoadRead,
    UpstreamsRead,
)
from bronzeline_kernel.tests.routing.dispatcher_tests import add_load
from bronzeline_kernel.tests.routing.simulation import DispatchSimulation
from bronzeline_standins.fault_matrix import FaultMatrix

ROUTER = "router-4"
ENGINE = "engine-4"
STOP_MS = 7_000.0
DRAIN_LIMIT_MS = 3_000.0

MATRIX = FaultMatrix(
    "planned_stops",
    faults=(
        "none",
        "messages_lost",
        "home_dies",
        "list_seen_by_one",
        "list_flaps",
        "router_cut_off_from_list",
    ),
    steps=("router_draining", "router_restarted", "engine_leaving", "engine_back"),
)


class Case:
    def __init__(self, seed):
        self.simulation = DispatchSimulation(seed=seed)
        self.simulation.run_until(6_000.0)
        add_load(self.simulation, 12_000.0, 30.0, 900.0)
        self.simulation.run_until(STOP_MS)
        self.fault = "none"

    def inject(self, fault):
        self.fault = fault
        simulation = self.simulation
        if fault == "messages_lost":
            simulation.drops_message = lambda source, target: (
                simulation.random.random() < 0.2
            )
        elif fault == "home_dies":
            homes = simulation.routers["router-0"].home_ids()
            victim = next(item for item in homes if item != ROUTER)
            simulation.kill_router(victim)

    def send_listing(self, is_leaving):
        engines = tuple(
            replace(item, is_leaving=is_leaving and item.upstream_id == ENGINE)
            for item in self.simulation.engines
        )
        readers = sorted(self.simulation.alive_ids)
        if is_leaving and self.fault == "list_seen_by_one":
            readers = readers[:1]
        elif is_leaving and self.fault == "router_cut_off_from_list":
            readers = readers[1:]
        for router_id in readers:
            self.simulation.send(router_id, UpstreamsRead(engines))
        if self.fault == "list_flaps":
            for router_id in readers:
                self.simulation.send(
                    router_id, UpstreamsRead(tuple(self.simulation.engines))
                )

    def reach(self, step):
        simulation = self.simulation
        if step.startswith("router"):
            simulation.draining.add(ROUTER)
            simulation.send(ROUTER, DrainStarted())
            simulation.run_until(STOP_MS + 1_500.0)
        if step == "router_restarted":
            simulation.kill_router(ROUTER)
            simulation.run_until(STOP_MS + 2_000.0)
            simulation.restart_router(ROUTER)
        if step.startswith("engine"):
            self.send_listing(is_leaving=True)
            simulation.run_until(STOP_MS + DRAIN_LIMIT_MS)
        if step == "engine_back":
            for router_id in sorted(simulation.alive_ids):
                simulation.send(router_id, LoadRead(ENGINE, None))
            for _ in range(3):
                self.send_listing(is_leaving=False)


class PlannedStopsMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                case = Case(seed)
                case.inject(cell.fault)
                case.reach(cell.step)
                before = set(case.simulation.grants)
                case.simulation.run_until(STOP_MS + 9_000.0)
                later = [key for key in case.simulation.grants if key not in before]
                case.simulation.drops_message = lambda source, target: False
                case.simulation.run_until(30_000.0)
                self.check(case, cell, later)

    def check(self, case, cell, later):
        simulation = case.simulation
        used = {simulation.grants[key].upstream.upstream_id for key in later}
        if cell.step == "engine_leaving":
            self.assertNotIn(ENGINE, used)
        elif cell.step == "engine_back":
            self.assertIn(ENGINE, used)
        answered = set(simulation.grants) | set(simulation.refusals)
        requested = {
            key
            for key in simulation.durations
            if simulation.owners[key] in simulation.alive_ids
        }
        self.assertEqual(requested - answered, set())
        held = [simulation.n_held(item.upstream_id) for item in simulation.engines]
        self.assertEqual(held, [simulation.n_slots] * len(held))
