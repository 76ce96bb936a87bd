"""Check what limits of upstreams and blocked prompts mean for one stream."""

import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import Abandon, Fail, Failure, Fault
from bronzeline_kernel.tests.forwarding.samples import fleet
from bronzeline_kernel.tests.forwarding.stream_driver import Driver


class LimitTests(unittest.TestCase):
    def limit(self, driver, upstreams, limit_per_s=1.0):
        for item in upstreams:
            driver.placement.limits.record_response(
                item.incarnation, limit_per_s, driver.now_ms
            )

    def test_a_stream_beyond_all_limits_is_refused_as_not_run(self):
        driver = Driver()
        self.limit(driver, fleet())
        action = driver.start()
        self.assertEqual(action.failure, Failure.NOT_RUN)
        self.assertEqual(action.retry_after_ms, 1_000.0)

    def test_a_lost_stream_resumes_ahead_of_its_holders_limit(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 5)
        self.limit(driver, fleet())
        second = driver.fail_attempt(1)[0]
        self.assertEqual(second.upstream, first.copy_to)

    def test_a_lost_stream_goes_elsewhere_if_its_holder_is_far_beyond_its_limit(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 5)
        self.limit(driver, [first.copy_to])
        for _ in range(4):
            driver.placement.record_send(first.copy_to, driver.now_ms)
        second = driver.fail_attempt(1, Fault.SILENT)[0]
        self.assertNotEqual(second.upstream, first.copy_to)
        self.assertIsNone(second.copy_from)


class BlockTests(unittest.TestCase):
    @params((0, True), (1, False))
    def test_a_stream_without_events_ends_once_its_prompt_is_blocked(
        self, n_events, is_ended
    ):
        blocked = []
        driver = Driver(is_blocked=lambda: bool(blocked))
        driver.start()
        driver.events(1, n_events)
        blocked.append(True)
        actions = [action for _, action in driver.wait(100.0)]
        expected = [Abandon(1), Fail(Failure.UNKNOWN_OUTCOME, "quarantined")]
        self.assertEqual(actions, expected if is_ended else [])

    @params((100.0, 0), (300.0, 1), (900.0, 1))
    def test_an_engine_that_goes_on_has_answered_the_prompt(self, for_ms, n_answered):
        answered = []
        driver = Driver(on_answered=lambda: answered.append(driver.now_ms))
        driver.start()
        driver.event(1, 1)
        driver.event(1, 2, for_ms)
        driver.event(1, 3)
        self.assertEqual(len(answered), n_answered)
