"""Check what callers get in a crest of which much comes again or from one workspace."""

import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.retry_load_player import measure


class RetryLoadTests(unittest.TestCase):
    @params(1, 4)
    def test_callers_that_retry_at_once_do_not_delay_others(self, n_retries):
        calm, hasty = measure(0), measure(n_retries)
        self.assertGreaterEqual(hasty.in_time, calm.in_time)
        self.assertEqual(hasty.failed, 0.0)

    def test_a_workspace_that_sends_most_does_not_starve_the_others(self):
        """The others are served at least a quarter as often as all."""
        others, everyone = measure(1, is_busy_workspace=False), measure(1)
        served = others.in_time + others.late
        self.assertGreaterEqual(served, (everyone.in_time + everyone.late) / 4.0)
        self.assertGreaterEqual(others.in_time, everyone.in_time / 4.0)
