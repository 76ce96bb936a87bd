import unittest
from threading import Lock

from nose2.tools import params

from bronzeline_kernel.orders import OrderStatus, claim_key
from bronzeline_standins.tests.matrix.order_simulation import (
    DEADLINE_MS,
    Caller,
    OrderSimulation,
)

N_OPERATIONS = 500
N_KEYS = 60
SPAN_MS = 120_000.0
N_FAULTS = 40
COMMAND = ".venv/bin/python .ci/run_tests.py orders_differential_tests"


class ReferenceService:
    """Run each order once, in one process under one lock."""

    def __init__(self):
        self.lock = Lock()
        self.orders = {}

    def place(self, key, body):
        with self.lock:
            known = self.orders.setdefault(key, body)
            if known != body:
                return "key_reused"
            return claim_key("guild", "desk", key).encode() + b"/" + body


def inject_random_fault(simulation):
    random, store = simulation.random, simulation.store
    router = random.choice(simulation.routers)
    duration_ms = random.choice((100.0, 1_000.0, 6_000.0))
    match random.randrange(8):
        case 0:
            router.pause(duration_ms)
        case 1:
            store.down_until_ms = simulation.now_ms + duration_ms
        case 2:
            store.slow_until_ms = simulation.now_ms + duration_ms
        case 3:
            store.n_replies_to_lose += random.randrange(1, 5)
        case 4:
            store.late_write_delays_ms.append(random.choice((50.0, 2_000.0)))
        case 5:
            router.cut_until_ms = simulation.now_ms + duration_ms
        case 6:
            simulation.service.faults.append(random.choice(("before", "after")))
        case 7:
            simulation.service.faults.append("unreachable")


def simulate(seed, has_faults):
    simulation = OrderSimulation(
        seed, checks_fence=bool(seed % 2), is_confirmed=seed % 3 == 0
    )
    random = simulation.random
    callers = []
    for _ in range(N_OPERATIONS):
        key = f"robe-{random.randrange(N_KEYS)}"
        body = random.choice((b"a robe", b"a robe", b"a robe", b"two robes"))
        caller = Caller(key, body)
        callers.append(caller)
        number = random.randrange(len(simulation.routers))
        simulation.after(
            random.uniform(0.0, SPAN_MS),
            lambda caller=caller, number=number: simulation.send(caller, number),
        )
    if has_faults:
        for _ in range(N_FAULTS):
            simulation.after(
                random.uniform(0.0, SPAN_MS), lambda: inject_random_fault(simulation)
            )
    simulation.run()
    return simulation, callers


def find_contradictions(simulation, callers):
    """List where results contradict the reference or other results."""
    reference, problems = ReferenceService(), simulation.problems(callers)
    for caller in callers:
        run_body = simulation.service.bodies.get(claim_key("guild", "desk", caller.key))
        if run_body is not None:
            reference.place(caller.key, run_body)
    for caller in callers:
        for _, result in caller.results:
            expected = (
                reference.place(caller.key, caller.body)
                if (caller.key in reference.orders)
                else "not_run"
            )
            problems += contradictions_in(caller, result, expected)
    return problems


def contradictions_in(caller, result, expected):
    if result.status is OrderStatus.IN_DOUBT:
        return []
    if result.status is OrderStatus.ANSWERED:
        reported = result.outcome.body
    else:
        reported = "key_reused" if result.reason == "key_reused" else "not_run"
    is_consistent = reported == expected or (
        reported == "key_reused" and expected == "not_run"
    )
    return (
        [] if is_consistent else [f"{caller.key}: {reported!r}, expected {expected!r}"]
    )


class OrdersDifferentialTests(unittest.TestCase):
    @params(*range(16))
    def test_no_result_contradicts_the_reference_under_faults(self, seed):
        simulation, callers = simulate(seed, has_faults=True)
        problems = find_contradictions(simulation, callers)
        self.assertEqual(problems, [], f"seed {seed}; {COMMAND}")
        self.assertEqual(sum(len(caller.results) for caller in callers), N_OPERATIONS)

    @params(*range(8))
    def test_every_result_matches_the_reference_without_faults(self, seed):
        simulation, callers = simulate(seed, has_faults=False)
        statuses = [result.status for caller in callers for _, result in caller.results]
        self.assertEqual(
            find_contradictions(simulation, callers), [], f"seed {seed}; {COMMAND}"
        )
        self.assertNotIn(OrderStatus.IN_DOUBT, statuses)
        n_not_run = sum(
            result.status is OrderStatus.NOT_RUN and result.reason != "key_reused"
            for caller in callers
            for _, result in caller.results
        )
        self.assertEqual(n_not_run, 0)
        waits_ms = [wait_ms for caller in callers for wait_ms in caller.waits_ms]
        self.assertLess(max(waits_ms), DEADLINE_MS)
