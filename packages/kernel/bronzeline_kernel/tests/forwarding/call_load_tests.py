"""Check what callers get while one upstream fails."""

import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import CallRun, Fault
from bronzeline_kernel.tests.forwarding.call_load_player import (
    N_CALLS,
    N_FIRST_CALLS,
    ORDER,
    STATUS,
    FailingUpstreamPlayer,
)
from bronzeline_kernel.tests.forwarding.samples import ORDERS


class FailingUpstreamTests(unittest.TestCase):
    @params(
        (ORDER, 0.4, 0.05),
        (ORDER, 1.0, 0.05),
        (STATUS, 0.4, 0.005),
        (STATUS, 1.0, 0.005),
    )
    def test_few_callers_get_the_failure_of_one_upstream(
        self, call_route, failed_share, most
    ):
        """Load: an upstream of the own zone fails a share of its calls, and at once."""
        player = FailingUpstreamPlayer(call_route, "zone-a-0", failed_share, seed=3)
        outcomes = player.play()
        n_counted = N_CALLS - N_FIRST_CALLS
        self.assertEqual(outcomes.total(), n_counted)
        self.assertLessEqual(outcomes["failed"], most * n_counted)


class LostAnswerTests(unittest.TestCase):
    def test_one_lost_answer_does_not_make_the_zone_suspect(self):
        """Load: an upstream loses a few answers in a hundred, and is alive."""
        player = FailingUpstreamPlayer(ORDER, "", 0.0, seed=3)
        reported = []
        player.placement.health.on_zone_lost = reported.append
        run = CallRun(ORDER, ORDERS, player.placement, player.budget, 2_000.0)
        run.start(0.0)
        run.lost(1, Fault.BROKEN, 50.0)
        self.assertEqual(reported, [])
