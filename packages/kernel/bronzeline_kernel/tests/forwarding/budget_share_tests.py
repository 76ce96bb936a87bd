import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import BudgetShare

RATIO, RESERVE = 0.8, 150.0


def spend_all(budget):
    n_spent = 0
    while budget.spend():
        n_spent += 1
    return n_spent


class BudgetShareTests(unittest.TestCase):
    @params((1, 100), (7, 100), (9, 100), (74, 302), (90, 302), (90, 1_200))
    def test_fleet_stays_within_allowed_retries(self, n_routers, n_requests):
        """All routers spend their reserve and what one window of requests earns."""
        n_retries = 0
        for number in range(n_routers):
            budget = BudgetShare(RATIO, RESERVE).budget("drafts", n_routers)
            n_retries += spend_all(budget)
            for _ in range(number, n_requests, n_routers):
                budget.earn()
                n_retries += spend_all(budget)
        self.assertLessEqual(n_retries, RATIO * n_requests + RESERVE)

    @params((1, 15.0), (9, 15.0), (74, 1.3 * RESERVE / 74), (1_300, 2.5))
    def test_reserve_covers_a_zone_loss(self, n_routers, expected):
        budget = BudgetShare(RATIO, RESERVE).budget("drafts", n_routers)
        self.assertEqual(budget.n_left, expected)

    def test_share_shrinks_with_fleet_size(self):
        share = BudgetShare(RATIO, RESERVE)
        self.assertEqual(share.budget("drafts", 1).n_left, 15.0)
        shrunk = share.budget("drafts", 74).n_left
        self.assertLess(shrunk, 3.0)
        self.assertEqual(share.budget("drafts", 7).n_left, shrunk)
        self.assertEqual(share.budget("orders", 7).n_left, 15.0)
