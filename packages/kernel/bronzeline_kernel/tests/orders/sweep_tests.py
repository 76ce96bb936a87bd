import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.orders import Claim, ClaimState
from bronzeline_kernel.orders.sweep import ClaimSweeper, is_expired, is_in_doubt

RETENTION_MS = 60_000.0


class SweepTests(unittest.TestCase):
    @params((0.0, 16), (5_000.0, 16), (100_000.0, 256), (10_000_000.0, 65_536))
    def test_every_prefix_is_listed_once_per_pass(self, n_claims, n_parts):
        sweeper = ClaimSweeper("a", Random(1))
        steps = [sweeper.next_step(RETENTION_MS, n_claims) for _ in range(n_parts)]
        self.assertEqual(len({step.prefix for step in steps}), n_parts)
        self.assertLess(sum(step.wait_ms for step in steps), RETENTION_MS / 2)

    @params((1,), (9,), (60,))
    def test_routers_with_equal_views_give_each_prefix_one_owner(self, n_routers):
        router_ids = [f"router-{number}" for number in range(n_routers)]
        sweepers = [ClaimSweeper(router_id, Random(1)) for router_id in router_ids]
        for part in range(16):
            owners = [
                item.is_responsible(f"claims/{part:x}", router_ids) for item in sweepers
            ]
            self.assertEqual(sum(owners), 1)

    @params(
        (ClaimState.DONE, 59.0, False, False),
        (ClaimState.DONE, 61.0, True, False),
        (ClaimState.NOT_RUN, 61.0, True, False),
        (ClaimState.CLAIMED, 5.0, False, False),
        (ClaimState.CLAIMED, 10_000.0, False, True),
        (ClaimState.DISPATCHING, 10_000.0, False, True),
    )
    def test_only_final_claims_expire(self, state, age_s, expired, in_doubt):
        claim = Claim("a", "a/1", state, claimed_at_s=1_000.0)
        now_s = 1_000.0 + age_s
        self.assertEqual(is_expired(claim, now_s, RETENTION_MS), expired)
        self.assertEqual(is_in_doubt(claim, now_s), in_doubt)
