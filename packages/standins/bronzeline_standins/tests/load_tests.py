import asyncio
import unittest
from collections import Counter

from nose2.tools import params

from bronzeline_standins.bench.load import LoadRun, Outcome, percentile
from bronzeline_standins.bench.workload import (
    RequestKind,
    Swing,
    Workload,
    draw_arrivals,
)
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.topology import BITNA, GUILD


class WorkloadTests(unittest.TestCase):
    def test_the_same_seed_draws_the_same_workload(self):
        workload = Workload(GUILD, 20_000.0, 30.0, plain_per_s=10.0)
        first = draw_arrivals(workload, 4)
        self.assertEqual(first, draw_arrivals(workload, 4))
        self.assertNotEqual(first, draw_arrivals(workload, 5))

    def test_drawn_shares_match_the_workload(self):
        workload = Workload(BITNA, 100_000.0, 60.0, plain_per_s=40.0)
        arrivals = draw_arrivals(workload, 1)
        n = len(arrivals)
        kinds = Counter(item.kind for item in arrivals)
        self.assertAlmostEqual(n / 100.0, 100.0, delta=5.0)
        self.assertAlmostEqual(kinds[RequestKind.GENERATION] / n, 0.6, delta=0.03)
        n_stragglers = sum(item.is_straggler for item in arrivals)
        self.assertAlmostEqual(n_stragglers / n, 0.04, delta=0.01)
        n_large = sum(item.is_large_workspace for item in arrivals)
        self.assertAlmostEqual(n_large / n, 0.7, delta=0.03)

    @params((0.0, 1.0), (10_000.0, 1.0), (11_000.0, 1.5), (15_000.0, 2.0))
    def test_a_swing_ramps_up(self, now_ms, factor):
        workload = Workload(GUILD, 20_000.0, 1.0, swings=(Swing(10_000.0, 2.0),))
        self.assertEqual(workload.factor_at(now_ms), factor)


class LoadRunTests(unittest.TestCase):
    def test_every_request_of_a_light_load_completes(self):
        workload = Workload(
            GUILD, 1_500.0, 12.0, plain_per_s=12.0, mean_tokens=6.0, straggler_share=0
        )

        async def run():
            fleet = EmbeddedFleet(
                GUILD, n_routers=3, engine_options=EngineOptions(inter_token_ms=2.0)
            )
            await fleet.start()
            try:
                ports = [router.caller_port for router in fleet.routers]
                arrivals = draw_arrivals(workload, 2)
                load = LoadRun(GUILD, arrivals, lambda item: ports[item.at_ms > 700])
                return arrivals, await load.run()
            finally:
                await fleet.stop()

        arrivals, records = asyncio.run(run())
        self.assertEqual(len(records), len(arrivals))
        incomplete = [item for item in records if item.outcome is not Outcome.WHOLE]
        self.assertEqual(incomplete, [])

    def test_percentiles_keep_three_digits(self):
        values = [float(number) for number in range(1, 1001)]
        self.assertAlmostEqual(percentile(values, 95.0), 950.0, delta=1.0)
        self.assertEqual(percentile([], 95.0), 0.0)
