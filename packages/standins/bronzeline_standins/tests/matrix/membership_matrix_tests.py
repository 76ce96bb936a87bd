"""Inject every fault of membership at every step of a router's lifecycle."""

import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.membership import (
    Heartbeat,
    MembershipOptions,
    MemberState,
    PeerMessageReceived,
)
from bronzeline_standins.fault_matrix import FaultCell, FaultMatrix
from bronzeline_standins.membership_simulation import MembershipSimulation

N_ROUTERS = 9
TARGET = "router-4"
OTHERS = tuple(f"router-{i}" for i in range(N_ROUTERS) if f"router-{i}" != TARGET)
SETTLE_MS = 15_000.0

MATRIX = FaultMatrix(
    "membership",
    faults=(
        "dies",
        "restarts",
        "pauses",
        "is_cut_off",
        "is_not_heard",
        "does_not_hear",
        "is_missing_from_list",
        "sends_after_restart",
    ),
    steps=("joining", "steady", "suspected", "leaving"),
    impossible={
        FaultCell("is_missing_from_list", "suspected"): "a list accuses nobody",
    },
)


class Case:
    def __init__(self, seed):
        self.simulation = MembershipSimulation(N_ROUTERS, 3, seed, MembershipOptions())
        self.expected = MemberState.ALIVE
        self.n_refused_stale = []

    def reach(self, step):
        if step == "joining":
            return
        self.simulation.run_for(5_000.0)
        if step == "suspected":
            self.simulation.is_cut = lambda source, target: source == TARGET
            while TARGET not in self.suspected_by_any():
                self.simulation.run_for(200.0)
            self.simulation.is_cut = lambda source, target: False
        elif step == "leaving":
            self.simulation.stop(TARGET)
            self.simulation.run_for(200.0)
            self.expected = MemberState.LEAVING

    def suspected_by_any(self):
        return {
            member.info.router_id
            for router in self.simulation.routers.values()
            for member in router.members.all()
            if member.state is MemberState.SUSPECTED
        }

    def inject(self, fault):
        getattr(self, f"_{fault}")()

    def _dies(self):
        self.simulation.fail(TARGET)
        self.expected = MemberState.FAILED

    def _restarts(self):
        self.simulation.fail(TARGET)
        self.simulation.run_for(600.0)
        self.simulation.start(TARGET)
        self.expected = MemberState.ALIVE

    def _pauses(self):
        paused = self.simulation.routers.pop(TARGET)
        self.simulation.run_for(8_000.0)
        self.simulation.routers[TARGET] = paused

    def _cut(self, is_cut):
        self.simulation.is_cut = is_cut
        self.simulation.run_for(8_000.0)
        self.simulation.is_cut = lambda source, target: False

    def _is_cut_off(self):
        self._cut(lambda source, target: TARGET in (source, target))

    def _is_not_heard(self):
        self._cut(lambda source, target: source == TARGET)

    def _does_not_hear(self):
        self._cut(lambda source, target: target == TARGET)

    def _is_missing_from_list(self):
        shorter = tuple(i for i in self.simulation.listing if i.router_id != TARGET)
        for router_id in OTHERS:
            self.simulation.deliver_vm_list(router_id, shorter)

    def _sends_after_restart(self):
        incarnation = self.simulation.routers[TARGET].own.incarnation
        self._restarts()
        self.simulation.run_for(2_000.0)
        for router_id in OTHERS:
            router = self.simulation.routers[router_id]
            n_before = router.n_refused_messages
            message = PeerMessageReceived(TARGET, incarnation, Heartbeat(0))
            router.handle(message, self.simulation.now_ms)
            self.n_refused_stale.append(router.n_refused_messages - n_before)


class MembershipMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed in (1, 2):
            with self.subTest(seed=seed, repeat=f"nose2 -s packages, seed {seed}"):
                case = Case(seed)
                case.reach(cell.step)
                case.inject(cell.fault)
                case.simulation.run_for(SETTLE_MS)
                self.check(case)

    def check(self, case):
        for router_id in OTHERS:
            members = case.simulation.routers[router_id].members
            self.assertEqual(members.member(TARGET).state, case.expected, router_id)
            for other in OTHERS:
                if other != router_id:
                    self.assertTrue(members.is_alive(other), (router_id, other))
        self.assertEqual(case.n_refused_stale, [1] * len(case.n_refused_stale))

    def test_a_router_listed_as_leaving_stays_leaving(self):
        case = Case(1)
        case.reach("steady")
        listing = tuple(
            replace(item, is_leaving=item.router_id == TARGET)
            for item in case.simulation.listing
        )
        case.simulation.deliver_vm_list("router-0", listing)
        self.assertFalse(case.simulation.routers["router-0"].members.is_alive(TARGET))
        case.simulation.deliver_vm_list("router-0")
        case.simulation.run_for(3_000.0)
        for router_id in OTHERS:
            members = case.simulation.routers[router_id].members
            self.assertFalse(members.is_alive(TARGET), router_id)
