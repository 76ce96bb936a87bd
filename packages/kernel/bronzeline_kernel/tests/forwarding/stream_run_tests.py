import unittest

from nose2.tools import params

from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import (
    Abandon,
    CopyRun,
    CopySource,
    DropCopy,
    Fail,
    Failure,
    Fault,
    FindEarlierRun,
    Finish,
    Probe,
    Send,
    StreamOptions,
    StreamRun,
)
from bronzeline_kernel.tests.forwarding.samples import (
    ENGINES,
    fleet,
    placement,
    request,
    route,
    upstream,
)

OPTIONS = StreamOptions()


class Driver:
    """Drive one stream and record the actions that it returns."""

    def __init__(self, per_zone=2, budget=50.0, **run_fields):
        self.placement = placement(fleet(per_zone))
        self.now_ms = 0.0
        self.run = StreamRun(
            run_fields.pop("request", request()),
            run_fields.pop("route", route()),
            ENGINES,
            self.placement,
            RetryBudget(0.5, budget),
            25_000.0,
            **run_fields,
        )
        self.actions = []

    def collect(self, actions):
        self.actions += actions
        return actions

    def start(self):
        return self.collect(self.run.start(self.now_ms))[0]

    def event(self, number, event_id, after_ms=40.0):
        self.now_ms += after_ms
        return self.run.accept_event(number, event_id, self.now_ms)

    def events(self, number, count, after_ms=40.0):
        first = self.run.last_event + 1
        return [
            self.event(number, event_id, after_ms)
            for event_id in range(first, first + count)
        ]

    def fail_attempt(self, number, fault=Fault.BROKEN):
        return self.collect(self.run.lost(number, fault, self.now_ms))

    def wait(self, duration_ms, step_ms=10.0):
        """Advance the time in steps; return each action with its time."""
        end_ms, timed_actions = self.now_ms + duration_ms, []
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for action in self.collect(self.run.tick(self.now_ms)):
                timed_actions.append((self.now_ms, action))
        return timed_actions


class SingleUpstreamTests(unittest.TestCase):
    def test_delivers_each_event_once_and_in_order(self):
        driver = Driver()
        driver.start()
        accepted = [driver.event(1, event_id) for event_id in (1, 2, 2, 1, 3)]
        self.assertEqual(accepted, [True, True, False, False, True])
        self.assertTrue(driver.run.is_gap(1, 5))
        self.assertEqual(driver.run.ended(1), [Finish(1)])

    def test_drops_events_of_an_earlier_attempt(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        driver.fail_attempt(1)
        self.assertFalse(driver.run.accept_event(1, 4, driver.now_ms))
        self.assertFalse(driver.run.is_gap(1, 9))
        self.assertEqual(driver.run.ended(1), [])

    def test_load_returns_to_zero(self):
        driver = Driver()
        driver.start()
        driver.events(1, 2)
        driver.fail_attempt(1)
        driver.events(2, 2)
        driver.run.ended(2)
        loads = [driver.placement.load(item.upstream_id) for item in fleet()]
        counts = [(x.n_prompts, x.n_streams, x.n_copies, x.n_calls) for x in loads]
        self.assertEqual(set(counts), {(0, 0, 0, 0)})


class LossTests(unittest.TestCase):
    def test_resumes_from_the_copy_at_the_keeper(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 5)
        second = driver.fail_attempt(1)[0]
        self.assertEqual(second.upstream, first.copy_to)
        self.assertEqual(
            second.copy_from, CopySource(first.copy_to, first.copy_to, "id-1")
        )
        self.assertEqual(second.after_event, 5)
        zones = {second.upstream.availability_zone, second.copy_to.availability_zone}
        self.assertEqual(len(zones), 2)
        self.assertNotIn(first.upstream.availability_zone, zones)

    def test_no_copy_before_the_first_event(self):
        driver = Driver()
        driver.start()
        self.assertIsNone(driver.fail_attempt(1, Fault.SILENT)[0].copy_from)

    def test_sends_prompt_if_the_copy_is_missing(self):
        driver = Driver()
        driver.start()
        driver.events(1, 5)
        driver.fail_attempt(1)
        third = driver.fail_attempt(2, Fault.FULL)[0]
        self.assertIsNone(third.copy_from)
        self.assertEqual(third.after_event, 5)

    def test_retries_once_on_upstream_after_broken_connection(self):
        driver = Driver()
        first = driver.start()
        retry = driver.fail_attempt(1)[0]
        self.assertEqual(retry.upstream, first.upstream)
        other = driver.fail_attempt(2, Fault.UNREACHABLE)[0]
        self.assertNotEqual(other.upstream, first.upstream)

    def test_avoids_all_upstreams_of_a_lost_zone(self):
        driver = Driver(per_zone=3)
        first = driver.start()
        sent = [driver.fail_attempt(1, Fault.SILENT)[0]]
        sent += [driver.fail_attempt(sent[-1].number, Fault.UNREACHABLE)[0]]
        zones = [item.upstream.availability_zone for item in sent]
        self.assertNotIn(first.upstream.availability_zone, zones)
        self.assertEqual(len(set(zones)), 2)

    @params(
        (Fault.UNREACHABLE, Failure.NOT_RUN),
        (Fault.FULL, Failure.NOT_RUN),
        (Fault.BROKEN, Failure.UNKNOWN_OUTCOME),
    )
    def test_reports_not_run_only_if_no_upstream_ran_the_request(self, fault, failure):
        driver = Driver(budget=20.0)
        driver.start()
        for number in range(1, 40):
            if driver.run.is_over:
                break
            driver.fail_attempt(number, fault)
        end = driver.actions[-1]
        self.assertEqual(end.failure, failure)
        self.assertEqual(end.retry_after_ms > 0.0, failure is Failure.NOT_RUN)

    def test_stream_that_is_not_resumable_fails_with_its_upstream(self):
        driver = Driver(route=route(is_resumable=False))
        first = driver.start()
        self.assertIsNone(first.copy_to)
        driver.events(1, 2)
        self.assertEqual(driver.fail_attempt(1)[0].failure, Failure.UNKNOWN_OUTCOME)

    @params((1, 1), (2, 2), (5, 5))
    def test_route_limits_reached_upstreams(self, max_attempts, n_sent):
        driver = Driver(route=route(max_attempts=max_attempts))
        driver.start()
        for number in range(1, 9):
            driver.fail_attempt(number, Fault.FULL)
        sent = [item for item in driver.actions if isinstance(item, Send)]
        self.assertEqual(len(sent), n_sent)
        self.assertEqual(driver.actions[-1].failure, Failure.NOT_RUN)

    def test_silence_does_not_end_a_stream_that_is_not_resumable(self):
        driver = Driver(route=route(is_resumable=False))
        driver.start()
        driver.events(1, 3)
        self.assertEqual(driver.wait(20_000.0, step_ms=100.0), [])
        self.assertTrue(driver.event(1, 4))

    def test_budget_limits_resumes(self):
        driver = Driver(budget=2.0)
        driver.start()
        number = 1
        while not driver.run.is_over:
            driver.events(number, 1)
            driver.fail_attempt(number)
            number += 1
        sent = [item for item in driver.actions if isinstance(item, Send)]
        self.assertEqual(len(sent), 3)
        self.assertEqual(driver.actions[-1].reason, "retry budget spent")


class DeathTests(unittest.TestCase):
    @params((2, Send), (3, Fail))
    def test_stream_fails_after_three_consecutive_deaths(self, n_deaths, expected):
        driver = Driver()
        driver.start()
        for _ in range(n_deaths):
            driver.run.upstream_died()
        self.assertIsInstance(driver.fail_attempt(1, Fault.SILENT)[-1], expected)

    def test_events_reset_the_count_of_deaths(self):
        driver = Driver()
        driver.start()
        for number in range(1, 5):
            driver.events(number, 2)
            driver.run.upstream_died()
            self.assertIsInstance(driver.fail_attempt(number)[-1], Send)

    def test_quarantined_stream_is_not_resumed(self):
        driver = Driver(is_blocked=lambda: True)
        driver.start()
        self.assertEqual(driver.fail_attempt(1)[-1].reason, "quarantined")


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


class CopyTests(unittest.TestCase):
    def remove_keeper(self, driver, first):
        driver.placement.upstreams.remove(first.copy_to.upstream_id, driver.now_ms)

    def test_new_copy_is_made_after_loss_of_the_keeper(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.assertEqual(driver.run.tick(driver.now_ms), [])
        self.remove_keeper(driver, first)
        copy_run = driver.run.tick(driver.now_ms)[0]
        self.assertIsInstance(copy_run, CopyRun)
        self.assertNotEqual(copy_run.keeper, first.copy_to)
        copy = CopySource(copy_run.keeper, copy_run.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        second = driver.fail_attempt(1)[0]
        self.assertEqual((second.upstream, second.copy_from), (copy_run.keeper, copy))

    def test_copy_on_request_is_refreshed_and_dropped_at_the_end(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.remove_keeper(driver, first)
        copy_run = driver.run.tick(driver.now_ms)[0]
        copy = CopySource(copy_run.keeper, copy_run.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        driver.events(1, 70)
        refresh = driver.run.tick(driver.now_ms)[0]
        self.assertEqual(refresh.keeper, copy_run.keeper)
        self.assertEqual(driver.run.ended(1), [Finish(1), DropCopy(copy)])

    def test_failed_copy_is_retried_later(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.remove_keeper(driver, first)
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
        keeper = fleet()[-1]
        copy = CopySource(keeper, keeper, "id-0")
        driver = Driver(find_copy=lambda now_ms: copy)
        first = driver.start()
        self.assertEqual((first.upstream, first.copy_from), (keeper, copy))
        self.assertIsNone(driver.fail_attempt(1, Fault.FULL)[0].copy_from)


class SuspectKeeperTests(unittest.TestCase):
    """The keeper's zone is reported lost, because of another of its upstreams."""

    def setUp(self):
        self.driver = Driver()
        self.sent = self.driver.start()
        self.driver.events(1, 5)
        keeper = self.sent.copy_to
        zone = (ENGINES, keeper.availability_zone)
        self.driver.now_ms += 100.0
        self.driver.placement.health.record_peer_zone_loss(zone, self.driver.now_ms)

    def test_the_stream_resumes_from_the_copy(self):
        resumed = self.driver.fail_attempt(1)[0]
        self.assertEqual(resumed.upstream, self.sent.copy_to)
        self.assertIsNotNone(resumed.copy_from)

    def test_the_prompt_is_read_again_only_once_the_keeper_is_lost_too(self):
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
            run.request,
            run.route,
            ENGINES,
            self.driver.placement,
            run.budget,
            25_000.0,
            find_copy=lambda now_ms: copy,
        )
        self.assertEqual(other.start(self.driver.now_ms)[0].copy_from, copy)


class EndTests(unittest.TestCase):
    def test_disconnect_abandons_the_attempt(self):
        driver = Driver()
        driver.start()
        self.assertEqual(driver.run.cancel(), [Abandon(1)])
        self.assertEqual(driver.run.tick(9e9), [])

    def test_fails_with_retry_delay_without_upstreams(self):
        driver = Driver(per_zone=0)
        end = driver.start()
        self.assertEqual(end, Fail(Failure.NOT_RUN, "no upstream", 500.0))


class ResentRequestTests(unittest.TestCase):
    """A resent request finds the engine that has its prompt cached."""

    @params(
        ({"after_event": 5}, {}, True),
        ({"budget_ms": 4_000.0}, {"deadline_ms": 4_000.0}, True),
        ({}, {}, False),
        ({"after_event": 5, "unique_part_id": ""}, {}, True),
        ({"after_event": 5}, {"route": route(is_resumable=False)}, False),
    )
    def test_searches_earlier_run_only_for_resent_request(
        self, request_fields, run_fields, is_searched
    ):
        fields = {"unique_part_id": "own", **request_fields}
        driver = Driver(request=request(**fields))
        for name, value in run_fields.items():
            setattr(driver.run, name, value)
        first = driver.start()
        self.assertEqual(isinstance(first, FindEarlierRun), is_searched)
        self.assertEqual(isinstance(first, Send), not is_searched)

    def test_prefers_upstream_with_cached_prompt(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        candidates = driver.start().upstreams
        cached_on = next(
            item for item in candidates if item.availability_zone == "zone-c"
        )
        cached = {"own": 5_000}
        driver.placement.prompts.put(cached_on.incarnation, cached, driver.now_ms)
        sent = driver.collect(driver.run.earlier_run_search_ended(driver.now_ms))[0]
        self.assertEqual((sent.upstream, sent.after_event), (cached_on, 5))
        self.assertEqual(driver.run.earlier_run_search_ended(driver.now_ms), [])

    def test_copy_known_to_a_peer_is_preferred_over_the_prompt(self):
        keeper = upstream("zone-b-0", "zone-b")
        known_copies = []
        driver = Driver(
            request=request(after_event=5, unique_part_id="own"),
            find_copy=lambda now_ms: known_copies[0] if known_copies else None,
        )
        driver.start()
        known_copies.append(CopySource(keeper, keeper, "copy-1"))
        sent = driver.collect(driver.run.earlier_run_search_ended(30.0))[0]
        self.assertEqual((sent.upstream, sent.copy_from), (keeper, known_copies[0]))

    def test_search_times_out(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.start()
        timed_actions = driver.wait(300.0)
        self.assertEqual([type(action) for _, action in timed_actions], [Send])
        self.assertLessEqual(timed_actions[0][0], OPTIONS.search_timeout_ms + 10.0)

    def test_sends_nothing_after_disconnect_during_the_search(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.start()
        self.assertEqual(driver.run.cancel(), [])
        self.assertEqual(driver.run.earlier_run_search_ended(1.0), [])
        self.assertEqual(driver.wait(300.0), [])

    def test_deadline_during_the_search_ends_the_stream(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.run.deadline_ms = 50.0
        driver.start()
        timed_actions = driver.wait(200.0)
        self.assertEqual([type(action) for _, action in timed_actions], [Fail])
        self.assertEqual(timed_actions[0][1].failure, Failure.TIMED_OUT)

    @params(
        (900.0, 0, Failure.NOT_RUN),
        (1_100.0, 0, None),
        (900.0, 5_000, None),
        (100.0, 4_000, Failure.NOT_RUN),
    )
    def test_prompt_that_cannot_be_read_in_time_is_refused_immediately(
        self, left_ms, n_cached, failure
    ):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.run.deadline_ms = left_ms
        for item in driver.start().upstreams:
            driver.placement.prompts.put(item.incarnation, {"own": n_cached}, 0.0)
        action = driver.collect(driver.run.earlier_run_search_ended(0.0))[0]
        self.assertEqual(getattr(action, "failure", None), failure)


class NoResumePossibleTests(unittest.TestCase):
    """Silence does not end a stream that could not resume elsewhere."""

    @params("budget", "attempts", "blocked")
    def test_silent_upstream_is_kept(self, obstacle):
        fields = {"budget": 0.0} if obstacle == "budget" else {}
        if obstacle == "attempts":
            fields["route"] = route(max_attempts=0)
        driver = Driver(is_blocked=lambda: obstacle == "blocked", **fields)
        silent_upstream = driver.start().upstream
        driver.events(1, 3)
        actions = [action for _, action in driver.wait(5_000.0)]
        self.assertFalse([x for x in actions if isinstance(x, Abandon | Fail)])
        probe_actions = driver.run.probed(
            silent_upstream.incarnation, False, driver.now_ms
        )
        self.assertEqual(probe_actions, [])
        self.assertTrue(driver.event(1, 4))
        self.assertEqual(driver.run.ended(1), [Finish(1)])

    def test_silent_upstream_is_abandoned_once_a_resume_is_possible(self):
        driver = Driver(budget=0.0)
        driver.start()
        driver.events(1, 3)
        driver.wait(2_000.0)
        driver.run.budget.resize(5.0)
        for _ in range(4):
            driver.run.budget.earn()
        kinds = [type(action) for _, action in driver.wait(1_000.0)]
        self.assertEqual(kinds[:2], [Abandon, Send])

    def test_broken_connection_fails_the_stream(self):
        driver = Driver(budget=0.0)
        driver.start()
        driver.events(1, 3)
        failed = driver.fail_attempt(1)[-1]
        self.assertEqual(failed.reason, "retry budget spent")
        self.assertEqual(failed.failure, Failure.UNKNOWN_OUTCOME)
