import unittest

from hypothesis import example, given, settings
from hypothesis import strategies as st

from bronzeline_kernel.membership import MembershipOptions, MemberState
from bronzeline_standins.membership_simulation import MembershipSimulation

STEPS = st.sampled_from(["fail", "restart", "stop", "cut", "heal", "wait"])


class WatchedLoop(MembershipSimulation):
    """Note every incarnation that a view ever showed."""

    def check_incarnations(self, seen):
        for router_id, router in self.routers.items():
            for member in router.members.all():
                key = (router_id, router.own.incarnation, member.info.router_id)
                newest = seen.get(key, (0, 0))
                shown = (member.incarnation, member.revision)
                assert shown >= newest, (key, shown, newest)
                seen[key] = shown

    def apply(self, step, number):
        router_id = f"router-{number % len(self.listing)}"
        match step:
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
        st.lists(st.tuples(STEPS, st.integers(0, 15)), max_size=6),
    )
    @example(seed=0, size=16, steps=[("fail", 0), ("cut", 2)])
    def test_views_converge_and_incarnations_only_rise(self, seed, size, steps):
        loop = WatchedLoop(size, 3, seed, MembershipOptions())
        seen = {}
        for step, number in steps:
            loop.apply(step, number)
            loop.run_for(3_000.0)
            loop.check_incarnations(seen)
        loop.apply("heal", 0)
        for _ in range(20):
            loop.run_for(3_000.0)
            loop.check_incarnations(seen)
        self.check_views(loop)

    def check_views(self, loop):
        usable = {
            router_id
            for router_id, router in loop.routers.items()
            if router.own.state is MemberState.ALIVE
        }
        for router_id, router in loop.routers.items():
            alive = {item.router_id for item in router.members.alive()}
            self.assertEqual(alive, usable - {router_id}, router_id)

    def test_a_refuted_suspicion_heals_without_a_failure(self):
        loop = MembershipSimulation(9, 3, 1, MembershipOptions())
        loop.run_for(3_000.0)
        loop.is_cut = lambda source, target: (
            (source, target) == ("router-1", "router-2")
        )
        loop.run_for(10_000.0)
        states = {change.state for _, _, change in loop.changes}
        self.assertIn(MemberState.SUSPECTED, states)
        self.assertNotIn(MemberState.FAILED, states)
