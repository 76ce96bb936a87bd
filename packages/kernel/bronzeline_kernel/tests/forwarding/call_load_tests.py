"""Check what callers get while one upstream fails."""

import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.call_load_player import (
    N_CALLS,
    N_FIRST_CALLS,
    ORDER,
    STATUS,
    FailingUpstreamPlayer,
)


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
