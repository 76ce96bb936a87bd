import unittest

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_kernel.forwarding import ProofOptions, ProofSource, RouterEntry

LIMIT_MS = 2_500.0
OPTIONS = ProofOptions.within(LIMIT_MS)
# When the grace time of routers that start together has passed.
STARTED_MS = OPTIONS.start_grace_ms
# A call to the store across regions, and a peer's response to a request for proof.
CALL_MS = 30.0
RESPONSE_MS = 25.0


def router(name):
    return RouterEntry(name, "10.0.0.1", 7_200, name.partition("-")[0])


PEERS = ("a-1", "a-2", "b-1", "b-3", "b-4")


def source(own_id="b-2", peers=PEERS, started_at_ms=0.0):
    proof_source = ProofSource(router(own_id), OPTIONS, started_at_ms)
    proof_source.set_peers([router(name) for name in peers if name != own_id], 0.0)
    return proof_source


def prove(proof_source, now_ms, age_ms=0.0):
    """Request and accept a proof; return the id of the peer that was asked."""
    request = proof_source.next_request(now_ms)
    proof_source.accept_proof(request.number, age_ms, now_ms)
    return request.peer.router_id


def ask_unanswered(proof_source, now_ms, n_requests):
    """Return the ids of the peers asked by requests without a response."""
    asked = []
    for number in range(n_requests):
        request = proof_source.next_request(
            now_ms + number * OPTIONS.unanswered_interval_ms
        )
        asked.append(request.peer.router_id if request else None)
    return asked


class ProofSourceTests(unittest.TestCase):
    @params(("a-1", None), ("a-2", "a-1"), ("b-1", "a-1"), ("b-4", "b-1"))
    def test_a_router_asks_its_parent_and_the_root_reads_the_store(
        self, own_id, parent_id
    ):
        proof_source = source(own_id)
        request = proof_source.next_request(0.0)
        self.assertEqual(request and request.peer.router_id, parent_id)
        self.assertEqual(proof_source.must_read_store(0.0), parent_id is None)

    @params(
        ("b-2", OPTIONS.max_age_ms),
        ("b-1", OPTIONS.first_of_zone_max_age_ms),
    )
    def test_a_recent_proof_replaces_reading(self, own_id, max_age_ms):
        follower = source(own_id)
        at_ms = 2.0 * STARTED_MS
        request = follower.next_request(at_ms)
        self.assertEqual(follower.accept_proof(request.number, 0.0, at_ms + 10), at_ms)
        self.assertFalse(follower.must_read_store(at_ms + max_age_ms - 1.0))
        self.assertTrue(follower.must_read_store(at_ms + max_age_ms))

    @params((9, 0.0), (1, -1.0), (1, float("inf")), (1, float("nan")))
    def test_an_unrequested_or_invalid_proof_is_ignored(self, number, age_ms):
        follower = source()
        follower.next_request(STARTED_MS)
        self.assertIsNone(follower.accept_proof(number, age_ms, STARTED_MS))
        self.assertTrue(follower.must_read_store(STARTED_MS))

    @params(("b-2", OPTIONS.max_age_ms), ("b-1", OPTIONS.first_of_zone_max_age_ms))
    def test_an_old_proof_is_dated_but_does_not_replace_reading(self, own_id, age_ms):
        follower = source(own_id)
        request = follower.next_request(5_000.0)
        proven_at_ms = follower.accept_proof(request.number, age_ms, 5_010.0)
        self.assertEqual(proven_at_ms, 5_000.0 - age_ms)
        self.assertTrue(follower.must_read_store(5_010.0))

    @params(2, 3, 5)
    def test_proofs_stay_recent_at_any_depth_of_the_tree(self, n_levels):
        """Each level adds an interval and a response to the age of the root's proof."""
        root_age_ms = OPTIONS.poll_interval_ms + CALL_MS
        age_ms = root_age_ms + n_levels * (OPTIONS.request_interval_ms + RESPONSE_MS)
        self.assertLess(age_ms, OPTIONS.max_age_ms)
        self.assertLess(OPTIONS.max_age_ms + CALL_MS, LIMIT_MS)

    def test_a_response_counts_once(self):
        follower = source()
        request = follower.next_request(0.0)
        follower.accept_proof(request.number, 0.0, 1.0)
        self.assertIsNone(follower.accept_proof(request.number, 0.0, 2.0))

    def test_requests_keep_the_interval(self):
        follower = source()
        prove(follower, 0.0)
        self.assertIsNone(follower.next_request(OPTIONS.request_interval_ms - 1.0))
        self.assertIsNotNone(follower.next_request(OPTIONS.request_interval_ms))

    @given(st.floats(0, 5_000), st.floats(0, 5_000), st.floats(0, 60_000))
    def test_delays_never_make_a_proof_appear_newer(
        self, age_at_reply_ms, request_delay_ms, reply_delay_ms
    ):
        """The request, the response or both are delayed, e.g. by a suspended VM."""
        follower = source(started_at_ms=-STARTED_MS)
        request = follower.next_request(0.0)
        current_at_ms = request_delay_ms - age_at_reply_ms
        arrived_ms = request_delay_ms + reply_delay_ms
        proven_at_ms = follower.accept_proof(
            request.number, age_at_reply_ms, arrived_ms
        )
        self.assertLessEqual(proven_at_ms, current_at_ms)
        if not follower.must_read_store(arrived_ms):
            self.assertLess(arrived_ms - current_at_ms, OPTIONS.max_age_ms)


class LostParentTests(unittest.TestCase):
    def test_the_next_router_is_asked_when_the_parent_does_not_respond(self):
        follower = source("b-4")
        prove(follower, STARTED_MS)
        asked = ask_unanswered(follower, 2.0 * STARTED_MS, 5)
        self.assertEqual(asked, ["b-1", "b-1", "b-1", "b-3", "b-3"])

    def test_the_second_router_replaces_a_lost_root_before_proofs_are_old(self):
        second = source("a-2")
        prove(second, STARTED_MS)
        asked_ms = STARTED_MS + OPTIONS.request_interval_ms
        ask_unanswered(second, asked_ms, OPTIONS.requests_per_peer + 1)
        took_over_ms = (
            asked_ms + OPTIONS.requests_per_peer * OPTIONS.unanswered_interval_ms
        )
        self.assertTrue(second.must_read_store(took_over_ms))
        self.assertLess(
            took_over_ms - STARTED_MS + OPTIONS.poll_interval_ms,
            OPTIONS.first_of_zone_max_age_ms,
        )

    def test_a_lost_parent_is_asked_again_later(self):
        follower = source()
        prove(follower, STARTED_MS)
        ask_unanswered(follower, 2.0 * STARTED_MS, 4)
        later_ms = 3.0 * STARTED_MS + OPTIONS.avoid_ms
        self.assertEqual(prove(follower, later_ms), "b-1")

    def test_a_parent_that_never_responds_is_asked_ever_more_seldom(self):
        """Its VM was replaced under another name; the next router responds."""
        follower = source()
        asked = []
        now_ms = STARTED_MS
        while now_ms < STARTED_MS + 60_000.0:
            request = follower.next_request(now_ms)
            if request is not None:
                asked.append(request.peer.router_id)
                if request.peer.router_id != "b-1":
                    follower.accept_proof(request.number, 0.0, now_ms + RESPONSE_MS)
            now_ms += OPTIONS.unanswered_interval_ms
        n_rounds = asked.count("b-1") / OPTIONS.requests_per_peer
        self.assertLessEqual(n_rounds, 4.0)
        self.assertGreater(asked.count("a-1"), 150)

    @params((False, "a-1"), (True, "b-1"))
    def test_a_parent_that_is_heard_from_is_soon_asked_again(self, is_heard, expected):
        follower = source()
        for at_ms in (STARTED_MS, STARTED_MS + 2.0 * OPTIONS.avoid_ms):
            ask_unanswered(follower, at_ms, 4)
        heard_ms = STARTED_MS + 2.0 * OPTIONS.avoid_ms + 500.0
        if is_heard:
            follower.heard_from("b-1", heard_ms)
        parent = follower.parent(heard_ms + OPTIONS.avoid_ms)
        self.assertEqual(parent.router_id, expected)

    def test_no_parent_is_avoided_while_routers_start(self):
        follower = source()
        asked = ask_unanswered(follower, 0.0, 8)
        self.assertEqual(set(asked), {"b-1"})
        self.assertFalse(follower.must_read_store(STARTED_MS - 1.0))
        self.assertTrue(follower.must_read_store(STARTED_MS))

    def test_a_parent_that_can_not_read_the_store_is_avoided_once_it_can_be_read(self):
        follower = source()
        prove(follower, STARTED_MS)
        old_ms = STARTED_MS + OPTIONS.max_age_ms
        self.assertEqual(prove(follower, old_ms, OPTIONS.max_age_ms), "b-1")
        self.assertTrue(follower.must_read_store(old_ms))
        follower.store_read(old_ms)
        self.assertIsNone(follower.next_request(old_ms))
        self.assertTrue(follower.must_read_store(old_ms))

    def test_a_parent_with_a_recent_proof_stays(self):
        follower = source()
        prove(follower, STARTED_MS)
        follower.store_read(STARTED_MS)
        self.assertEqual(follower.parent(STARTED_MS).router_id, "b-1")


class OutageTests(unittest.TestCase):
    @params(
        ("a-1", None),
        ("b-1", OPTIONS.first_of_zone_retry_ms),
        ("a-2", OPTIONS.first_retry_ms),
    )
    def test_only_the_root_retries_at_once(self, own_id, pause_ms):
        self.assertEqual(source(own_id).retry_pause_ms(1, STARTED_MS), pause_ms)

    @params(
        ("b-2", 0, 2_000.0),
        ("b-2", 1, 2_000.0),
        ("b-2", 2, 4_000.0),
        ("b-2", 9, 4_000.0),
        ("b-1", 1, 750.0),
        ("b-1", 2, 1_500.0),
        ("b-1", 9, 4_000.0),
    )
    def test_the_pause_grows_to_a_limit(self, own_id, n_failures, pause_ms):
        pause = source(own_id).retry_pause_ms(n_failures, STARTED_MS)
        self.assertEqual(pause, pause_ms)

    def test_a_fleet_calls_a_store_that_is_away_less_often_than_once_a_router(self):
        """Each router calls once its proof is old, and again after its pauses."""
        outage_ms, n_calls = 8_000.0, 0
        for number in range(195):
            follower = source("b-9", [f"b-{n}" for n in range(1, 9)])
            prove(follower, STARTED_MS)
            now_ms, n_failures = STARTED_MS + OPTIONS.max_age_ms + number, 0
            while now_ms < STARTED_MS + outage_ms:
                n_calls += follower.must_read_store(now_ms)
                n_failures += 1
                now_ms += follower.retry_pause_ms(n_failures, now_ms)
        self.assertLessEqual(n_calls / 195, 2)
