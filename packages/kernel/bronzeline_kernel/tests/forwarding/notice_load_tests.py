"""Check what callers of several routers get while engines leave and rest."""

import unittest

from nose2.tools import params

from bronzeline_kernel.tests.forwarding.notice_load_player import (
    NOTICE_LOADS,
    measure,
)

ALL_REST = "all rest at once"


class NoticeLoadTests(unittest.TestCase):
    @params(*(name for name in NOTICE_LOADS if name != ALL_REST))
    def test_all_callers_are_served_in_time_while_other_engines_are_there(self, name):
        result = measure(NOTICE_LOADS[name])
        self.assertEqual((result.served, result.in_time), (1.0, 1.0))
        self.assertEqual(result.n_refused, 0)

    def test_refused_callers_are_served_when_they_come_back(self):
        """All engines rest, for the second time while some callers come back."""
        result = measure(NOTICE_LOADS[ALL_REST])
        self.assertGreater(result.n_refused, 10)
        self.assertGreaterEqual(result.served_at_return, 0.9)
        self.assertGreaterEqual(result.served, 0.95)

    @params("some leave while others rest", ALL_REST)
    def test_more_are_served_than_without_reading_the_notices(self, name):
        load = NOTICE_LOADS[name]
        result, unread = measure(load), measure(load, reads_notices=False)
        self.assertGreater(result.served, unread.served)
        self.assertGreaterEqual(result.served_at_return, unread.served_at_return)
        self.assertLess(result.n_sent_in_rest, unread.n_sent_in_rest)
