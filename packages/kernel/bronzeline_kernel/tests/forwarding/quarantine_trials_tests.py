"""Check how often a request that crashes engines is let in after its quarantine."""

import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import TRIAL_OPTIONS, Fault, RequestIdentity, Send
from bronzeline_kernel.tests.forwarding.quarantine_tests import Fleet
from bronzeline_kernel.tests.forwarding.samples import request
from bronzeline_kernel.tests.forwarding.stream_driver import Driver

KILLER = "killer"
PART = ("p1",)
QUARANTINE_MS = 60_000.0


class TrialTests(unittest.TestCase):
    def setUp(self):
        self.fleet = Fleet()
        for _ in range(3):
            self.fleet.die(0, KILLER, PART, has_answered=True)
            self.fleet.wait(1_000.0)
        self.assertEqual(self.fleet.refusing((), KILLER), 5)

    def let_in(self, router, work_hash=KILLER):
        """Return the router's trial if it lets the request in, False if it does not."""
        quarantine, now_ms = self.fleet.routers[router], self.fleet.now_ms
        if quarantine.requests.is_blocked(work_hash, now_ms):
            return False
        return quarantine.begin_trial(RequestIdentity("", work_hash), now_ms)

    def test_one_router_lets_a_request_in_at_a_time(self):
        """All routers let it in at once, and it crashed an engine at each."""
        self.fleet.wait(QUARANTINE_MS)
        self.assertEqual(self.fleet.refusing((), KILLER), 0)
        self.assertIsNotNone(self.let_in(0))
        self.fleet.wait(200.0)
        self.assertEqual([self.let_in(router) for router in range(1, 5)], [False] * 4)

    def test_a_crash_on_trial_doubles_the_quarantine(self):
        """Each minute brought three crashes more."""
        n_let_in = 0
        for _ in range(480):
            for router in range(5):
                if self.let_in(router):
                    n_let_in += 1
                    self.fleet.wait(1_000.0)
                    self.fleet.die(router, KILLER, PART, has_answered=True)
                    self.fleet.wait(200.0)
            self.fleet.wait(1_000.0)
        # After 60, 120 and 240 s.
        self.assertEqual(n_let_in, 3)

    def test_an_answer_on_trial_lets_the_request_in_everywhere(self):
        """A request that was quarantined by mistake stayed refused elsewhere."""
        self.fleet.wait(QUARANTINE_MS)
        self.let_in(0)
        self.fleet.wait(200.0)
        self.fleet.routers[0].request_completed(KILLER, self.fleet.now_ms)
        self.fleet.wait(200.0)
        self.assertEqual([self.let_in(router) for router in range(5)], [None] * 5)

    def test_a_trial_without_a_result_is_followed_by_another(self):
        """A caller that left would have the request refused for long."""
        self.fleet.wait(QUARANTINE_MS)
        self.let_in(0)
        self.fleet.wait(11_000.0)
        self.assertTrue(self.let_in(1))

    def test_a_request_that_was_never_quarantined_needs_no_trial(self):
        """Its peers would refuse it while it runs."""
        self.assertIsNone(self.let_in(0, "other"))


class TrialStreamTests(unittest.TestCase):
    @params((True, 2), (False, 1))
    def test_a_stream_on_trial_goes_on_only_if_its_upstream_runs(
        self, is_responding, n_sent
    ):
        """It crashed a second engine before the first crash was known."""
        driver = Driver(per_zone=3, request=request(), options=TRIAL_OPTIONS)
        driver.start()
        self.assertEqual(driver.fail_attempt(1, Fault.BROKEN), [])
        if not is_responding:
            driver.run.upstream_crashed()
        driver.collect(driver.run.broken_probed(1, is_responding, driver.now_ms))
        sent = [item for item in driver.actions if isinstance(item, Send)]
        self.assertEqual(len(sent), n_sent)
        self.assertEqual(driver.run.is_over, not is_responding)
