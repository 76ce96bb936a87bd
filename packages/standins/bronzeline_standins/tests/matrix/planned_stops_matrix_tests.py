"""Cause every fault at every step of a planned stop."""

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
SIGN_MS = 7_000.0
LIMIT_MS = 3_000.0

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
        self.loop = DispatchSimulation(seed=seed)
        self.loop.run_until(6_000.0)
        add_load(self.loop, 12_000.0, 30.0, 900.0)
        self.loop.run_until(SIGN_MS)
        self.fault = "none"

    def cause(self, fault):
        self.fault = fault
        loop = self.loop
        if fault == "messages_lost":
            loop.drops_message = lambda source, target: loop.random.random() < 0.2
        elif fault == "home_dies":
            homes = loop.routers["router-0"].slots.home.home_ids()
            victim = next(item for item in homes if item != ROUTER)
            loop.kill_router(victim)

    def list_engine(self, is_leaving):
        engines = tuple(
            replace(item, is_leaving=is_leaving and item.upstream_id == ENGINE)
            for item in self.loop.engines
        )
        readers = sorted(self.loop.alive_ids)
        if is_leaving and self.fault == "list_seen_by_one":
            readers = readers[:1]
        elif is_leaving and self.fault == "router_cut_off_from_list":
            readers = readers[1:]
        for router_id in readers:
            self.loop.send(router_id, UpstreamsRead(engines))
        if self.fault == "list_flaps":
            for router_id in readers:
                self.loop.send(router_id, UpstreamsRead(tuple(self.loop.engines)))

    def reach(self, step):
        loop = self.loop
        if step.startswith("router"):
            loop.draining.add(ROUTER)
            loop.send(ROUTER, DrainStarted())
            loop.run_until(SIGN_MS + 1_500.0)
        if step == "router_restarted":
            loop.kill_router(ROUTER)
            loop.run_until(SIGN_MS + 2_000.0)
            loop.restart_router(ROUTER)
        if step.startswith("engine"):
            self.list_engine(is_leaving=True)
            loop.run_until(SIGN_MS + LIMIT_MS)
        if step == "engine_back":
            for router_id in sorted(loop.alive_ids):
                loop.send(router_id, LoadRead(ENGINE, None))
            for _ in range(3):
                self.list_engine(is_leaving=False)


class PlannedStopsMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                case = Case(seed)
                case.cause(cell.fault)
                case.reach(cell.step)
                before = set(case.loop.grants)
                case.loop.run_until(SIGN_MS + 9_000.0)
                later = [key for key in case.loop.grants if key not in before]
                case.loop.drops_message = lambda source, target: False
                case.loop.run_until(30_000.0)
                self.check(case, cell, later)

    def check(self, case, cell, later):
        loop = case.loop
        used = {loop.grants[key].upstream.upstream_id for key in later}
        if cell.step == "engine_leaving":
            self.assertNotIn(ENGINE, used)
        elif cell.step == "engine_back":
            self.assertIn(ENGINE, used)
        answered = set(loop.grants) | set(loop.refusals)
        asked = {key for key in loop.durations if loop.owners[key] in loop.alive_ids}
        self.assertEqual(asked - answered, set())
        held = [loop.n_held(item.upstream_id) for item in loop.engines]
        self.assertEqual(held, [loop.n_slots] * len(held))
