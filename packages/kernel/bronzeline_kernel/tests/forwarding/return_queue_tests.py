"""Check when callers of a service whose upstreams all rest are told to come back."""

import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding.return_queue import ReturnQueue

FIRST_END_MS = 1_000.0
N_UPSTREAMS = 3
INTERVAL_MS = 30.0
# Callers come faster than they are told to come back.
ARRIVAL_INTERVAL_MS = 1.0


class ReturnQueueTests(unittest.TestCase):
    def return_moments_ms(self, left_ms, n_callers):
        """Return when callers come back that arrive one after the other."""
        queue = ReturnQueue()
        moments_ms = []
        for number in range(n_callers):
            now_ms = number * ARRIVAL_INTERVAL_MS
            closure = queue.after_rests(
                "orders", [FIRST_END_MS] * N_UPSTREAMS, INTERVAL_MS, left_ms, now_ms
            )
            moments_ms.append(now_ms + closure.return_ms)
        return moments_ms

    @params(300.0, 900.0, 1_200.0, 1_400.0, 20_000.0)
    def test_callers_with_little_time_do_not_return_all_at_the_first_end(self, left_ms):
        moments_ms = self.return_moments_ms(left_ms, 4)
        spacing_ms = INTERVAL_MS / N_UPSTREAMS
        expected_ms = [FIRST_END_MS + number * spacing_ms for number in range(4)]
        for moment_ms, due_ms in zip(moments_ms, expected_ms, strict=True):
            self.assertAlmostEqual(moment_ms, due_ms)

    @params(1_010.0, 1_200.0, 1_400.0)
    def test_callers_beyond_their_time_return_in_order_while_it_lasts(self, left_ms):
        moments_ms = self.return_moments_ms(left_ms, 60)
        self.assertEqual(sorted(set(moments_ms)), moments_ms)
        for number, moment_ms in enumerate(moments_ms):
            now_ms = number * ARRIVAL_INTERVAL_MS
            self.assertGreaterEqual(moment_ms, FIRST_END_MS)
            self.assertLess(moment_ms, max(now_ms + left_ms, FIRST_END_MS))
