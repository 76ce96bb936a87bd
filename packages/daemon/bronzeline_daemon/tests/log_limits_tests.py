import logging
import unittest
from unittest import mock

from nose2.tools import params

from bronzeline_daemon import log_limits
from bronzeline_daemon.log_limits import (
    BURST_S,
    INFO_LINES_PER_S,
    MAX_KEPT_LINES,
    WARNING_LINES_PER_S,
    LogLimiter,
    RequestLog,
)


class FakeClock:
    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class LogLimitsTests(unittest.TestCase):
    def setUp(self):
        self.clock = FakeClock()
        self.limiter = LogLimiter(self.clock, "router-1")
        self.written = []
        patch = mock.patch.object(log_limits, "write_record", self.written.append)
        patch.start()
        self.addCleanup(patch.stop)

    def events(self):
        return [record.getMessage() for record in self.written]

    @params(("info", INFO_LINES_PER_S), ("warn", WARNING_LINES_PER_S))
    def test_limits_the_lines_of_each_kind_per_second(self, method, rate_per_s):
        n_burst = int(rate_per_s * BURST_S)
        for _ in range(n_burst + 50):
            getattr(self.limiter, method)("busy")
        self.assertEqual(len(self.written), n_burst)
        getattr(self.limiter, method)("other")
        self.assertEqual(self.events()[-1], "other")
        self.clock.at_ms = 1_000.0
        for _ in range(n_burst):
            getattr(self.limiter, method)("busy")
        self.assertEqual(self.events().count("busy"), n_burst + int(rate_per_s))

    def test_dropped_lines_are_counted_and_reported(self):
        for _ in range(int(INFO_LINES_PER_S * BURST_S) + 3):
            self.limiter.info("busy")
        self.limiter.report_dropped()
        self.assertEqual(self.events()[-1], "lines_dropped")
        self.assertEqual(self.written[-1].n_busy, 3)
        self.assertEqual(self.written[-1].router, "router-1")
        n_written = len(self.written)
        self.limiter.report_dropped()
        self.assertEqual(len(self.written), n_written)

    def test_warnings_are_written_when_the_info_limit_is_used_up(self):
        for number in range(int(INFO_LINES_PER_S * BURST_S) + 20):
            good = RequestLog(self.limiter, f"good-{number}")
            good.info("attempt_sent")
            good.end()
        bad = RequestLog(self.limiter, "bad")
        bad.info("attempt_sent", number=1)
        bad.warn("attempt_lost")
        bad.info("attempt_sent", number=2)
        bad.end()
        bad_records = [item for item in self.written if item.request_id == "bad"]
        self.assertEqual(
            [item.getMessage() for item in bad_records],
            ["attempt_sent", "attempt_lost", "attempt_sent"],
        )
        self.assertEqual({item.levelno for item in bad_records}, {logging.WARNING})

    def test_lines_of_a_running_request_are_written_at_once(self):
        running = RequestLog(self.limiter, "running")
        running.info("attempt_sent", number=1)
        self.assertEqual(self.events(), ["attempt_sent"])
        running.warn("attempt_lost")
        running.end()
        self.assertEqual(self.events(), ["attempt_sent", "attempt_lost"])

    @params((3, 3), (MAX_KEPT_LINES + 5, MAX_KEPT_LINES))
    def test_kept_lines_are_bounded_and_counted_when_dropped(self, n_lines, n_kept):
        for _ in range(int(INFO_LINES_PER_S * BURST_S)):
            self.limiter.info("attempt_sent")
        self.written.clear()
        good, bad = RequestLog(self.limiter, "good"), RequestLog(self.limiter, "bad")
        for _ in range(n_lines):
            good.info("attempt_sent")
            bad.info("attempt_sent")
        bad.warn("attempt_lost")
        self.assertEqual(self.events(), ["attempt_sent"] * n_kept + ["attempt_lost"])
        good.end()
        n_dropped = n_lines + (n_lines - n_kept)
        self.assertEqual(self.limiter.dropped["attempt_sent"], n_dropped)
