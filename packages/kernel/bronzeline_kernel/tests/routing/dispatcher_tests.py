import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.admission import WorkspaceShare
from bronzeline_kernel.routing import WorkClass
from bronzeline_kernel.routing.messages import (
    DrainStarted,
    GrantFailed,
    OptionsUpdated,
    PeerMessageReceived,
    Slot,
    SlotTransfer,
    UpstreamsRead,
)
from bronzeline_kernel.tests.routing.simulation import DispatchSimulation

STEP_MS = 80.0


class Idle:
    """Time how long a ticket waits while a slot that it could have is idle."""

    def __init__(self, loop):
        self.loop = loop
        self.since_ms = {}
        self.longest_ms = 0.0

    def look(self):
        loop = self.loop
        is_free = any(
            loop.n_running(engine.upstream_id) < loop.n_slots for engine in loop.engines
        )
        waiting = loop.waiting_ids() if is_free else ()
        self.since_ms = {
            ticket_id: self.since_ms.get(ticket_id, loop.now_ms)
            for ticket_id in waiting
        }
        for since_ms in self.since_ms.values():
            self.longest_ms = max(self.longest_ms, loop.now_ms - since_ms)


def add_load(loop, duration_ms, n_per_s, length_ms, workspaces=("w-0",)):
    end_ms = loop.now_ms + duration_ms
    at_ms = loop.now_ms
    while at_ms < end_ms:
        at_ms += loop.random.expovariate(n_per_s / 1000.0)
        router_id = loop.random.choice(sorted(loop.alive_ids))
        length = loop.random.expovariate(1.0 / length_ms)
        workspace = loop.random.choice(workspaces)

        def arrive(router_id=router_id, length=length, workspace=workspace):
            loop.request(router_id, length, workspace)

        loop.at(at_ms, arrive)


class DispatcherTests(unittest.TestCase):
    def test_the_slots_of_each_engine_are_shared_out_once(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        held = {
            item.upstream_id: loop.n_held(item.upstream_id) for item in loop.engines
        }
        self.assertEqual(set(held.values()), {loop.n_slots})

    @params((0.5, None), (0.9, None), (1.3, None), (0.9, (3, 5, 8, 4, 0, 7, 6, 2, 1)))
    def test_no_slot_stays_idle_while_work_waits(self, load_ratio, order):
        loop = DispatchSimulation(order=order)
        loop.run_until(6_000.0)
        n_per_s = load_ratio * 72 * 1000.0 / 1_300.0
        add_load(loop, 20_000.0, n_per_s, 1_300.0)
        idle = Idle(loop)
        most = 0
        while loop.now_ms < 26_000.0:
            loop.run_until(loop.now_ms + 4.0)
            idle.look()
            running = [loop.n_running(item.upstream_id) for item in loop.engines]
            most = max(most, *running)
        self.assertLessEqual(idle.longest_ms, STEP_MS)
        self.assertLessEqual(most, loop.n_slots)

    def test_work_beyond_the_engines_is_refused_with_spread_retry_times(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        add_load(loop, 10_000.0, 2.0 * 72 / 1.3, 1_300.0)
        loop.run_until(20_000.0)
        waits = [grant.wait_ms for grant in loop.grants.values()]
        self.assertLess(max(waits), 910.0)
        self.assertGreater(len(loop.refusals), 200)
        retries = {round(item.retry_after_ms) for item in loop.refusals.values()}
        self.assertGreater(len(retries), 0.8 * len(loop.refusals))

    def test_slots_come_back_after_lost_messages_and_a_lost_router(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        add_load(loop, 8_000.0, 60.0, 1_000.0)
        loop.drops_message = lambda source, target: loop.random.random() < 0.1
        loop.run_until(10_000.0)
        loop.alive_ids.discard("router-4")
        loop.tell_routers()
        loop.run_until(14_500.0)
        loop.drops_message = lambda source, target: False
        loop.run_until(40_000.0)
        held = [loop.n_held(item.upstream_id) for item in loop.engines]
        self.assertEqual(held, [loop.n_slots] * 9)

    def test_slots_held_twice_after_a_healed_partition_are_recalled(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        again = tuple(Slot(index, index) for index in range(10))
        loop.send(
            "router-0", PeerMessageReceived("router-1", SlotTransfer("engine-1", again))
        )
        loop.run_until(30_000.0)
        self.assertEqual(loop.n_held("engine-1"), loop.n_slots)

    @params("list", "refusal")
    def test_one_sign_of_leaving_stops_new_work_everywhere(self, sign):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        add_load(loop, 10_000.0, 40.0, 1_000.0)
        loop.run_until(7_000.0)
        if sign == "list":
            engines = tuple(
                replace(item, is_leaving=item.upstream_id == "engine-2")
                for item in loop.engines
            )
            loop.send("router-0", UpstreamsRead(engines))
        else:
            on_it = [key for key, value in loop.running.items() if value == "engine-2"]
            for router_id in loop.routers:
                loop.send(router_id, GrantFailed(on_it[0], "upstream is leaving"))
        for router_id in loop.routers:
            # The list lags on the other routers and shows nothing yet.
            loop.send(router_id, UpstreamsRead(tuple(loop.engines)))
        loop.run_until(7_050.0)
        before = set(loop.grants)
        loop.run_until(16_000.0)
        later = [item for key, item in loop.grants.items() if key not in before]
        self.assertNotIn("engine-2", {item.upstream.upstream_id for item in later})
        self.assertGreater(len(later), 100)

    def test_a_burst_of_one_workspace_does_not_make_another_wait(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        add_load(loop, 10_000.0, 2.0 * 72 / 1.3, 1_300.0, ("large",))
        add_load(loop, 10_000.0, 4.0, 1_300.0, ("small-1", "small-2"))
        loop.run_until(20_000.0)
        refused = [item.subject for item in loop.decisions if item.kind == "refuse"]
        small = [key for key in refused if loop.workspaces[key] != "large"]
        self.assertGreater(len(refused), 100)
        self.assertEqual(small, [])

    def test_a_workspaces_limit_holds_for_the_fleet(self):
        loop = DispatchSimulation()
        shares = {"w-0": WorkspaceShare(max_running=20)}
        for router in loop.routers.values():
            router.handle(
                OptionsUpdated(replace(router.options, shares=shares)), loop.now_ms
            )
        loop.run_until(6_000.0)
        add_load(loop, 10_000.0, 60.0, 1_000.0)
        most = 0
        while loop.now_ms < 16_000.0:
            loop.run_until(loop.now_ms + 20.0)
            most = max(most, len(loop.running))
        # Each router learns the others' share within a second.
        self.assertLessEqual(most, 20 + 9)

    def test_a_router_that_starts_learns_at_once_what_is_shared_out(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        loop.kill_router("router-4")
        loop.run_until(6_100.0)
        loop.restart_router("router-4")
        loop.run_until(6_200.0)
        ledger = loop.routers["router-4"].slots.ledger
        self.assertEqual(len(ledger.shared_ids()), len(loop.engines))

    def test_a_stopping_router_gives_back_its_slots(self):
        loop = DispatchSimulation()
        loop.run_until(6_000.0)
        loop.send("router-3", DrainStarted())
        loop.run_until(6_500.0)
        ledger = loop.routers["router-3"].slots.ledger
        self.assertEqual(ledger.held(), {})

    def test_work_whose_engine_failed_goes_before_new_work(self):
        loop = DispatchSimulation(n_routers=1, n_engines=2, n_slots=1, n_regions=1)
        loop.run_until(4_000.0)
        for _ in range(2):
            loop.request("router-0", 400.0)
        first = loop.request("router-0", 1.0)
        again = loop.request("router-0", 1.0, excluded_ids=("engine-9",))
        loop.run_until(6_000.0)
        order = list(loop.grants)
        self.assertLess(order.index(again), order.index(first))

    def test_a_generation_that_has_begun_is_never_refused_for_its_wait(self):
        loop = DispatchSimulation(n_routers=1, n_engines=1, n_slots=1, n_regions=1)
        loop.run_until(4_000.0)
        loop.request("router-0", 9_000.0)
        begun = loop.request(
            "router-0", 1.0, work_class=WorkClass.RESUME, n_tokens_held=5
        )
        loop.run_until(14_000.0)
        self.assertIn(begun, loop.grants)

    def test_repeats_beyond_the_budget_wait_behind_first_time_work(self):
        loop = DispatchSimulation(n_routers=1, n_engines=1, n_slots=1, n_regions=1)
        loop.run_until(4_000.0)
        loop.request("router-0", 100.0)
        resumes = [
            loop.request("router-0", 1.0, work_class=WorkClass.RESUME)
            for _ in range(22)
        ]
        first = loop.request("router-0", 1.0)
        loop.run_until(6_000.0)
        order = list(loop.grants)
        self.assertLess(order.index(resumes[0]), order.index(first))
        self.assertLess(order.index(first), order.index(resumes[-1]))


class FairnessTests(unittest.TestCase):
    @settings(max_examples=30, deadline=None)
    @given(
        st.integers(0, 10_000),
        st.lists(st.sampled_from(["a", "b", "c"]), min_size=4, max_size=30),
        st.sampled_from([(1.0, 1.0, 1.0), (1.0, 2.0, 4.0)]),
    )
    def test_grants_equal_those_of_a_naive_fair_queue(self, seed, names, weights):
        loop = DispatchSimulation(
            n_routers=1, n_engines=1, n_slots=3, seed=seed, n_regions=1
        )
        shares = dict(zip("abc", map(WorkspaceShare, weights), strict=True))
        router = loop.routers["router-0"]
        options = replace(router.options, shares=shares, first_token_target_ms=1e6)
        loop.run_until(4_000.0)
        loop.send("router-0", OptionsUpdated(options))
        for number, name in enumerate(names):
            loop.at(
                4_000.0 + number,
                lambda name=name: loop.request("router-0", 500.0, name),
            )
        loop.run_until(60_000.0)
        granted = [loop.workspaces[ticket_id] for ticket_id in loop.grants]
        expected = naive_order(names, dict(zip("abc", weights, strict=True)))
        self.assertEqual(granted, expected)


def naive_order(names, weights):
    """Serve the workspace with the least running for its weight, by hand."""
    waiting = [(4_000.0 + number, name) for number, name in enumerate(names)]
    running = []
    granted = []
    now_ms = 4_000.0
    while waiting or running:
        for end_ms, name in [item for item in running if item[0] <= now_ms]:
            running.remove((end_ms, name))
            give(waiting, running, granted, weights, now_ms)
        give(waiting, running, granted, weights, now_ms)
        times = [item[0] for item in running]
        times += [item[0] for item in waiting if item[0] > now_ms]
        now_ms = min(times) if times else now_ms
        if not times:
            break
    return granted


def give(waiting, running, granted, weights, now_ms):
    while len(running) < 3:
        here = [item for item in waiting if item[0] <= now_ms]
        if not here:
            return
        used = {name: sum(item[1] == name for item in running) for name in weights}
        chosen = min(here, key=lambda item: (used[item[1]] / weights[item[1]], item[0]))
        waiting.remove(chosen)
        running.append((now_ms + 500.0, chosen[1]))
        granted.append(chosen[1])
