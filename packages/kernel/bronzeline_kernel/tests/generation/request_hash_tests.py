import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.generation import GenerationSpec, request_hash

SPEC = GenerationSpec("id-1", "shop", "drafts", "m", "a brief", 700)


class RequestHashTests(unittest.TestCase):
    @params(
        ({"workspace": "other"}, False),
        ({"service": "other"}, False),
        ({"model": "n"}, False),
        ({"adapter": "a"}, False),
        ({"prompt": "another brief"}, False),
        ({"sampling_seed": 1}, False),
        ({"temperature": 0.5}, False),
        # What an engine reads is the same; runs are told apart by the idempotency key.
        ({"max_tokens": 9}, True),
        ({"stop": (".",)}, True),
        ({"generation_id": "id-2", "deadline_ms": 9.0, "last_event_id": "3"}, True),
        ({"idempotency_key": "key"}, True),
    )
    def test_a_field_tells_requests_that_crash_engines_apart(self, changes, is_same):
        changed = request_hash(replace(SPEC, **changes))
        self.assertEqual(changed == request_hash(SPEC), is_same)
