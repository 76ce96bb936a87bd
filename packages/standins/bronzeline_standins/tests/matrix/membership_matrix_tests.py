"""Cause every fault of membership at every step of a router's life."""

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
ACCUSED = "router-4"
OTHERS = tuple(f"router-{i}" for i in range(N_ROUTERS) if f"router-{i}" != ACCUSED)
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
        self.loop = MembershipSimulation(N_ROUTERS, 3, seed, MembershipOptions())
        self.expected = MemberState.ALIVE
        self.stale = []

    def reach(self, step):
        if step == "joining":
            return
        self.loop.run_for(5_000.0)
        if step == "suspected":
            self.loop.is_cut = lambda source, target: source == ACCUSED
            while ACCUSED not in self.suspected_somewhere():
                self.loop.run_for(200.0)
            self.loop.is_cut = lambda source, target: False
        elif step == "leaving":
            self.loop.stop(ACCUSED)
            self.loop.run_for(200.0)
            self.expected = MemberState.LEAVING

    def suspected_somewhere(self):
        return {
            member.info.router_id
            for router in self.loop.routers.values()
            for member in router.members.all()
            if member.state is MemberState.SUSPECTED
        }

    def cause(self, fault):
        getattr(self, f"_{fault}")()

    def _dies(self):
        self.loop.fail(ACCUSED)
        self.expected = MemberState.FAILED

    def _restarts(self):
        self.loop.fail(ACCUSED)
        self.loop.run_for(600.0)
        self.loop.start(ACCUSED)
        self.expected = MemberState.ALIVE

    def _pauses(self):
        paused = self.loop.routers.pop(ACCUSED)
        self.loop.run_for(8_000.0)
        self.loop.routers[ACCUSED] = paused

    def _cut(self, is_cut):
        self.loop.is_cut = is_cut
        self.loop.run_for(8_000.0)
        self.loop.is_cut = lambda source, target: False

    def _is_cut_off(self):
        self._cut(lambda source, target: ACCUSED in (source, target))

    def _is_not_heard(self):
        self._cut(lambda source, target: source == ACCUSED)

    def _does_not_hear(self):
        self._cut(lambda source, target: target == ACCUSED)

    def _is_missing_from_list(self):
        shorter = tuple(i for i in self.loop.listing if i.router_id != ACCUSED)
        for router_id in OTHERS:
            self.loop.deliver_vm_list(router_id, shorter)

    def _sends_after_restart(self):
        incarnation = self.loop.routers[ACCUSED].own.incarnation
        self._restarts()
        self.loop.run_for(2_000.0)
        for router_id in OTHERS:
            router = self.loop.routers[router_id]
            n_before = router.n_refused_messages
            heard = PeerMessageReceived(ACCUSED, incarnation, Heartbeat(0))
            router.handle(heard, self.loop.now_ms)
            self.stale.append(router.n_refused_messages - n_before)


class MembershipMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed in (1, 2):
            with self.subTest(seed=seed, repeat=f"nose2 -s packages, seed {seed}"):
                case = Case(seed)
                case.reach(cell.step)
                case.cause(cell.fault)
                case.loop.run_for(SETTLE_MS)
                self.check(case)

    def check(self, case):
        for router_id in OTHERS:
            members = case.loop.routers[router_id].members
            self.assertEqual(members.member(ACCUSED).state, case.expected, router_id)
            for other in OTHERS:
                if other != router_id:
                    self.assertTrue(members.is_alive(other), (router_id, other))
        self.assertEqual(case.stale, [1] * len(case.stale))

    def test_a_leaving_sign_in_the_list_counts_at_once_and_stays(self):
        case = Case(1)
        case.reach("steady")
        listing = tuple(
            replace(item, is_leaving=item.router_id == ACCUSED)
            for item in case.loop.listing
        )
        case.loop.deliver_vm_list("router-0", listing)
        self.assertFalse(case.loop.routers["router-0"].members.is_alive(ACCUSED))
        case.loop.deliver_vm_list("router-0")
        case.loop.run_for(3_000.0)
        for router_id in OTHERS:
            members = case.loop.routers[router_id].members
            self.assertFalse(members.is_alive(ACCUSED), router_id)
