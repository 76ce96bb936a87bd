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
    """Drive one stream and keep what it asked for."""

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
        self.asked = []

    def take(self, actions):
        self.asked += actions
        return actions

    def start(self):
        return self.take(self.run.start(self.now_ms))[0]

    def event(self, number, event_id, after_ms=40.0):
        self.now_ms += after_ms
        return self.run.accept_event(number, event_id, self.now_ms)

    def events(self, number, count, after_ms=40.0):
        first = self.run.last_event + 1
        return [
            self.event(number, event_id, after_ms)
            for event_id in range(first, first + count)
        ]

    def lose(self, number, fault=Fault.BROKEN):
        return self.take(self.run.lost(number, fault, self.now_ms))

    def wait(self, duration_ms, step_ms=10.0):
        """Look at the time in steps; return when each action was asked for."""
        end_ms, found = self.now_ms + duration_ms, []
        while self.now_ms < end_ms:
            self.now_ms += step_ms
            for action in self.take(self.run.tick(self.now_ms)):
                found.append((self.now_ms, action))
        return found


class OneUpstreamTests(unittest.TestCase):
    def test_events_in_order_are_delivered_once(self):
        driver = Driver()
        driver.start()
        taken = [driver.event(1, event_id) for event_id in (1, 2, 2, 1, 3)]
        self.assertEqual(taken, [True, True, False, False, True])
        self.assertTrue(driver.run.is_gap(1, 5))
        self.assertEqual(driver.run.ended(1), [Finish(1)])

    def test_an_older_attempts_events_are_dropped(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        driver.lose(1)
        self.assertFalse(driver.run.accept_event(1, 4, driver.now_ms))
        self.assertFalse(driver.run.is_gap(1, 9))
        self.assertEqual(driver.run.ended(1), [])

    def test_the_load_is_given_back(self):
        driver = Driver()
        driver.start()
        driver.events(1, 2)
        driver.lose(1)
        driver.events(2, 2)
        driver.run.ended(2)
        loads = [driver.placement.load(item.upstream_id) for item in fleet()]
        held = [(x.n_prompts, x.n_streams, x.n_copies, x.n_calls) for x in loads]
        self.assertEqual(set(held), {(0, 0, 0, 0)})


class LossTests(unittest.TestCase):
    def test_a_stream_goes_on_from_its_copy_at_the_keeper(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 5)
        second = driver.lose(1)[0]
        self.assertEqual(second.upstream, first.copy_to)
        self.assertEqual(
            second.copy_from, CopySource(first.copy_to, first.copy_to, "id-1")
        )
        self.assertEqual(second.after_event, 5)
        zones = {second.upstream.availability_zone, second.copy_to.availability_zone}
        self.assertEqual(len(zones), 2)
        self.assertNotIn(first.upstream.availability_zone, zones)

    def test_before_the_first_event_there_is_no_copy(self):
        driver = Driver()
        driver.start()
        self.assertIsNone(driver.lose(1, Fault.SILENT)[0].copy_from)

    def test_a_copy_that_is_not_there_leads_to_the_prompt(self):
        driver = Driver()
        driver.start()
        driver.events(1, 5)
        driver.lose(1)
        third = driver.lose(2, Fault.FULL)[0]
        self.assertIsNone(third.copy_from)
        self.assertEqual(third.after_event, 5)

    def test_an_upstream_that_broke_off_is_asked_once_more(self):
        driver = Driver()
        first = driver.start()
        again = driver.lose(1)[0]
        self.assertEqual(again.upstream, first.upstream)
        other = driver.lose(2, Fault.UNREACHABLE)[0]
        self.assertNotEqual(other.upstream, first.upstream)

    def test_a_lost_zone_is_left_as_a_whole(self):
        driver = Driver(per_zone=3)
        first = driver.start()
        sent = [driver.lose(1, Fault.SILENT)[0]]
        sent += [driver.lose(sent[-1].number, Fault.UNREACHABLE)[0]]
        zones = [item.upstream.availability_zone for item in sent]
        self.assertNotIn(first.upstream.availability_zone, zones)
        self.assertEqual(len(set(zones)), 2)

    @params(
        (Fault.UNREACHABLE, Failure.NOT_RUN),
        (Fault.FULL, Failure.NOT_RUN),
        (Fault.BROKEN, Failure.UNKNOWN_OUTCOME),
    )
    def test_not_run_is_said_only_where_nothing_ran(self, fault, failure):
        driver = Driver(budget=20.0)
        driver.start()
        for number in range(1, 40):
            if driver.run.is_over:
                break
            driver.lose(number, fault)
        end = driver.asked[-1]
        self.assertEqual(end.failure, failure)
        self.assertEqual(end.retry_after_ms > 0.0, failure is Failure.NOT_RUN)

    def test_a_stream_that_may_not_be_resumed_ends_with_its_upstream(self):
        driver = Driver(route=route(is_resumable=False))
        first = driver.start()
        self.assertIsNone(first.copy_to)
        driver.events(1, 2)
        self.assertEqual(driver.lose(1)[0].failure, Failure.UNKNOWN_OUTCOME)

    @params((1, 1), (2, 2), (5, 5))
    def test_no_more_upstreams_are_reached_than_the_route_allows(self, allowed, n):
        driver = Driver(route=route(max_attempts=allowed))
        driver.start()
        for number in range(1, 9):
            driver.lose(number, Fault.FULL)
        sent = [item for item in driver.asked if isinstance(item, Send)]
        self.assertEqual(len(sent), n)
        self.assertEqual(driver.asked[-1].failure, Failure.NOT_RUN)

    def test_silence_ends_no_stream_that_can_go_on_nowhere(self):
        driver = Driver(route=route(is_resumable=False))
        driver.start()
        driver.events(1, 3)
        self.assertEqual(driver.wait(20_000.0, step_ms=100.0), [])
        self.assertTrue(driver.event(1, 4))

    def test_the_budget_bounds_what_is_sent_again(self):
        driver = Driver(budget=2.0)
        driver.start()
        number = 1
        while not driver.run.is_over:
            driver.events(number, 1)
            driver.lose(number)
            number += 1
        sent = [item for item in driver.asked if isinstance(item, Send)]
        self.assertEqual(len(sent), 3)
        self.assertEqual(driver.asked[-1].reason, "retry budget spent")


class DeathTests(unittest.TestCase):
    @params((2, Send), (3, Fail))
    def test_three_deaths_in_a_row_end_a_stream(self, n_deaths, expected):
        driver = Driver()
        driver.start()
        for _ in range(n_deaths):
            driver.run.upstream_died()
        self.assertIsInstance(driver.lose(1, Fault.SILENT)[-1], expected)

    def test_events_between_deaths_show_that_it_is_no_killer(self):
        driver = Driver()
        driver.start()
        for number in range(1, 5):
            driver.events(number, 2)
            driver.run.upstream_died()
            self.assertIsInstance(driver.lose(number)[-1], Send)

    def test_a_quarantined_stream_is_not_sent_again(self):
        driver = Driver(is_blocked=lambda: True)
        driver.start()
        self.assertEqual(driver.lose(1)[-1].reason, "quarantined")


class SilenceTests(unittest.TestCase):
    def test_a_silent_upstream_is_asked_then_left_within_the_gap(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        began_ms = driver.now_ms
        found = driver.wait(600.0)
        kinds = [type(action) for _, action in found]
        self.assertEqual(kinds, [Probe, Probe, Abandon, Send])
        self.assertLessEqual(found[-1][0] - began_ms, 530.0)
        self.assertIsNotNone(found[-1][1].copy_from)

    def test_one_that_refuses_connections_is_left_at_once(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        driver.wait(230.0)
        actions = driver.run.probed(first.upstream.incarnation, False, driver.now_ms)
        self.assertEqual([type(item) for item in actions], [Abandon, Send])

    @params(True, False)
    def test_an_answer_in_time_or_a_later_event_keeps_the_upstream(self, is_alive):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        driver.wait(230.0)
        if not is_alive:
            driver.event(1, 4, after_ms=1.0)
        incarnation = first.upstream.incarnation
        self.assertEqual(driver.run.probed(incarnation, is_alive, driver.now_ms), [])

    def test_a_process_that_stood_still_counts_no_silence(self):
        driver = Driver()
        driver.start()
        driver.events(1, 3)
        driver.now_ms += 3_000.0
        driver.run.process_paused(driver.now_ms)
        self.assertEqual(driver.run.tick(driver.now_ms), [])

    @params((True, 9_000.0), (False, 3_000.0))
    def test_before_the_first_event_a_busy_upstream_gets_more_time(
        self, is_busy, leave_ms
    ):
        driver = Driver()
        first = driver.start()
        left_ms = None
        while left_ms is None:
            if is_busy:
                driver.placement.health.showed_life(
                    first.upstream.incarnation, driver.now_ms
                )
            for at_ms, action in driver.wait(10.0):
                if isinstance(action, Abandon):
                    left_ms = at_ms
        self.assertAlmostEqual(left_ms, leave_ms, delta=20.0)

    def test_the_deadline_ends_the_stream(self):
        driver = Driver()
        driver.start()
        driver.now_ms = 25_000.0
        actions = driver.run.tick(driver.now_ms)
        self.assertEqual(actions[-1].failure, Failure.TIMED_OUT)

    def test_a_zone_that_falls_silent_gives_no_caller_a_long_gap(self):
        """Play the loss of a zone over many streams, as their callers see it."""
        drivers = [Driver(per_zone=3) for _ in range(30)]
        for number, driver in enumerate(drivers):
            driver.placement.random.seed(number)
            driver.start()
            driver.events(1, 3 + number % 5)
            began_ms = driver.now_ms
            found = driver.wait(600.0)
            sent = [(at, item) for at, item in found if isinstance(item, Send)]
            self.assertEqual(len(sent), 1)
            # A copy gives its first event within 140 ms; a gap may last 700.
            self.assertLessEqual(sent[0][0] - began_ms + 140.0, 700.0)
            self.assertNotEqual(sent[0][1].upstream.availability_zone, "zone-a")


class CopyTests(unittest.TestCase):
    def lose_keeper(self, driver, first):
        driver.placement.upstreams.remove(first.copy_to.upstream_id, driver.now_ms)

    def test_a_copy_is_made_anew_when_its_keeper_is_lost(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.assertEqual(driver.run.tick(driver.now_ms), [])
        self.lose_keeper(driver, first)
        made = driver.run.tick(driver.now_ms)[0]
        self.assertIsInstance(made, CopyRun)
        self.assertNotEqual(made.keeper, first.copy_to)
        copy = CopySource(made.keeper, made.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        second = driver.lose(1)[0]
        self.assertEqual((second.upstream, second.copy_from), (made.keeper, copy))

    def test_a_copy_on_request_is_renewed_and_dropped_at_the_end(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.lose_keeper(driver, first)
        made = driver.run.tick(driver.now_ms)[0]
        copy = CopySource(made.keeper, made.source, "h-1")
        driver.run.copied(1, copy, driver.now_ms)
        driver.events(1, 70)
        again = driver.run.tick(driver.now_ms)[0]
        self.assertEqual(again.keeper, made.keeper)
        self.assertEqual(driver.run.ended(1), [Finish(1), DropCopy(copy)])

    def test_a_copy_that_failed_is_tried_again_later(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        self.lose_keeper(driver, first)
        driver.run.tick(driver.now_ms)
        driver.run.copied(1, None, driver.now_ms)
        self.assertEqual(driver.run.tick(driver.now_ms + 100.0), [])
        self.assertIsInstance(driver.run.tick(driver.now_ms + 501.0)[0], Probe)
        driver.event(1, 4, after_ms=510.0)
        self.assertIsInstance(driver.run.tick(driver.now_ms)[0], CopyRun)

    def test_a_copy_that_comes_too_late_is_dropped(self):
        driver = Driver()
        first = driver.start()
        driver.events(1, 3)
        copy = CopySource(first.copy_to, first.upstream, "h-1")
        driver.lose(1)
        late = driver.run.copied(1, copy, driver.now_ms)
        self.assertEqual(late, [DropCopy(copy)])

    def test_a_caller_that_comes_back_goes_on_from_the_earlier_copy(self):
        keeper = fleet()[-1]
        copy = CopySource(keeper, keeper, "id-0")
        driver = Driver(find_copy=lambda now_ms: copy)
        first = driver.start()
        self.assertEqual((first.upstream, first.copy_from), (keeper, copy))
        self.assertIsNone(driver.lose(1, Fault.FULL)[0].copy_from)


class EndTests(unittest.TestCase):
    def test_a_caller_that_left_ends_the_attempt(self):
        driver = Driver()
        driver.start()
        self.assertEqual(driver.run.cancel(), [Abandon(1)])
        self.assertEqual(driver.run.tick(9e9), [])

    def test_without_any_upstream_the_caller_is_told_when_to_come_back(self):
        driver = Driver(per_zone=0)
        end = driver.start()
        self.assertEqual(end, Fail(Failure.NOT_RUN, "no upstream", 500.0))


class ReturnedRequestTests(unittest.TestCase):
    """A request that came back finds the engine that has read its prompt."""

    @params(
        ({"after_event": 5}, {}, True),
        ({"budget_ms": 4_000.0}, {"deadline_ms": 4_000.0}, True),
        ({}, {}, False),
        ({"after_event": 5, "unique_part_id": ""}, {}, True),
        ({"after_event": 5}, {"route": route(is_resumable=False)}, False),
    )
    def test_an_earlier_run_is_sought_only_for_such_a_request(
        self, request_fields, run_fields, is_asked
    ):
        fields = {"unique_part_id": "own", **request_fields}
        driver = Driver(request=request(**fields))
        for name, value in run_fields.items():
            setattr(driver.run, name, value)
        first = driver.start()
        self.assertEqual(isinstance(first, FindEarlierRun), is_asked)
        self.assertEqual(isinstance(first, Send), not is_asked)

    def test_the_request_goes_to_the_upstream_that_keeps_its_prompt(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        asked = driver.start().upstreams
        keeper = next(item for item in asked if item.availability_zone == "zone-c")
        kept = {"own": 5_000}
        driver.placement.prompts.put(keeper.incarnation, kept, driver.now_ms)
        sent = driver.take(driver.run.earlier_run_search_ended(driver.now_ms))[0]
        self.assertEqual((sent.upstream, sent.after_event), (keeper, 5))
        self.assertEqual(driver.run.earlier_run_search_ended(driver.now_ms), [])

    def test_a_copy_that_a_peer_held_goes_before_the_prompt(self):
        keeper = upstream("zone-b-0", "zone-b")
        held = []
        driver = Driver(
            request=request(after_event=5, unique_part_id="own"),
            find_copy=lambda now_ms: held[0] if held else None,
        )
        driver.start()
        held.append(CopySource(keeper, keeper, "copy-1"))
        sent = driver.take(driver.run.earlier_run_search_ended(30.0))[0]
        self.assertEqual((sent.upstream, sent.copy_from), (keeper, held[0]))

    def test_lists_that_do_not_come_are_not_waited_for(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.start()
        found = driver.wait(300.0)
        self.assertEqual([type(action) for _, action in found], [Send])
        self.assertLessEqual(found[0][0], OPTIONS.find_wait_ms + 10.0)

    def test_a_caller_that_leaves_meanwhile_gets_nothing_sent(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.start()
        self.assertEqual(driver.run.cancel(), [])
        self.assertEqual(driver.run.earlier_run_search_ended(1.0), [])
        self.assertEqual(driver.wait(300.0), [])

    def test_a_deadline_that_passes_meanwhile_ends_it(self):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.run.deadline_ms = 50.0
        driver.start()
        found = driver.wait(200.0)
        self.assertEqual([type(action) for _, action in found], [Fail])
        self.assertEqual(found[0][1].failure, Failure.TIMED_OUT)

    @params(
        (900.0, 0, Failure.NOT_RUN),
        (1_100.0, 0, None),
        (900.0, 5_000, None),
        (100.0, 4_000, Failure.NOT_RUN),
    )
    def test_a_prompt_that_can_not_be_read_in_time_is_refused_at_once(
        self, left_ms, n_kept, failure
    ):
        driver = Driver(request=request(after_event=5, unique_part_id="own"))
        driver.run.deadline_ms = left_ms
        for item in driver.start().upstreams:
            driver.placement.prompts.put(item.incarnation, {"own": n_kept}, 0.0)
        action = driver.take(driver.run.earlier_run_search_ended(0.0))[0]
        self.assertEqual(getattr(action, "failure", None), failure)


class LastAttemptTests(unittest.TestCase):
    """Where nothing else may be tried, silence is no reason to end a stream."""

    @params("budget", "attempts", "blocked")
    def test_a_silent_upstream_is_kept(self, obstacle):
        fields = {"budget": 0.0} if obstacle == "budget" else {}
        if obstacle == "attempts":
            fields["route"] = route(max_attempts=0)
        driver = Driver(is_blocked=lambda: obstacle == "blocked", **fields)
        upstream_ = driver.start().upstream
        driver.events(1, 3)
        actions = [action for _, action in driver.wait(5_000.0)]
        self.assertFalse([x for x in actions if isinstance(x, Abandon | Fail)])
        dead = driver.run.probed(upstream_.incarnation, False, driver.now_ms)
        self.assertEqual(dead, [])
        self.assertTrue(driver.event(1, 4))
        self.assertEqual(driver.run.ended(1), [Finish(1)])

    def test_it_is_left_once_another_may_be_tried(self):
        driver = Driver(budget=0.0)
        driver.start()
        driver.events(1, 3)
        driver.wait(2_000.0)
        driver.run.budget.resize(5.0)
        for _ in range(4):
            driver.run.budget.earn()
        found = [type(action) for _, action in driver.wait(1_000.0)]
        self.assertEqual(found[:2], [Abandon, Send])

    def test_it_fails_when_the_upstream_breaks_off(self):
        driver = Driver(budget=0.0)
        driver.start()
        driver.events(1, 3)
        failed = driver.lose(1)[-1]
        self.assertEqual(failed.reason, "retry budget spent")
        self.assertEqual(failed.failure, Failure.UNKNOWN_OUTCOME)
