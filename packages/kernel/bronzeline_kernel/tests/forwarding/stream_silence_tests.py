import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    Abandon,
    CopyRun,
    CopySource,
    DropCopy,
    Failure,
    Fault,
    Finish,
    Probe,
    Send,
    StreamRun,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    binding,
    fleet,
    route,
)
from bronzeline_kernel.tests.forwarding.stream_driver import Driver


class SilenceTests(unittest.TestCase):
    def test_silent_upstream_is_probed_then_abandoned_within_the_gap(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        began_ms = driver.now_ms
        timed_actions = driver.wait(600.0)
        kinds = [type(action) for _, action in timed_actions]
        self.assertEqual(kinds, [Probe, Probe, Abandon, Send])
        self.assertLessEqual(timed_actions[-1][0] - began_ms, 530.0)
        self.assertIsNotNone(timed_actions[-1][1].copy_from)

    def wait_with_responses(self, driver, duration_ms):
        """Advance the time while each upstream responds to its probes."""
        for _ in range(int(duration_ms / 10.0)):
            for _, action in driver.wait(10.0):
                if isinstance(action, Probe):
                    upstream = action.upstream.incarnation
                    driver.run.probed(upstream, True, driver.now_ms)

    @params(1, 2, 3)
    def test_silent_upstreams_that_respond_to_probes_use_up_attempts(self, n_attempts):
        """A stream left them for any number of others, beside the route's limit."""
        driver = Driver(per_zone=3, route=route(max_attempts=n_attempts))
        driver.start()
        for _ in range(6):
            driver.events(driver.run.attempt.number, 2)
            self.wait_with_responses(driver, 600.0)
        sent = {x.upstream.upstream_id for x in driver.actions if isinstance(x, Send)}
        self.assertLessEqual(len(sent), n_attempts)

    def test_a_stream_goes_on_at_an_upstream_that_it_left_once_attempts_are_used(self):
        """It waited for a silent upstream until its deadline."""
        driver = Driver(per_zone=3, route=route(max_attempts=2))
        driver.start()
        silent = []
        for _ in range(3):
            driver.events(driver.run.attempt.number, 2)
            silent.append(driver.run.attempt.upstream)
            self.wait_with_responses(driver, 700.0)
        self.assertEqual(silent, [silent[0], silent[1], silent[0]])
        self.assertNotEqual(silent[0], silent[1])

    def test_a_stream_stays_if_the_upstream_that_it_left_is_gone(self):
        """It ended although its silent upstream might still respond."""
        driver = Driver(per_zone=3, route=route(max_attempts=2))
        first = driver.start().upstream
        for number in (1, 2):
            driver.events(number, 2)
            self.wait_with_responses(driver, 700.0)
            driver.placement.upstreams.remove(first.upstream_id, driver.now_ms)
        self.assertFalse(driver.run.is_over)
        self.assertEqual(driver.run.attempt.number, 2)

    @params(1, 2)
    def test_streams_leave_silent_upstreams_that_respond_to_no_probe(self, n_attempts):
        """With its attempts used up a stream stayed at an upstream that had ended."""
        driver = Driver(per_zone=3, route=route(max_attempts=n_attempts))
        driver.start()
        for _ in range(3):
            driver.events(driver.run.attempt.number, 2)
            kinds = [type(action) for _, action in driver.wait(1_000.0)]
            self.assertIn(Send, kinds)

    def test_dead_upstream_is_abandoned_immediately(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        driver.wait(230.0)
        actions = driver.run.probed(first.upstream.incarnation, False, driver.now_ms)
        self.assertEqual([type(item) for item in actions], [Abandon, Send])

    @params(True, False)
    def test_successful_probe_or_later_event_keeps_the_upstream(self, is_alive):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        driver.wait(230.0)
        if not is_alive:
            driver.event(1, 4, after_ms=1.0)
        incarnation = first.upstream.incarnation
        self.assertEqual(driver.run.probed(incarnation, is_alive, driver.now_ms), [])

    def test_suspension_of_this_process_is_not_counted_as_silence(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        driver.now_ms += 3_000.0
        driver.run.process_paused(driver.now_ms)
        self.assertEqual(driver.run.tick(driver.now_ms), [])

    @params((True, 9_000.0), (False, 3_000.0))
    def test_busy_upstream_gets_more_time_before_the_first_event(
        self, is_busy, limit_ms
    ):
        driver = Driver()
        first = driver.start()
        abandoned_at_ms = None
        while abandoned_at_ms is None:
            if is_busy:
                driver.placement.health.record_connection(
                    first.upstream.incarnation, driver.now_ms
                )
            for at_ms, action in driver.wait(10.0):
                if isinstance(action, Abandon):
                    abandoned_at_ms = at_ms
        self.assertAlmostEqual(abandoned_at_ms, limit_ms, delta=20.0)

    def test_deadline_ends_the_stream(self):
        driver = Driver()
        driver.start()
        driver.now_ms = 25_000.0
        actions = driver.run.tick(driver.now_ms)
        self.assertEqual(actions[-1].failure, Failure.TIMED_OUT)

    def test_zone_loss_causes_no_gap_beyond_limit(self):
        """Simulate the loss of a zone with many streams; check each caller's gap."""
        drivers = [Driver(per_zone=3) for _ in range(30)]
        for number, driver in enumerate(drivers):
            driver.placement.random.seed(number)
            driver.start()
            driver.events(1, 3 + number % 5)
            began_ms = driver.now_ms
            timed_actions = driver.wait(600.0)
            sent = [(at, item) for at, item in timed_actions if isinstance(item, Send)]
            self.assertEqual(len(sent), 1)
            # A copy gives its first event within 140 ms; a gap may last 700 ms.
            self.assertLessEqual(sent[0][0] - began_ms + 140.0, 700.0)
            self.assertNotEqual(sent[0][1].upstream.availability_zone, "zone-a")


class BrokenConnectionTests(unittest.TestCase):
    def broken(self, n_attempts):
        """Return a driver whose last attempt is broken and its upstream not probed.

        Each upstream before is tried twice, as it may have closed the connection only.
        """
        driver = Driver(per_zone=3, route=route(max_attempts=n_attempts))
        driver.start()
        self.last_number = 2 * n_attempts - 1
        for number in range(1, self.last_number):
            driver.fail_attempt(number)
            driver.collect(driver.run.broken_probed(number, True, driver.now_ms))
        self.assertEqual(len(self.upstreams(driver)), n_attempts)
        self.assertEqual(driver.fail_attempt(self.last_number), [])
        return driver

    def probed(self, driver, number, is_responding):
        return driver.collect(
            driver.run.broken_probed(number, is_responding, driver.now_ms)
        )

    def upstreams(self, driver):
        sent = [item for item in driver.actions if isinstance(item, Send)]
        return {item.upstream.upstream_id for item in sent}

    @params(1, 2, 3)
    def test_running_upstreams_use_up_attempts(self, n_attempts):
        """A stream left them for any number of others, beside the route's limit."""
        driver = self.broken(n_attempts)
        self.assertIsInstance(self.probed(driver, self.last_number, True)[-1], Send)
        end = driver.fail_attempt(self.last_number + 1)[-1]
        self.assertEqual(end.reason, "attempts used up")
        self.assertEqual(len(self.upstreams(driver)), n_attempts)

    @params(1, 2, 3)
    def test_a_crashed_upstream_uses_up_none(self, n_attempts):
        """A stream that could go on elsewhere would end with its upstream."""
        driver = self.broken(n_attempts)
        self.probed(driver, self.last_number, False)
        driver.fail_attempt(self.last_number + 1, Fault.UNREACHABLE)
        self.assertEqual(len(self.upstreams(driver)), n_attempts + 1)

    def test_attempts_in_doubt_are_counted_together(self):
        """Breaks that come faster than the probes would use none up."""
        driver = Driver(per_zone=3, route=route(max_attempts=2))
        driver.start()
        for number in (1, 2):
            self.assertIsInstance(driver.fail_attempt(number)[-1], Send)
        self.assertEqual(driver.fail_attempt(3), [])
        self.assertEqual(self.probed(driver, 1, True), [])
        self.assertIsInstance(self.probed(driver, 3, True)[-1], Send)
        end = driver.fail_attempt(4)[-1]
        self.assertEqual(end.reason, "attempts used up")

    def test_a_second_result_counts_no_other_attempt(self):
        """A repeated result would use up an attempt that was not made."""
        driver = Driver(per_zone=3, route=route(max_attempts=3))
        driver.start()
        driver.fail_attempt(1)
        for _ in range(2):
            driver.run.broken_probed(1, True, driver.now_ms)
        for number in (2, 3):
            self.assertIsInstance(driver.fail_attempt(number)[-1], Send)

    def test_a_result_after_the_caller_left_starts_nothing(self):
        """The stream would run on for nobody."""
        driver = self.broken(1)
        driver.run.cancel()
        self.assertEqual(driver.run.broken_probed(1, False, driver.now_ms), [])

    def test_the_deadline_ends_a_stream_that_waits_for_a_probe(self):
        """Without a result the caller would wait for ever."""
        driver = self.broken(1)
        driver.now_ms = 25_000.0
        self.assertEqual(driver.run.tick(driver.now_ms)[-1].failure, Failure.TIMED_OUT)


class CopyTests(unittest.TestCase):
    def remove_holder(self, driver, first):
        driver.placement.upstreams.remove(first.copy_to.upstream_id, driver.now_ms)

    def test_new_copy_is_made_after_loss_of_the_holder(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.assertEqual(driver.run.tick(driver.now_ms), [])
        self.remove_holder(driver, first)
        copy_run = driver.run.tick(driver.now_ms)[0]
        self.assertIsInstance(copy_run, CopyRun)
        self.assertNotEqual(copy_run.holder, first.copy_to)
        copy = CopySource(copy_run.holder, copy_run.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        second = driver.fail_attempt(1)[0]
        self.assertEqual((second.upstream, second.copy_from), (copy_run.holder, copy))

    def test_copy_on_request_is_refreshed_and_dropped_at_the_end(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.remove_holder(driver, first)
        copy_run = driver.run.tick(driver.now_ms)[0]
        copy = CopySource(copy_run.holder, copy_run.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        driver.events(1, 70)
        refresh = driver.run.tick(driver.now_ms)[0]
        self.assertEqual(refresh.holder, copy_run.holder)
        self.assertEqual(driver.run.ended(1), [Finish(1), DropCopy(copy)])

    def test_failed_copy_is_retried_later(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.remove_holder(driver, first)
        driver.run.tick(driver.now_ms)
        driver.run.copied(1, None, driver.now_ms)
        self.assertEqual(driver.run.tick(driver.now_ms + 100.0), [])
        self.assertIsInstance(driver.run.tick(driver.now_ms + 501.0)[0], Probe)
        driver.event(1, 4, after_ms=510.0)
        self.assertIsInstance(driver.run.tick(driver.now_ms)[0], CopyRun)

    def test_copy_of_an_ended_attempt_is_dropped(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        copy = CopySource(first.copy_to, first.upstream, "h-1")
        driver.fail_attempt(1)
        actions = driver.run.copied(1, copy, driver.now_ms)
        self.assertEqual(actions, [DropCopy(copy)])

    def test_resent_request_resumes_from_the_earlier_copy(self):
        holder = fleet()[-1]
        copy = CopySource(holder, holder, "id-0")
        driver = Driver(find_copy=lambda now_ms: copy)
        first = driver.start()
        self.assertEqual((first.upstream, first.copy_from), (holder, copy))
        self.assertIsNone(driver.fail_attempt(1, Fault.FULL)[0].copy_from)


class SuspectHolderTests(unittest.TestCase):
    """The holder's zone is reported lost, because of another of its upstreams."""

    def setUp(self):
        self.driver = Driver()
        self.sent = self.driver.start()
        self.driver.events(1, 5)
        holder = self.sent.copy_to
        zone = (ENGINES, holder.availability_zone)
        self.driver.now_ms += 100.0
        self.driver.placement.health.record_peer_zone_loss(zone, self.driver.now_ms)

    def test_the_stream_resumes_from_the_copy(self):
        resumed = self.driver.fail_attempt(1)[0]
        self.assertEqual(resumed.upstream, self.sent.copy_to)
        self.assertIsNotNone(resumed.copy_from)

    def test_the_prompt_is_read_again_only_once_the_holder_is_lost_too(self):
        self.driver.fail_attempt(1)
        retried = self.driver.fail_attempt(2, Fault.UNREACHABLE)[0]
        self.assertIsNone(retried.copy_from)

    def test_a_copy_is_made_elsewhere_and_the_old_one_kept_until_then(self):
        actions = self.driver.run.tick(self.driver.now_ms)
        self.assertEqual([type(item) for item in actions], [CopyRun])
        self.driver.run.copied(1, None, self.driver.now_ms)
        resumed = self.driver.fail_attempt(1)[0]
        self.assertEqual(resumed.upstream, self.sent.copy_to)

    def test_an_earlier_run_is_resumed_from_its_copy(self):
        copy = CopySource(self.sent.copy_to, self.sent.copy_to, "id-1")
        run = self.driver.run
        other = StreamRun(
            binding(run.request, run.route, self.driver.placement),
            ENGINES,
            self.driver.placement,
            run.budget,
            25_000.0,
            find_copy=lambda now_ms: copy,
        )
        self.assertEqual(other.start(self.driver.now_ms)[0].copy_from, copy)
