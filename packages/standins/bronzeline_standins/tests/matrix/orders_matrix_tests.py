import unittest
from itertools import product

from nose2.tools import params

from bronzeline_kernel.orders import OrderStatus
from bronzeline_standins.fault_matrix import FaultCell, FaultMatrix
from bronzeline_standins.tests.matrix.order_simulation import (
    DEADLINE_MS,
    Caller,
    OrderSimulation,
)

MATRIX = FaultMatrix(
    area="orders",
    faults=(
        "router_dies",
        "router_pauses",
        "caller_resends",
        "store_down",
        "store_slow",
        "store_answer_lost",
        "store_write_late",
        "upstream_unreachable",
        "upstream_dies_before_effect",
        "upstream_dies_after_effect",
        "upstream_answer_lost",
        "links_cut",
        "overload_refusal",
    ),
    steps=(
        "received",
        "queued",
        "claiming",
        "claimed",
        "dispatching",
        "answered",
        "settling",
        "delivered",
    ),
    impossible={
        FaultCell("overload_refusal", step): "the upstream was granted before"
        for step in ("claiming", "claimed", "dispatching", "answered", "settling")
    },
)
COMMAND = ".venv/bin/python .ci/run_tests.py orders_matrix_tests"
# Whether the service checks fencing numbers, whether it has a look-up, and whether
# claims are confirmed by a second write.
VARIANTS = tuple(product((False, True), repeat=3))
N_SEEDS = 3
PAUSES_MS = (300.0, 2_500.0, 9_000.0, 70_000.0)
OUTAGES_MS = (300.0, 2_500.0, 9_000.0, 70_000.0)
LATE_MS = (50.0, 900.0, 5_000.0, 65_000.0)


def inject(simulation, fault, step, caller):
    random = simulation.random

    def apply(router):
        service, store = simulation.service, simulation.store
        match fault:
            case "router_dies":
                router.is_alive = False
            case "router_pauses":
                router.pause(random.choice(PAUSES_MS))
            case "caller_resends":
                for number in (1, 2, 3, 4):
                    simulation.after(
                        0.0, lambda number=number: simulation.send(caller, number)
                    )
            case "store_down":
                store.down_until_ms = simulation.now_ms + random.choice(OUTAGES_MS)
            case "store_slow":
                store.slow_until_ms = simulation.now_ms + random.choice(OUTAGES_MS)
            case "store_answer_lost":
                store.n_replies_to_lose += random.choice((1, 2, 5))
            case "store_write_late":
                n_late = random.choice((1, 2, 3))
                store.late_write_delays_ms += [
                    random.choice(LATE_MS) for _ in range(n_late)
                ]
            case "upstream_unreachable":
                service.faults += ["unreachable"] * random.choice((1, 2, 5))
            case "upstream_dies_before_effect":
                service.faults.append("before")
            case "upstream_dies_after_effect":
                service.faults.append("after")
            case "upstream_answer_lost":
                service.faults.insert(0, "answered")
            case "links_cut":
                router.cut_until_ms = simulation.now_ms + random.choice(OUTAGES_MS)
            case "overload_refusal":
                simulation.refusals += random.choice((1, 3))

    simulation.at_step(step, apply)


def simulate(seed, variant, faults):
    checks_fence, has_look_up, is_confirmed = variant
    simulation = OrderSimulation(
        seed,
        checks_fence=checks_fence,
        has_look_up=has_look_up,
        is_confirmed=is_confirmed,
    )
    caller = Caller("robe-1", b"a robe")
    keyless = Caller("", b"another", is_key_given=False)
    for fault, step in faults:
        inject(simulation, fault, step, caller)
    random = simulation.random
    first_delay_ms = random.choice((0.0, 0.0, 30.0))
    simulation.after(first_delay_ms, lambda: simulation.send(caller, 0))
    simulation.after(
        random.choice((1.0, 10_000.0)), lambda: simulation.send(keyless, 1)
    )
    for _ in range(random.randrange(4)):
        number = random.randrange(5)
        delay_ms = random.choice((0.0, 21.0, 23.0, 1_500.0, 4_600.0, 20_000.0))
        simulation.after(
            delay_ms, lambda number=number: simulation.send(caller, number)
        )
    simulation.run()
    # Faults whose step was not reached are dropped, so that the final resends run
    # without faults.
    simulation.pending_faults.clear()
    final_caller = Caller("robe-1", b"a robe")
    for router in simulation.routers[1:4]:
        if router.is_alive:
            simulation.send(final_caller, router.number)
    simulation.run(simulation.now_ms + 100_000.0)
    return simulation, caller, keyless, final_caller


def check(simulation, caller, keyless, final_caller):
    problems = simulation.problems([caller, keyless, final_caller])
    waits_ms = [*caller.waits_ms, *final_caller.waits_ms, *keyless.waits_ms]
    limit_ms = DEADLINE_MS + max(PAUSES_MS)
    if any(wait_ms > limit_ms for wait_ms in waits_ms):
        problems.append("a caller waited past its deadline")
    if not final_caller.results or any(
        wait > DEADLINE_MS for wait in final_caller.waits_ms
    ):
        problems.append("the final resends got no result in time")
    final_statuses = {result.status for _, result in final_caller.results}
    if len(final_statuses) > 1:
        problems.append(
            f"concurrent resends got different statuses: {sorted(final_statuses)}"
        )
    reported_statuses = {result.status for _, result in caller.results}
    if OrderStatus.NOT_RUN in reported_statuses and final_statuses != {
        OrderStatus.NOT_RUN
    }:
        problems.append(f"a resend of a not_run order got {sorted(final_statuses)}")
    problems += check_final_statuses(simulation, caller, final_statuses)
    return problems


def check_final_statuses(simulation, caller, final_statuses):
    """Return a message if the resends after all faults got a wrong status."""
    n_runs = sum(
        n for key, n in simulation.service.n_runs.items() if "/" not in key[7:]
    )
    can_look_up = n_runs and simulation.service.has_look_up
    are_routers_alive = all(router.is_alive for router in simulation.routers)
    may_be_in_doubt = not are_routers_alive or simulation.service.n_failed_calls
    if can_look_up and final_statuses != {OrderStatus.ANSWERED}:
        return [f"the order ran, but a resend got {sorted(final_statuses)}"]
    if not may_be_in_doubt and OrderStatus.IN_DOUBT in final_statuses:
        return ["in doubt although all routers are alive and no response was lost"]
    return []


class OrdersMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        for seed, variant in product(range(N_SEEDS), VARIANTS):
            for extra in self.additional_faults(cell, seed):
                faults = ((cell.fault, cell.step), *extra)
                problems = check(*simulate(seed, variant, faults))
                self.assertEqual(
                    problems, [], f"seed {seed}, {variant}, {faults}; {COMMAND}"
                )

    def additional_faults(self, cell, seed):
        """Return the faults to add: none, the same and a resend, or another cell's."""
        others = list(MATRIX.cells())
        other = others[(others.index(cell) * 7 + seed * 37) % len(others)]
        return (
            (),
            ((cell.fault, cell.step), ("caller_resends", "claimed")),
            ((other.fault, other.step),),
        )


if __name__ == "__main__":
    unittest.main()
