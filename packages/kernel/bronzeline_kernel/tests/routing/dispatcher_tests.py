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

MAX_IDLE_MS = 80.0


class IdleSlotMonitor:
    """Measure how long tickets wait while a slot that fits them is idle."""

    def __init__(self, simulation):
        self.simulation = simulation
        self.since_ms = {}
        self.longest_ms = 0.0

    def check(self):
        simulation = self.simulation
        has_free_slot = any(
            simulation.n_running(engine.upstream_id) < simulation.n_slots
            for engine in simulation.engines
        )
        waiting = simulation.waiting_ids() if has_free_slot else ()
        self.since_ms = {
            ticket_id: self.since_ms.get(ticket_id, simulation.now_ms)
            for ticket_id in waiting
        }
        for since_ms in self.since_ms.values():
            self.longest_ms = max(self.longest_ms, simulation.now_ms - since_ms)


def add_load(simulation, duration_ms, n_per_s, length_ms, workspaces=("w-0",)):
    end_ms = simulation.now_ms + duration_ms
    at_ms = simulation.now_ms
    while at_ms < end_ms:
        at_ms += simulation.random.expovariate(n_per_s / 1000.0)
        router_id = simulation.random.choice(sorted(simulation.alive_ids))
        length = simulation.random.expovariate(1.0 / length_ms)
        workspace = simulation.random.choice(workspaces)

        def arrive(router_id=router_id, length=length, workspace=workspace):
            simulation.request(router_id, length, workspace)

        simulation.at(at_ms, arrive)


class DispatcherTests(unittest.TestCase):
    def test_each_slot_of_an_engine_is_allocated_once(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        held = {
            item.upstream_id: simulation.n_held(item.upstream_id)
            for item in simulation.engines
        }
        self.assertEqual(set(held.values()), {simulation.n_slots})

    @params((0.5, None), (0.9, None), (1.3, None), (0.9, (3, 5, 8, 4, 0, 7, 6, 2, 1)))
    def test_no_slot_is_idle_for_long_while_work_waits(self, load_ratio, order):
        simulation = DispatchSimulation(order=order)
        simulation.run_until(6_000.0)
        n_per_s = load_ratio * 72 * 1000.0 / 1_300.0
        add_load(simulation, 20_000.0, n_per_s, 1_300.0)
        monitor = IdleSlotMonitor(simulation)
        max_running = 0
        while simulation.now_ms < 26_000.0:
            simulation.run_until(simulation.now_ms + 4.0)
            monitor.check()
            running = [
                simulation.n_running(item.upstream_id) for item in simulation.engines
            ]
            max_running = max(max_running, *running)
        self.assertLessEqual(monitor.longest_ms, MAX_IDLE_MS)
        self.assertLessEqual(max_running, simulation.n_slots)

    def test_work_beyond_capacity_is_refused_with_varied_retry_times(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        add_load(simulation, 10_000.0, 2.0 * 72 / 1.3, 1_300.0)
        simulation.run_until(20_000.0)
        waits = [grant.wait_ms for grant in simulation.grants.values()]
        self.assertLess(max(waits), 910.0)
        self.assertGreater(len(simulation.refusals), 200)
        retries = {round(item.retry_after_ms) for item in simulation.refusals.values()}
        self.assertGreater(len(retries), 0.8 * len(simulation.refusals))

    def test_slots_are_recovered_after_lost_messages_and_a_lost_router(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        add_load(simulation, 8_000.0, 60.0, 1_000.0)
        simulation.drops_message = lambda source, target: (
            simulation.random.random() < 0.1
        )
        simulation.run_until(10_000.0)
        simulation.alive_ids.discard("router-4")
        simulation.update_routers()
        simulation.run_until(14_500.0)
        simulation.drops_message = lambda source, target: False
        simulation.run_until(40_000.0)
        held = [simulation.n_held(item.upstream_id) for item in simulation.engines]
        self.assertEqual(held, [simulation.n_slots] * 9)

    def test_slots_held_twice_after_a_healed_partition_are_recalled(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        duplicate = tuple(Slot(index, index) for index in range(10))
        simulation.send(
            "router-0",
            PeerMessageReceived("router-1", SlotTransfer("engine-1", duplicate)),
        )
        simulation.run_until(30_000.0)
        self.assertEqual(simulation.n_held("engine-1"), simulation.n_slots)

    @params("list", "refusal")
    def test_one_leaving_signal_stops_new_work_on_all_routers(self, signal):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        add_load(simulation, 10_000.0, 40.0, 1_000.0)
        simulation.run_until(7_000.0)
        if signal == "list":
            engines = tuple(
                replace(item, is_leaving=item.upstream_id == "engine-2")
                for item in simulation.engines
            )
            simulation.send("router-0", UpstreamsRead(engines))
        else:
            on_engine = [
                key for key, value in simulation.running.items() if value == "engine-2"
            ]
            for router_id in simulation.routers:
                simulation.send(
                    router_id, GrantFailed(on_engine[0], "upstream is leaving")
                )
        for router_id in simulation.routers:
            # The lists of these routers are stale and do not show it as leaving yet.
            simulation.send(router_id, UpstreamsRead(tuple(simulation.engines)))
        simulation.run_until(7_050.0)
        before = set(simulation.grants)
        simulation.run_until(16_000.0)
        later = [item for key, item in simulation.grants.items() if key not in before]
        self.assertNotIn("engine-2", {item.upstream.upstream_id for item in later})
        self.assertGreater(len(later), 100)

    def test_a_burst_of_one_workspace_does_not_cause_refusals_of_others(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        add_load(simulation, 10_000.0, 2.0 * 72 / 1.3, 1_300.0, ("large",))
        add_load(simulation, 10_000.0, 4.0, 1_300.0, ("small-1", "small-2"))
        simulation.run_until(20_000.0)
        refused = [
            item.subject for item in simulation.decisions if item.kind == "refuse"
        ]
        small = [key for key in refused if simulation.workspaces[key] != "large"]
        self.assertGreater(len(refused), 100)
        self.assertEqual(small, [])

    def test_a_workspace_limit_is_enforced_across_the_fleet(self):
        simulation = DispatchSimulation()
        shares = {"w-0": WorkspaceShare(max_running=20)}
        for router in simulation.routers.values():
            router.handle(
                OptionsUpdated(replace(router.state.options, shares=shares)),
                simulation.now_ms,
            )
        simulation.run_until(6_000.0)
        add_load(simulation, 10_000.0, 60.0, 1_000.0)
        max_running = 0
        while simulation.now_ms < 16_000.0:
            simulation.run_until(simulation.now_ms + 20.0)
            max_running = max(max_running, len(simulation.running))
        # Each router learns the usage of its peers within a second.
        self.assertLessEqual(max_running, 20 + 9)

    def test_a_restarted_router_is_notified_of_allocated_slots(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        simulation.kill_router("router-4")
        simulation.run_until(6_100.0)
        simulation.restart_router("router-4")
        simulation.run_until(6_200.0)
        ledger = simulation.routers["router-4"].state.ledger
        self.assertEqual(len(ledger.allocated_ids()), len(simulation.engines))

    def test_a_draining_router_returns_its_slots(self):
        simulation = DispatchSimulation()
        simulation.run_until(6_000.0)
        simulation.send("router-3", DrainStarted())
        simulation.run_until(6_500.0)
        ledger = simulation.routers["router-3"].state.ledger
        self.assertEqual(ledger.held(), {})

    def test_work_whose_engine_failed_precedes_new_work(self):
        simulation = DispatchSimulation(
            n_routers=1, n_engines=2, n_slots=1, n_regions=1
        )
        simulation.run_until(4_000.0)
        for _ in range(2):
            simulation.request("router-0", 400.0)
        first = simulation.request("router-0", 1.0)
        retried = simulation.request("router-0", 1.0, excluded_ids=("engine-9",))
        simulation.run_until(6_000.0)
        order = list(simulation.grants)
        self.assertLess(order.index(retried), order.index(first))

    def test_a_started_generation_is_never_refused_for_its_wait(self):
        simulation = DispatchSimulation(
            n_routers=1, n_engines=1, n_slots=1, n_regions=1
        )
        simulation.run_until(4_000.0)
        simulation.request("router-0", 9_000.0)
        started = simulation.request(
            "router-0", 1.0, work_class=WorkClass.RESUME, n_tokens_held=5
        )
        simulation.run_until(14_000.0)
        self.assertIn(started, simulation.grants)

    def test_retries_beyond_the_budget_wait_behind_new_work(self):
        simulation = DispatchSimulation(
            n_routers=1, n_engines=1, n_slots=1, n_regions=1
        )
        simulation.run_until(4_000.0)
        simulation.request("router-0", 100.0)
        resumes = [
            simulation.request("router-0", 1.0, work_class=WorkClass.RESUME)
            for _ in range(22)
        ]
        first = simulation.request("router-0", 1.0)
        simulation.run_until(6_000.0)
        order = list(simulation.grants)
        self.assertLess(order.index(resumes[0]), order.index(first))
        self.assertLess(order.index(first), order.index(resumes[-1]))


class FairnessTests(unittest.TestCase):
    @settings(max_examples=30, deadline=None)
    @given(
        st.integers(0, 10_000),
        st.lists(st.sampled_from(["a", "b", "c"]), min_size=4, max_size=30),
        st.sampled_from([(1.0, 1.0, 1.0), (1.0, 2.0, 4.0)]),
    )
    def test_grants_match_a_reference_fair_queue(self, seed, names, weights):
        simulation = DispatchSimulation(
            n_routers=1, n_engines=1, n_slots=3, seed=seed, n_regions=1
        )
        shares = dict(zip("abc", map(WorkspaceShare, weights), strict=True))
        router = simulation.routers["router-0"]
        options = replace(
            router.state.options, shares=shares, first_token_target_ms=1e6
        )
        simulation.run_until(4_000.0)
        simulation.send("router-0", OptionsUpdated(options))
        for number, name in enumerate(names):
            simulation.at(
                4_000.0 + number,
                lambda name=name: simulation.request("router-0", 500.0, name),
            )
        simulation.run_until(60_000.0)
        granted = [simulation.workspaces[ticket_id] for ticket_id in simulation.grants]
        expected = reference_order(names, dict(zip("abc", weights, strict=True)))
        self.assertEqual(granted, expected)


def reference_order(names, weights):
    """Return the grants of a fair queue that serves the least use per weight first."""
    waiting = [(4_000.0 + number, name) for number, name in enumerate(names)]
    running = []
    granted = []
    now_ms = 4_000.0
    while waiting or running:
        for end_ms, name in [item for item in running if item[0] <= now_ms]:
            running.remove((end_ms, name))
            start_waiting(waiting, running, granted, weights, now_ms)
        start_waiting(waiting, running, granted, weights, now_ms)
        times = [item[0] for item in running]
        times += [item[0] for item in waiting if item[0] > now_ms]
        now_ms = min(times) if times else now_ms
        if not times:
            break
    return granted


def start_waiting(waiting, running, granted, weights, now_ms):
    while len(running) < 3:
        arrived = [item for item in waiting if item[0] <= now_ms]
        if not arrived:
            return
        used = {name: sum(item[1] == name for item in running) for name in weights}
        chosen = min(
            arrived, key=lambda item: (used[item[1]] / weights[item[1]], item[0])
        )
        waiting.remove(chosen)
        running.append((now_ms + 500.0, chosen[1]))
        granted.append(chosen[1])
