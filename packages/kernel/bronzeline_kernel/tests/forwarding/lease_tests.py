import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.forwarding import FreshnessLease, LeaseTerms

TERMS = LeaseTerms(max_age_ms=4_700.0, ready_age_ms=3_400.0)


class LeaseTests(unittest.TestCase):
    @params(
        (None, 10.0, False, False),
        (0.0, 3_399.0, True, True),
        (0.0, 3_400.0, True, False),
        (0.0, 4_699.0, True, False),
        (0.0, 4_700.0, False, False),
    )
    def test_a_proof_holds_from_the_time_its_call_was_sent(
        self, proven_ms, now_ms, is_valid, is_ready
    ):
        lease = FreshnessLease(TERMS)
        if proven_ms is not None:
            lease.renew(proven_ms)
        self.assertEqual(lease.is_valid(now_ms), is_valid)
        self.assertEqual(lease.is_ready(now_ms), is_ready)

    @given(st.lists(st.floats(0, 1e6), min_size=1, max_size=9), st.floats(0, 2e6))
    def test_an_older_proof_never_shortens_or_lengthens_the_lease(self, sent, now_ms):
        lease = FreshnessLease(TERMS)
        for at_ms in sent:
            lease.renew(at_ms)
        self.assertEqual(lease.is_valid(now_ms), now_ms - max(sent) < TERMS.max_age_ms)
