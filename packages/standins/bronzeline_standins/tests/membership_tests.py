import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bronzeline_kernel.membership import MembershipOptions, MemberState
from bronzeline_standins.membership_simulation import MembershipSimulation

FAULTS = st.sampled_from(["fail", "restart", "stop", "cut", "heal", "wait"])


class CheckedSimulation(MembershipSimulation):
    """Check that no router's view goes back to an older incarnation or revision."""

    def check_incarnations(self, newest_shown):
        for router_id, router in self.routers.items():
            for member in router.members.all():
                key = (router_id, router.own.incarnation, member.info.router_id)
                newest = newest_shown.get(key, (0, 0))
                shown = (member.incarnation, member.revision)
                assert shown >= newest, (key, shown, newest)
                newest_shown[key] = shown

    def inject(self, fault, number):
        router_id = f"router-{number % len(self.listing)}"
        match fault:
            case "fail":
                self.fail(router_id)
            case "restart":
                self.start(router_id)
            case "stop" if router_id in self.routers:
                self.stop(router_id)
            case "cut":
                self.is_cut = lambda a, b: (
                    (int(a[7:]) < number) != (int(b[7:]) < number)
                )
            case "heal":
                self.is_cut = lambda a, b: False


class MembershipPropertyTests(unittest.TestCase):
    @settings(max_examples=25, deadline=None)
    @given(
        st.integers(0, 1_000),
        st.sampled_from([5, 16]),
        st.lists(st.tuples(FAULTS, st.integers(0, 15)), max_size=6),
    )
    @example(seed=0, size=16, faults=[("fail", 0), ("cut", 2)])
    def test_views_converge_and_incarnations_never_decrease(self, seed, size, faults):
        simulation = CheckedSimulation(size, 3, seed, MembershipOptions())
        newest_shown = {}
        for fault, number in faults:
            simulation.inject(fault, number)
            simulation.run_for(3_000.0)
            simulation.check_incarnations(newest_shown)
        simulation.inject("heal", 0)
        for _ in range(20):
            simulation.run_for(3_000.0)
            simulation.check_incarnations(newest_shown)
        self.check_views(simulation)

    def check_views(self, simulation):
        usable = {
            router_id
            for router_id, router in simulation.routers.items()
            if router.own.state is MemberState.ALIVE
        }
        for router_id, router in simulation.routers.items():
            alive = {item.router_id for item in router.members.alive()}
            self.assertEqual(alive, usable - {router_id}, router_id)

    def test_a_refuted_suspicion_does_not_end_in_failure(self):
        simulation = MembershipSimulation(9, 3, 1, MembershipOptions())
        simulation.run_for(3_000.0)
        simulation.is_cut = lambda source, target: (
            (source, target) == ("router-1", "router-2")
        )
        simulation.run_for(10_000.0)
        states = {change.state for _, _, change in simulation.changes}
        self.assertIn(MemberState.SUSPECTED, states)
        self.assertNotIn(MemberState.FAILED, states)
