import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import LimitChange, LimitReport, UpstreamLimits
from bronzeline_kernel.tests.forwarding.samples import upstream

UPSTREAM = ("u", 1)


class UpstreamLimitsTests(unittest.TestCase):
    def setUp(self):
        self.limits = UpstreamLimits()
        self.changes = []
        self.reports = []
        self.limits.on_change = self.changes.append
        self.limits.on_report = self.reports.append

    def name(self, limit_per_s, now_ms=0.0):
        self.limits.record_response(UPSTREAM, limit_per_s, now_ms)

    def n_allowed(self, now_ms):
        """Send as many requests as are allowed now."""
        n_sent = 0
        while self.limits.may_send(UPSTREAM, now_ms):
            self.limits.record_send(UPSTREAM, now_ms)
            n_sent += 1
        return n_sent

    def test_a_limit_holds_as_long_as_responses_name_it(self):
        for limit_per_s in (None, 2.6, 2.6, 1.1, None, None):
            self.name(limit_per_s)
            self.assertEqual(self.limits.limit_per_s(UPSTREAM), limit_per_s)
        expected = [LimitChange("u", value, True) for value in (2.6, 1.1, None)]
        self.assertEqual(self.changes, expected)

    def test_the_limit_of_an_upstream_that_left_is_dropped(self):
        self.name(2.6)
        self.limits.record_response(("v", 1), 2.6, 0.0)
        self.limits.keep_only({("v", 1)}, 0.0)
        self.assertIsNone(self.limits.limit_per_s(UPSTREAM))
        self.assertEqual(len(self.limits), 1)

    @params((2.0, 499.0, 0), (2.0, 500.0, 1), (2.0, 60_000.0, 1), (8.0, 60_000.0, 4))
    def test_requests_are_allowed_at_the_rate_that_was_named(
        self, limit_per_s, after_ms, expected
    ):
        self.name(limit_per_s)
        self.assertEqual(self.n_allowed(after_ms), expected)

    def test_an_upstream_without_a_limit_takes_all(self):
        self.name(2.0)
        self.name(None, 10.0)
        for _ in range(50):
            self.limits.record_send(UPSTREAM, 20.0)
            self.assertTrue(self.limits.may_send(UPSTREAM, 20.0))

    def test_an_upstream_that_takes_nothing_is_asked_again_seldom(self):
        self.name(0.0)
        self.assertEqual(self.n_allowed(9_000.0), 0)
        self.assertEqual(self.n_allowed(10_000.0), 1)

    def test_what_peers_sent_is_counted(self):
        self.name(2.0)
        self.limits.receive(LimitReport(*UPSTREAM, 2.0, 0.0, 2), 400.0)
        self.assertEqual(self.n_allowed(1_499.0), 0)
        self.assertEqual(self.n_allowed(1_500.0), 1)

    def test_a_router_learns_a_limit_from_the_next_request_of_a_peer(self):
        self.limits.receive(LimitReport(*UPSTREAM, 2.0, 9_000.0, 1), 1_000.0)
        self.assertFalse(self.limits.may_send(UPSTREAM, 1_100.0))
        self.assertEqual(self.changes, [LimitChange("u", 2.0, False)])
        self.assertEqual(self.reports, [])

    @params((500.0, None), (700.0, 3.0))
    def test_the_newer_of_two_responses_holds(self, sent_at_ms, expected):
        self.name(2.0, 0.0)
        self.name(None, 600.0)
        report = LimitReport(*UPSTREAM, 3.0, 1_000.0 - sent_at_ms, 0)
        self.limits.receive(report, 1_000.0)
        self.assertEqual(self.limits.limit_per_s(UPSTREAM), expected)

    def test_the_end_of_a_limit_is_forgotten_in_time(self):
        self.name(2.0)
        self.name(None, 100.0)
        self.limits.keep_only({UPSTREAM}, 5_000.0)
        self.limits.receive(LimitReport(*UPSTREAM, 2.0, 5_000.0, 1), 5_000.0)
        self.assertIsNone(self.limits.limit_per_s(UPSTREAM))
        self.limits.keep_only({UPSTREAM}, 11_000.0)
        self.name(None, 11_000.0)
        self.assertEqual(len(self.changes), 2)

    def test_resumed_streams_go_ahead_of_their_time_within_bounds(self):
        self.name(1.0)
        n_sent = 0
        while self.limits.may_send_ahead(UPSTREAM, 0.0):
            self.limits.record_send(UPSTREAM, 0.0)
            n_sent += 1
        self.assertEqual(n_sent, 4)
        self.assertEqual(self.n_allowed(4_900.0), 0)
        self.assertEqual(self.n_allowed(5_000.0), 1)

    @params((2.0, [1, 1]), (50.0, []))
    def test_requests_under_a_low_limit_are_reported_at_once(self, limit_per_s, now):
        self.name(limit_per_s)
        del self.reports[:]
        for _ in range(2):
            self.limits.record_send(UPSTREAM, 1_000.0)
        self.assertEqual([item.n_sent for item in self.reports], now)
        later = [item.n_sent for item in self.limits.reports(1_000.0)]
        self.assertEqual(later, [] if now else [2])
        self.assertEqual(self.limits.reports(1_000.0), [])

    @params((2.0, False), (50.0, True))
    def test_zones_of_a_large_fleet_share_a_high_limit(self, limit_per_s, is_for_zone):
        self.limits.n_routers, self.limits.n_in_zone = 1_000, 100
        self.name(limit_per_s)
        self.assertEqual(self.limits.is_for_zone(self.reports[0]), is_for_zone)
        n_sent = sum(self.n_allowed(at_ms) for at_ms in range(100, 10_001, 100))
        self.assertAlmostEqual(n_sent, limit_per_s * (1.0 if is_for_zone else 10.0), 0)

    def test_refused_callers_come_back_one_after_the_other(self):
        self.name(2.0)
        self.limits.n_routers = 3
        entries = [upstream("u", started=1)]
        times = [self.limits.return_after_ms("orders", entries, 0.0) for _ in range(3)]
        self.assertEqual(times, [500.0, 3_500.0, 6_500.0])
        self.assertIsNone(self.limits.return_after_ms("x", [upstream("other")], 0.0))

    def test_many_refused_callers_do_not_delay_later_ones_for_long(self):
        self.name(2.0)
        entries = [upstream("u", started=1)]
        for _ in range(100):
            self.limits.return_after_ms("orders", entries, 0.0)
        self.assertEqual(self.limits.return_after_ms("orders", entries, 0.0), 12_000.0)
        self.assertEqual(self.limits.return_after_ms("orders", entries, 13_000.0), 0.0)

    def test_callers_of_an_upstream_that_takes_nothing_are_told_a_time(self):
        self.name(0.0)
        entries = [upstream("u", started=1)]
        self.assertEqual(self.limits.return_after_ms("orders", entries, 0.0), 10_000.0)
