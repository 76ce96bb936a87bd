import logging
import unittest
from unittest import mock

from nose2.tools import params

from bronzeline_daemon import log_limits
from bronzeline_daemon.log_limits import (
    BURST_S,
    ROUTINE_PER_S,
    TROUBLE_PER_S,
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

    @params(("event", ROUTINE_PER_S), ("warn", TROUBLE_PER_S))
    def test_each_kind_has_its_share_a_second(self, method, rate_per_s):
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

    def test_dropped_lines_are_counted_and_told(self):
        for _ in range(int(ROUTINE_PER_S * BURST_S) + 3):
            self.limiter.event("busy")
        self.limiter.report_dropped()
        self.assertEqual(self.events()[-1], "lines_dropped")
        self.assertEqual(self.written[-1].n_busy, 3)
        self.assertEqual(self.written[-1].router, "router-1")
        n_written = len(self.written)
        self.limiter.report_dropped()
        self.assertEqual(len(self.written), n_written)

    def test_a_troubled_requests_lines_go_before_good_ones(self):
        for number in range(int(ROUTINE_PER_S * BURST_S) + 20):
            good = RequestLog(self.limiter, f"good-{number}")
            good.note("attempt_sent")
            good.end()
        bad = RequestLog(self.limiter, "bad")
        bad.note("attempt_sent", number=1)
        bad.trouble("attempt_lost")
        bad.note("attempt_sent", number=2)
        bad.end()
        own = [item for item in self.written if item.request_id == "bad"]
        self.assertEqual(
            [item.getMessage() for item in own],
            ["attempt_sent", "attempt_lost", "attempt_sent"],
        )
        self.assertEqual({item.levelno for item in own}, {logging.WARNING})
