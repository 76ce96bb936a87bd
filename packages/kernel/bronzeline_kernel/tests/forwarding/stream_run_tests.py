import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    Abandon,
    CopySource,
    Fail,
    Failure,
    Fault,
    FindEarlierRun,
    Finish,
    RequestRoute,
    Send,
)
from bronzeline_kernel.tests.forwarding.samples import (
    fleet,
    request,
    route,
    upstream,
)
from bronzeline_kernel.tests.forwarding.stream_driver import OPTIONS, Driver


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
    def test_resumes_from_the_copy_at_the_holder(self):
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

    @params((Fault.BROKEN, 0), (Fault.SILENT, 1), (Fault.UNREACHABLE, 1))
    def test_a_zone_is_announced_as_lost_only_with_a_sign_of_it(self, fault, expected):
        driver = Driver()
        reported = []
        driver.placement.health.on_zone_lost = reported.append
        first = driver.start()
        second = driver.fail_attempt(1, fault)[0]
        self.assertEqual(len(reported), expected)
        is_same = second.upstream == first.upstream
        is_other_zone = (
            second.upstream.availability_zone != first.upstream.availability_zone
        )
        self.assertTrue(is_same or is_other_zone)

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
            driver.lose_upstream(number, fault)
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

    @params(
        (Fault.FAILED, 3),
        (Fault.GARBLED, 3),
        (Fault.EARLY_END, 3),
        (Fault.TOO_LARGE, 3),
        (Fault.BROKEN, 8),
        (Fault.SILENT, 8),
    )
    def test_route_limits_attempts_that_upstreams_fail_without_being_lost(
        self, fault, n_sent
    ):
        driver = Driver(route=route(max_attempts=3), budget=20.0)
        driver.start()
        for number in range(1, 8):
            driver.lose_upstream(number, fault)
        sent = [item for item in driver.actions if isinstance(item, Send)]
        self.assertEqual(len(sent), n_sent)

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
    def test_stream_fails_after_three_consecutive_crashes(self, n_crashes, expected):
        driver = Driver()
        driver.start()
        for _ in range(n_crashes):
            driver.run.upstream_crashed()
        self.assertIsInstance(driver.fail_attempt(1, Fault.SILENT)[-1], expected)

    def test_events_reset_the_count_of_deaths(self):
        driver = Driver()
        driver.start()
        for number in range(1, 5):
            driver.events(number, 2)
            driver.run.upstream_crashed()
            self.assertIsInstance(driver.fail_attempt(number)[-1], Send)

    def test_quarantined_stream_is_not_resumed(self):
        driver = Driver(is_blocked=lambda: True)
        driver.start()
        self.assertEqual(driver.fail_attempt(1)[-1].reason, "quarantined")


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
            if name == "route":
                driver.run.binding.route = RequestRoute(value)
            else:
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
        holder = upstream("zone-b-0", "zone-b")
        known_copies = []
        driver = Driver(
            request=request(after_event=5, unique_part_id="own"),
            find_copy=lambda now_ms: known_copies[0] if known_copies else None,
        )
        driver.start()
        known_copies.append(CopySource(holder, holder, "copy-1"))
        sent = driver.collect(driver.run.earlier_run_search_ended(30.0))[0]
        self.assertEqual((sent.upstream, sent.copy_from), (holder, known_copies[0]))

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
