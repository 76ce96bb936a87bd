import unittest

from nose2.tools import params

from bronzeline_standins.fault_matrix import FaultMatrix
from bronzeline_standins.rollout_simulation import RolloutSimulation

MATRIX = FaultMatrix(
    area="configuration",
    faults=(
        "router_restarts",
        "router_pauses",
        "every_watcher_dies",
        "peer_goes_stale",
        "store_down",
        "store_slow",
        "store_goes_back",
        "regions_partition",
        "router_cut_off",
        "messages_lost",
    ),
    steps=("idle", "written", "applied", "passed_on", "starting"),
)
COMMAND = ".venv/bin/python .ci/run_tests.py configuration_matrix_tests"
N_SEEDS = 3
LIMIT_MS = 5_000.0
LASTING_MS = 8_000.0
N_CHANGES = 6


def inject(world, fault, router):
    until_ms = world.faults_until_ms = world.now_ms + LASTING_MS
    match fault:
        case "router_restarts":
            router.start()
        case "router_pauses":
            router.paused_until_ms = until_ms
        case "every_watcher_dies":
            for item in world.routers:
                if item.machine.is_watcher:
                    item.is_alive = False
                    world.after(LASTING_MS, item.start)
        case "peer_goes_stale" | "router_cut_off":
            world.cut([router.number], until_ms)
        case "store_down":
            world.down_until_ms = until_ms
        case "store_slow":
            world.slow_until_ms = until_ms
        case "store_goes_back":
            world.restore_older()
        case "regions_partition":
            side = [n for n in range(world.n_routers) if n % 3 == router.number % 3]
            world.cut(side, until_ms)
        case "messages_lost":
            world.loss_ratio = 0.5


def play(seed, faults):
    world = RolloutSimulation(seed)
    world.run(2_000.0)
    for fault, step in faults:
        if step in ("idle", "starting"):
            router = world.routers[seed % world.n_routers]
            if step == "starting":
                router.start()
            inject(world, fault, router)
        else:
            world.at_step(
                step, lambda router, fault=fault: inject(world, fault, router)
            )
    for _ in range(N_CHANGES):
        world.change()
        world.run(world.random.choice((5.0, 300.0, 1_000.0)))
    return world


def problems_of(world):
    """List what the invariants of the configuration forbid."""
    found = []
    for router in world.routers:
        if router.applied_versions != sorted(router.applied_versions):
            found.append(f"{router.number} went back: {router.applied_versions}")
        if any(version > world.newest() for version in router.applied_versions):
            found.append(f"{router.number} has a version that nobody accepted")
        if router.is_ready and router.version == 0:
            found.append(f"{router.number} is ready without a configuration")
    return found


class ConfigurationMatrixTests(unittest.TestCase):
    @params(*MATRIX.cells())
    def test_cell(self, cell):
        others = list(MATRIX.cells())
        for seed in range(N_SEEDS):
            other = others[(others.index(cell) * 7 + seed * 11) % len(others)]
            once = ((cell.fault, cell.step),)
            for faults in (once, once * 2, (*once, (other.fault, other.step))):
                self.check(seed, faults)

    def check(self, seed, faults):
        note = f"seed {seed}, {faults}; {COMMAND}"
        world = play(seed, faults)
        self.assertEqual(problems_of(world), [], note)
        while world.now_ms <= world.faults_until_ms:
            world.run(1_000.0)
        world.clear_faults()
        # The store holds the newest again: an operator repeats the change.
        world.change()
        world.run(LIMIT_MS)
        self.assertEqual(world.lagging(), [], note)
        self.assertEqual(problems_of(world), [], note)
        self.assertTrue(all(router.is_ready for router in world.routers), note)

    @params(*range(10))
    def test_start_during_an_outage_takes_the_newest_of_peers(self, seed):
        world = play(seed, ())
        world.run(LIMIT_MS)
        world.down_until_ms = float("inf")
        router = world.routers[seed % world.n_routers]
        before = router.version
        router.start()
        self.assertFalse(router.is_ready)
        world.run(LIMIT_MS)
        self.assertTrue(router.is_ready)
        self.assertEqual(router.version, before)

    def test_start_without_store_and_peers_is_never_ready(self):
        world = play(1, ())
        world.down_until_ms = float("inf")
        router = world.routers[4]
        world.cut([4], float("inf"))
        router.start()
        world.run(60_000.0)
        self.assertFalse(router.is_ready)

    def test_a_router_cut_off_knows_for_how_long(self):
        world = play(1, ())
        world.run(5_000.0)
        world.cut([4], float("inf"))
        world.run(70_000.0)
        ages = [item.machine.isolated_for_ms(world.now_ms) for item in world.routers]
        self.assertGreater(ages.pop(4), 60_000.0)
        self.assertLess(max(ages), 15_000.0)

    @params((3,), (9,), (60,))
    def test_store_calls_stay_level_as_the_fleet_grows(self, n_routers):
        world = RolloutSimulation(1, n_routers)
        world.run(5_000.0)
        world.n_calls.clear()
        world.run(60_000.0)
        self.assertLessEqual(sum(world.n_calls.values()), 80)
