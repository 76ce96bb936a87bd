import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import StoreContact

ANSWER, PEER, CALL, FAILED = "answer", "peer", "call", "failed"


def away_ms(*events):
    """Return for how long the store counts as away at the last of some events."""
    contact, result = StoreContact(), None
    for kind, at_ms in events:
        if kind == ANSWER:
            result = contact.record_answer(at_ms)
        elif kind == PEER:
            result = contact.record_peer_reading(at_ms)
        elif kind == CALL:
            contact.record_call(at_ms)
        else:
            contact.record_failure(at_ms)
    return result


class StoreContactTests(unittest.TestCase):
    @params(
        ("never away", None, [(CALL, 400.0), (ANSWER, 500.0)]),
        ("slow", None, [(CALL, 500.0), (ANSWER, 1_300.0)]),
        # The router that this one follows was cut off, or stood still.
        ("a peer's cut", None, [(PEER, 3_600.0)]),
        ("own call answered", None, [(CALL, 3_600.0), (ANSWER, 3_640.0)]),
        ("own call under way", None, [(CALL, 2_300.0), (PEER, 2_400.0)]),
        ("away", 900.0, [(FAILED, 500.0), (ANSWER, 900.0)]),
        ("away, a peer tells", 5_000.0, [(FAILED, 2_300.0), (PEER, 5_000.0)]),
        ("silent, a peer tells", 5_000.0, [(CALL, 2_300.0), (PEER, 5_000.0)]),
        ("old news", None, [(FAILED, 900.0), (PEER, -9_000.0)]),
        ("news from before", None, [(FAILED, 900.0), (PEER, 100.0)]),
        ("after that", 4_900.0, [(FAILED, 9e2), (PEER, 100.0), (PEER, 5_000.0)]),
        ("once only", None, [(FAILED, 9.0), (ANSWER, 500.0), (ANSWER, 900.0)]),
    )
    def test_an_outage_of_a_peer_is_none_of_the_store(self, case, expected, events):
        """Followers held removals for an outage that only their reader had seen."""
        self.assertEqual(away_ms((ANSWER, 0.0), *events), expected)

    @params(
        ([], 500.0, False),
        ([(CALL, 100.0)], 500.0, False),
        ([(CALL, 100.0)], 600.0, True),
        ([(FAILED, 100.0)], 500.0, True),
        ([(FAILED, 100.0), (PEER, 50.0)], 500.0, True),
        ([(FAILED, 100.0), (PEER, 150.0)], 500.0, False),
    )
    def test_changes_before_a_newer_proof_come_in_an_outage(self, events, at_ms, fails):
        """A follower dropped entries that its reader had read as gone, and held."""
        contact = StoreContact()
        contact.record_answer(0.0)
        for kind, event_ms in events:
            if kind == PEER:
                contact.record_peer_reading(event_ms)
            elif kind == CALL:
                contact.record_call(event_ms)
            else:
                contact.record_failure(event_ms)
        self.assertEqual(contact.is_failing(at_ms), fails)

    @params(([], None), ([(FAILED, 100.0)], 500.0))
    def test_a_router_that_starts_during_an_outage_knows_of_it(self, events, expected):
        self.assertEqual(away_ms(*events, (ANSWER, 600.0)), expected)
