import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    Abandon,
    CopySource,
    DropCopy,
    EngineInfo,
    Fault,
    Finish,
    MoveCallOutcome,
    MoveCallResult,
    MovePlan,
    MoveRun,
    Send,
    StreamMover,
)
from bronzeline_kernel.tests.forwarding.samples import fleet, route
from bronzeline_kernel.tests.forwarding.stream_driver import Driver

COPIED, NO_RUN, BUSY, NO_ROOM, NOT_SENT, UNKNOWN = MoveCallOutcome


class MoveDriver(Driver):
    """Drive a stream whose upstream leaves."""

    def __init__(self, has_moves=True, **run_fields):
        super().__init__(per_zone=3, **run_fields)
        engine = EngineInfo(8, 55_000, True, has_moves, 1_000.0, 1_000.0)
        self.is_stopping, self.reports = False, []
        plan = MovePlan(
            self.placement,
            lambda service: engine,
            may_begin=lambda: not self.is_stopping,
            on_end=self.reports.append,
        )
        self.run.mover = StreamMover(plan, self.run.binding, 700.0)

    @property
    def outcomes(self):
        return [item.outcome for item in self.reports]

    def leave(self, upstream):
        self.placement.upstreams.put(replace(upstream, is_leaving=True))

    def begin(self):
        """Send a stream, let its upstream leave and return the first copy call."""
        self.first = self.start()
        self.events(1, 5)
        self.leave(self.first.upstream)
        return self.next_call(200.0)

    def begin_stop(self):
        """Return the call that stops the run."""
        return self.answer(self.begin())[0]

    def next_call(self, duration_ms):
        end_ms = self.now_ms + duration_ms
        while self.now_ms < end_ms:
            actions = [action for _, action in self.wait(10.0)]
            calls = [action for action in actions if isinstance(action, MoveRun)]
            if calls:
                return calls[0]
        return None

    def answer(self, call, outcome=COPIED, copy_id="h-1", n_events=5, after_ms=20.0):
        self.now_ms += after_ms
        is_named = outcome in (COPIED, NO_ROOM)
        result = MoveCallResult(outcome, copy_id if is_named else "", n_events)
        return self.collect(self.run.move_called(call, result, self.now_ms))

    def handle(self, call):
        return CopySource(call.destination, call.source, "h-1")

    def at_source(self, call):
        return CopySource(call.source, call.source, "h-1")

    def check_ended(self, test, outcome, *, drops):
        """Check the report, what was freed, and that no load is left."""
        test.assertEqual(self.outcomes[-1], outcome)
        dropped = [x.copy for x in self.actions if isinstance(x, DropCopy)]
        test.assertEqual(set(dropped), set(drops))
        number = self.run.attempt.number
        self.at_end = self.collect(self.run.ended(number))
        loads = [self.placement.load(item.upstream_id) for item in fleet(3)]
        counts = {(x.n_prompts, x.n_streams, x.n_copies) for x in loads}
        test.assertEqual(counts, {(0, 0, 0)})


class StreamMoverTests(unittest.TestCase):
    """Guard against moves that lose, repeat or combine events, or leak copies."""

    def test_a_stream_moves_as_one_run_without_a_retry(self):
        driver = MoveDriver()
        stop = driver.begin_stop()
        n_left, counts = driver.run.budget.n_left, driver.run.counts
        self.assertTrue(stop.is_last)
        self.assertTrue(driver.event(1, 6))
        abandon, send = driver.answer(stop, n_events=6)
        # A move must not count as a lost response in a rollout.
        self.assertEqual(abandon, Abandon(1, is_move=True))
        self.assertEqual((send.upstream, send.after_event), (stop.destination, 6))
        self.assertEqual(send.copy_from, driver.handle(stop))
        self.assertFalse(driver.event(1, 7))
        self.assertTrue(driver.event(2, 7))
        self.assertEqual(driver.run.budget.n_left, n_left)
        self.assertEqual(counts.n_used, 1)
        driver.check_ended(self, "moved", drops=[])

    def test_events_in_flight_are_awaited_before_the_stream_goes_on(self):
        driver = MoveDriver()
        stop = driver.begin_stop()
        self.assertEqual(driver.answer(stop, n_events=7), [])
        self.assertTrue(driver.event(1, 6, 1.0) and driver.event(1, 7, 1.0))
        self.assertEqual(driver.wait(10.0)[-1][1].after_event, 7)

    def test_a_slow_copy_is_repeated_before_the_run_stops(self):
        driver = MoveDriver()
        again = driver.answer(driver.begin(), after_ms=400.0)[0]
        self.assertFalse(again.is_last)
        self.assertTrue(driver.answer(again)[0].is_last)

    @params(NO_ROOM, NOT_SENT, BUSY, UNKNOWN)
    def test_a_stream_that_can_not_be_copied_stays_after_two_destinations(
        self, outcome
    ):
        driver, destinations = MoveDriver(), []
        call = driver.begin()
        while call is not None:
            destinations.append(call.destination)
            self.assertFalse(call.is_last)
            driver.answer(call, outcome, copy_id="")
            driver.run.attempt.progress_at_ms = driver.now_ms
            call = driver.next_call(400.0)
        self.assertEqual(len(set(destinations)), 2)
        self.assertTrue(driver.event(1, 6))
        driver.check_ended(self, outcome.value, drops=[])

    def test_a_call_in_progress_is_awaited(self):
        driver = MoveDriver()
        self.assertEqual(driver.answer(driver.begin(), BUSY), [])
        self.assertTrue(driver.answer(driver.next_call(300.0))[0].is_last)

    def test_a_run_that_has_ended_is_left_alone(self):
        driver = MoveDriver()
        driver.answer(driver.begin(), NO_RUN)
        self.assertIsNone(driver.next_call(400.0))
        driver.check_ended(self, "no_run", drops=[])

    def test_a_source_lost_during_the_copy_resumes_from_the_backup(self):
        driver = MoveDriver()
        call = driver.begin()
        send = driver.fail_attempt(1)[0]
        self.assertEqual(send.copy_from.copy_id, "id-1")
        driver.answer(call)
        driver.event(2, 6)
        driver.check_ended(self, "source_lost", drops=[driver.handle(call)])

    def test_a_source_lost_after_the_copy_resumes_from_it(self):
        driver = MoveDriver()
        call = driver.begin()
        driver.answer(call, after_ms=400.0)
        self.assertEqual(driver.fail_attempt(1)[0].copy_from, driver.handle(call))
        driver.event(2, 6)
        driver.check_ended(self, "moved", drops=[])

    @params(True, False)
    def test_a_stream_that_closes_while_it_stops_goes_on_once(self, is_answered):
        driver = MoveDriver()
        stop = driver.begin_stop()
        self.assertEqual(driver.fail_attempt(1), [])
        if is_answered:
            sent = driver.answer(stop)
        else:
            sent = [action for _, action in driver.wait(500.0)]
        self.assertEqual([type(x) for x in sent], [Abandon, Send])
        self.assertEqual(sent[1].copy_from, driver.handle(stop))

    @params((UNKNOWN, Fault.BROKEN), (NOT_SENT, Fault.EARLY_END), (COPIED, None))
    def test_a_source_that_crashes_as_it_stops_the_run_is_avoided(self, outcome, fault):
        """Guard against a crash without evidence, as the close is expected."""
        driver = MoveDriver()
        stop = driver.begin_stop()
        self.assertEqual(driver.fail_attempt(1, fault or Fault.BROKEN), [])
        abandon = driver.answer(stop, outcome)[0]
        self.assertEqual(abandon.fault, Fault.BROKEN if fault else None)
        self.assertEqual(abandon.is_move, fault is None)
        health, source = driver.placement.health, stop.source.incarnation
        score = health.failure_score(source, driver.now_ms)
        self.assertEqual(score > 0.0, fault is not None)

    def test_only_a_close_is_expected_as_a_run_stops(self):
        """Guard against other faults of the source that leave no evidence."""
        driver = MoveDriver()
        driver.begin_stop()
        mover, attempt = driver.run.mover, driver.run.attempt
        expected = {x for x in Fault if mover.expects_close(1, attempt, x)}
        self.assertEqual(expected, {Fault.BROKEN, Fault.EARLY_END})

    def test_without_a_response_to_the_stop_the_stream_closes_first(self):
        """The copy, the backup and the prompt are tried, one after the other."""
        driver = MoveDriver()
        stop = driver.begin_stop()
        abandon, send = driver.answer(stop, UNKNOWN)
        self.assertEqual((abandon, send.copy_from), (Abandon(1), driver.handle(stop)))
        second = driver.fail_attempt(2, Fault.FULL)[0]
        self.assertEqual(second.copy_from.copy_id, "id-1")
        third = driver.fail_attempt(3, Fault.FULL)[0]
        self.assertIsNone(third.copy_from)
        driver.wait(20.0)
        driver.event(4, 6)
        driver.check_ended(self, "prompt_read_again", drops=[driver.handle(stop)])

    def test_a_move_whose_copies_are_lost_uses_up_no_attempt(self):
        """Guard against a failed stream where an ordinary loss would resume it."""
        driver = MoveDriver(route=route(max_attempts=1))
        stop = driver.begin_stop()
        for copy in driver.run.attempt.copies("id-1"):
            driver.leave(copy.holder)
        driver.leave(stop.destination)
        abandon, send = driver.answer(stop, UNKNOWN)[:2]
        self.assertEqual(abandon, Abandon(1))
        self.assertIsInstance(send, Send)
        self.assertIsNone(send.copy_from)

    @params(Fault.UNREACHABLE, Fault.REPLACED, Fault.FULL, Fault.BROKEN)
    def test_a_destination_that_fails_after_the_stop_is_replaced_by_the_source(
        self, fault
    ):
        driver = MoveDriver()
        stop = driver.begin_stop()
        driver.answer(stop)
        send = driver.fail_attempt(2, fault)[0]
        self.assertEqual(send.copy_from, driver.at_source(stop))
        driver.event(3, 6)
        self.assertIsNone(driver.next_call(400.0))
        driver.check_ended(self, "returned", drops=[])
        self.assertIn(DropCopy(driver.handle(stop), True), driver.at_end)

    def test_a_stopped_run_without_room_elsewhere_returns_to_its_source(self):
        driver = MoveDriver()
        stop = driver.begin_stop()
        send = driver.answer(stop, NO_ROOM)[1]
        self.assertEqual(send.copy_from, driver.at_source(stop))

    @params(BUSY, NO_RUN, NOT_SENT)
    def test_a_run_that_was_not_stopped_stays(self, outcome):
        driver = MoveDriver()
        stop = driver.begin_stop()
        driver.answer(stop, outcome)
        self.assertTrue(driver.event(1, 6))
        driver.check_ended(
            self, f"not_stopped_{outcome.value}", drops=[driver.handle(stop)]
        )

    @params("leaves", "restarts", "router stops")
    def test_a_run_is_not_stopped_if_it_can_not_go_on(self, cause):
        driver = MoveDriver()
        call = driver.begin()
        if cause == "leaves":
            driver.leave(call.destination)
        if cause == "restarts":
            started = replace(call.destination, started_at_ms=2)
            driver.placement.upstreams.put(started)
        driver.is_stopping = cause == "router stops"
        driver.answer(call)
        self.assertTrue(driver.event(1, 6))
        outcome = "router_stops" if driver.is_stopping else "destination_lost"
        driver.check_ended(self, outcome, drops=[driver.handle(call)])

    @params("copy", "stop", "continue")
    def test_a_caller_that_leaves_during_a_move_leaves_no_copy(self, step):
        driver = MoveDriver()
        call = driver.begin()
        if step != "copy":
            call = driver.answer(call)[0]
        if step == "continue":
            driver.answer(call)
        driver.collect(driver.run.cancel())
        if step != "continue":
            driver.answer(call)
        self.assertIn(DropCopy(driver.handle(call), True), driver.actions)
        self.assertEqual(len(driver.outcomes), 1)

    @params(False, True)
    def test_a_move_ends_with_the_deadline_of_its_request(self, is_stopping):
        driver = MoveDriver()
        call = driver.begin()
        if is_stopping:
            call = driver.answer(call)[0]
        driver.run.deadline_ms = driver.now_ms
        driver.wait(10.0)
        driver.answer(call)
        self.assertTrue(driver.run.is_over)
        self.assertIn(DropCopy(driver.handle(call), True), driver.actions)
        self.assertEqual(driver.outcomes, ["failed"])

    def test_a_pause_of_the_process_does_not_end_the_wait_for_the_stop(self):
        driver = MoveDriver()
        stop = driver.begin_stop()
        driver.now_ms += 5_000.0
        driver.run.process_paused(driver.now_ms)
        self.assertEqual(driver.wait(100.0), [])
        self.assertEqual(driver.answer(stop)[1].copy_from, driver.handle(stop))

    def test_a_caller_that_does_not_read_does_not_hold_up_the_stop_for_ever(self):
        driver = MoveDriver()
        driver.begin_stop()
        actions = []
        for _ in range(20):
            driver.run.process_paused(driver.now_ms)
            actions += driver.wait(50.0)
        self.assertIn(Abandon(1), [action for _, action in actions])

    @params((False, True), (True, False))
    def test_without_moves_or_leaving_decisions_are_unchanged(self, has_moves, leaves):
        """Guard deployments whose configuration has no moves."""
        drivers = [Driver(per_zone=3), MoveDriver(has_moves)]
        for driver in drivers:
            send = driver.start()
            driver.events(1, 5)
            if leaves:
                driver.placement.upstreams.put(replace(send.upstream, is_leaving=True))
            driver.wait(3_000.0)
            driver.fail_attempt(driver.run.attempt.number)
            driver.events(driver.run.attempt.number, 5)
            driver.collect(driver.run.ended(driver.run.attempt.number))
        self.assertEqual(drivers[0].actions, drivers[1].actions)
        self.assertIsInstance(drivers[0].actions[-1], Finish)
