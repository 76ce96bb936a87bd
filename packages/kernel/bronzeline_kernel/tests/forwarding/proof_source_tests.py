import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.forwarding import ProofOptions, ProofSource

OPTIONS = ProofOptions()


def source(own_id="r5", peers=("r1", "r2", "r9")):
    made = ProofSource(own_id)
    made.set_peers(peers)
    return made


class ProofSourceTests(unittest.TestCase):
    def test_the_lowest_router_reads_and_asks_nobody(self):
        lowest = source("r0")
        self.assertIsNone(lowest.next_request(0.0))
        self.assertTrue(lowest.must_read_store(0.0))

    @params((0.0, False), (1_700.0, False), (1_800.0, True))
    def test_a_peers_proof_spares_reading_while_it_is_young(self, later_ms, expected):
        follower = source()
        ask = follower.next_request(1_000.0)
        self.assertEqual(ask.router_id, "r1")
        self.assertEqual(follower.accept_proof(ask.number, 0.0, 1_010.0), 1_000.0)
        self.assertEqual(follower.must_read_store(1_010.0 + later_ms), expected)

    def test_an_old_proof_is_dated_but_of_no_use(self):
        follower = source()
        ask = follower.next_request(5_000.0)
        self.assertEqual(follower.accept_proof(ask.number, 2_000.0, 5_010.0), 3_000.0)
        self.assertTrue(follower.must_read_store(5_010.0))

    @params((9, 0.0), (1, -1.0), (1, float("inf")), (1, float("nan")))
    def test_what_was_not_asked_or_makes_no_sense_proves_nothing(self, number, age_ms):
        follower = source()
        follower.next_request(0.0)
        self.assertIsNone(follower.accept_proof(number, age_ms, 1.0))
        self.assertTrue(follower.must_read_store(1.0))

    def test_an_answer_counts_once(self):
        follower = source()
        ask = follower.next_request(0.0)
        follower.accept_proof(ask.number, 0.0, 1.0)
        self.assertIsNone(follower.accept_proof(ask.number, 0.0, 2.0))

    def test_a_peer_that_does_not_answer_is_passed_over(self):
        follower, asked = source(), []
        for step in range(6):
            asked.append(follower.next_request(step * OPTIONS.ask_every_ms).router_id)
        self.assertEqual(asked, ["r1", "r1", "r2", "r2", "r1", "r1"])

    def test_asks_keep_their_distance(self):
        follower = source()
        self.assertIsNotNone(follower.next_request(0.0))
        self.assertIsNone(follower.next_request(OPTIONS.ask_every_ms - 1.0))
        self.assertIsNotNone(follower.next_request(OPTIONS.ask_every_ms))

    @given(
        st.floats(0, 5_000),
        st.floats(0, 5_000),
        st.floats(0, 60_000),
    )
    def test_no_delay_or_sleep_makes_a_proof_younger_than_it_is(
        self, age_at_answer_ms, ask_delay_ms, answer_delay_ms
    ):
        """The peer answers late, its answer comes later; both VMs may sleep."""
        follower = source()
        ask = follower.next_request(0.0)
        seen_at_ms = ask_delay_ms - age_at_answer_ms
        arrived_ms = ask_delay_ms + answer_delay_ms
        proven_at_ms = follower.accept_proof(ask.number, age_at_answer_ms, arrived_ms)
        self.assertLessEqual(proven_at_ms, seen_at_ms)
        if not follower.must_read_store(arrived_ms):
            self.assertLess(arrived_ms - seen_at_ms, OPTIONS.useful_age_ms)
