import unittest

from nose2.tools import params

from bronzeline_kernel.generation import (
    GenerationState,
    ReplicaAppended,
    ReplicaEnded,
    ReplicaHeld,
    ReplicaOpened,
    ReplicaStore,
)
from bronzeline_kernel.generation.messages import StreamEnd

STATE = GenerationState("gen-1", "key-1", ("a",))


def append_message(index, text):
    return ReplicaAppended((7,), (index,), (text,))


def opened_store():
    store = ReplicaStore()
    store.open("router-1", ReplicaOpened(7, STATE), 0.0)
    return store


class ReplicaStoreTests(unittest.TestCase):
    def test_tokens_and_the_end_are_held(self):
        store = opened_store()
        held = store.append("router-1", append_message(1, "b"), 1.0)
        self.assertEqual(held, ReplicaHeld((7,), (2,)))
        store.end("router-1", ReplicaEnded(7, 2, "stop", 3), 2.0)
        state = store.find("gen-1", "key-1")
        self.assertEqual(state.tokens, ("a", "b"))
        self.assertEqual(state.end, StreamEnd("stop", 3))

    def test_an_end_after_a_lost_message_is_ignored(self):
        store = opened_store()
        held = store.append("router-1", append_message(2, "c"), 1.0)
        self.assertEqual(held, ReplicaHeld((7,), (1,)))
        store.end("router-1", ReplicaEnded(7, 3, "stop", 3), 2.0)
        self.assertIsNone(store.find("gen-1", "key-1").end)

    @params(("gen-1", "key-2"), ("gen-2", "key-1"))
    def test_a_replica_is_found_only_by_its_own_request(self, generation_id, key):
        self.assertIsNone(opened_store().find(generation_id, key))

    def test_a_replica_of_a_previous_process_is_replaced(self):
        store = opened_store()
        other = GenerationState("gen-2", "key-1", ("x",))
        store.open("router-1", ReplicaOpened(7, other), 1.0)
        self.assertIsNone(store.find("gen-1", "key-1"))

    @params((9_000.0, 1), (11_000.0, 0))
    def test_an_ended_replica_expires(self, now_ms, n_expected):
        store = opened_store()
        store.end("router-1", ReplicaEnded(7, 1, "stop", 3), 0.0)
        store.expire(now_ms)
        self.assertEqual(len(store), n_expected)
