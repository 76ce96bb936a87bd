import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzeline_kernel.rate_limit import TokenBucket


class TokenBucketTests(unittest.TestCase):
    @given(
        st.floats(1.0, 500.0),
        st.floats(1.0, 50.0),
        st.lists(st.floats(0.0, 300.0), max_size=60),
    )
    def test_no_window_admits_more_than_rate_and_burst(self, rate, burst, gaps):
        bucket = TokenBucket(rate, burst)
        now_ms, admitted_ms = 0.0, []
        for gap_ms in gaps:
            now_ms += gap_ms
            wait_ms = bucket.reserve(now_ms, 1_000.0)
            if wait_ms is not None:
                admitted_ms.append(now_ms + wait_ms)
        for first, start_ms in enumerate(admitted_ms):
            for last in range(first, len(admitted_ms)):
                n_admitted = last - first + 1
                span_s = (admitted_ms[last] - start_ms) / 1_000.0
                self.assertLessEqual(n_admitted, burst + rate * span_s + 1.001)

    def test_a_wait_that_is_too_long_takes_no_token(self):
        bucket = TokenBucket(1.0, 1.0)
        self.assertEqual(bucket.reserve(0.0, 0.0), 0.0)
        self.assertIsNone(bucket.reserve(0.0, 500.0))
        self.assertAlmostEqual(bucket.reserve(500.0, 500.0), 500.0)
