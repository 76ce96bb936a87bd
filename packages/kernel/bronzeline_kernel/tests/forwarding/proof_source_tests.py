import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.forwarding import ProofOptions, ProofSource

OPTIONS = ProofOptions()


def source(own_id="r5", peers=("r1", "r2", "r9")):
    proof_source = ProofSource(own_id)
    proof_source.set_peers(peers)
    return proof_source


class ProofSourceTests(unittest.TestCase):
    def test_router_with_lowest_id_reads_the_store(self):
        lowest = source("r0")
        self.assertIsNone(lowest.next_request(0.0))
        self.assertTrue(lowest.must_read_store(0.0))

    @params((0.0, False), (1_700.0, False), (1_800.0, True))
    def test_recent_proof_of_peer_replaces_reading(self, later_ms, expected):
        follower = source()
        request = follower.next_request(1_000.0)
        self.assertEqual(request.router_id, "r1")
        self.assertEqual(follower.accept_proof(request.number, 0.0, 1_010.0), 1_000.0)
        self.assertEqual(follower.must_read_store(1_010.0 + later_ms), expected)

    def test_old_proof_is_dated_but_does_not_replace_reading(self):
        follower = source()
        request = follower.next_request(5_000.0)
        self.assertEqual(
            follower.accept_proof(request.number, 2_000.0, 5_010.0), 3_000.0
        )
        self.assertTrue(follower.must_read_store(5_010.0))

    @params((9, 0.0), (1, -1.0), (1, float("inf")), (1, float("nan")))
    def test_unrequested_or_invalid_proof_is_ignored(self, number, age_ms):
        follower = source()
        follower.next_request(0.0)
        self.assertIsNone(follower.accept_proof(number, age_ms, 1.0))
        self.assertTrue(follower.must_read_store(1.0))

    def test_reply_counts_once(self):
        follower = source()
        request = follower.next_request(0.0)
        follower.accept_proof(request.number, 0.0, 1.0)
        self.assertIsNone(follower.accept_proof(request.number, 0.0, 2.0))

    def test_next_peer_is_asked_after_unanswered_requests(self):
        follower, router_ids = source(), []
        for step in range(6):
            router_ids.append(
                follower.next_request(step * OPTIONS.request_interval_ms).router_id
            )
        self.assertEqual(router_ids, ["r1", "r1", "r2", "r2", "r1", "r1"])

    def test_requests_keep_the_interval(self):
        follower = source()
        self.assertIsNotNone(follower.next_request(0.0))
        self.assertIsNone(follower.next_request(OPTIONS.request_interval_ms - 1.0))
        self.assertIsNotNone(follower.next_request(OPTIONS.request_interval_ms))

    @given(
        st.floats(0, 5_000),
        st.floats(0, 5_000),
        st.floats(0, 60_000),
    )
    def test_delays_never_make_a_proof_appear_newer(
        self, age_at_reply_ms, request_delay_ms, reply_delay_ms
    ):
        """The request, the reply or both are delayed, e.g. by a suspended VM."""
        follower = source()
        request = follower.next_request(0.0)
        current_at_ms = request_delay_ms - age_at_reply_ms
        arrived_ms = request_delay_ms + reply_delay_ms
        proven_at_ms = follower.accept_proof(
            request.number, age_at_reply_ms, arrived_ms
        )
        self.assertLessEqual(proven_at_ms, current_at_ms)
        if not follower.must_read_store(arrived_ms):
            self.assertLess(arrived_ms - current_at_ms, OPTIONS.max_age_ms)
