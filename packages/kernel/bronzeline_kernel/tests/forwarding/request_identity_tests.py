import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.forwarding import identify
from bronzeline_kernel.tests.forwarding.samples import request

REQUEST = request(
    model="m",
    prompt_parts="a:1,b:2",
    body=b"brief",
    stable_headers=(("Accept", "text/event-stream"), ("Usage", "3,700")),
)


def is_same(changes):
    """Return whether the runs, and whether the work of two requests are the same."""
    first, second = identify(REQUEST), identify(replace(REQUEST, **changes))
    return first.run_hash == second.run_hash, first.work_hash == second.work_hash


class RequestIdentityTests(unittest.TestCase):
    @params(
        # All that may change where it runs, or what an engine reads.
        ({"method": "PUT"}, False, False),
        ({"host": "other.example"}, False, False),
        ({"target": "/drafts/2"}, False, False),
        ({"target": "/drafts/1?a=b"}, False, False),
        ({"key": "key-2"}, False, False),
        ({"key": None}, False, False),
        ({"model": "n"}, False, False),
        ({"prompt_parts": "a:1,c:2"}, False, False),
        ({"body": b"another brief"}, False, False),
        # What changes the response only.
        ({"stable_headers": (("Usage", "3,700"),)}, False, True),
        ({"stable_headers": (("Usage", "3,9"),)}, False, True),
        # What differs from one send to the next.
        ({"request_id": "id-2"}, True, True),
        ({"budget_ms": 9.0}, True, True),
        ({"after_event": 12, "resumes_id": "id-1"}, True, True),
        ({"headers": (("Request-Id", "id-2"),)}, True, True),
        ({"host": "DESK.example:8740"}, True, True),
        ({"stable_headers": REQUEST.stable_headers[::-1]}, True, True),
        ({"n_prompt_tokens": 9}, True, True),
    )
    def test_a_field_tells_requests_apart(self, changes, is_same_run, is_same_work):
        """Requests for two hosts or models had the same runs and blocks."""
        self.assertEqual(is_same(changes), (is_same_run, is_same_work))

    def test_fields_do_not_run_into_each_other(self):
        changes = {"target": "/drafts/1key-1", "key": ""}
        self.assertEqual(is_same(changes), (False, False))
