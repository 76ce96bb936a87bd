import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    RunDirectory,
    RunRecord,
    UpstreamSet,
    request_hash,
)
from bronzeline_kernel.tests.forwarding.samples import request, upstream


class RunDirectoryTests(unittest.TestCase):
    def setUp(self):
        upstreams = UpstreamSet()
        upstreams.replace_all([upstream("k"), upstream("s")], 0.0)
        self.runs = RunDirectory(upstreams)
        self.runs.put(RunRecord("h", "k", "s", "copy-1"), 0.0)

    def test_copy_is_returned_only_once(self):
        copy = self.runs.pop_copy("h", 1.0)
        self.assertEqual(
            (copy.keeper.upstream_id, copy.named_by.upstream_id, copy.copy_id),
            ("k", "s", "copy-1"),
        )
        self.assertIsNone(self.runs.pop_copy("h", 1.0))

    @params((1.0, True), (5_001.0, False))
    def test_record_is_returned_only_once(self, now_ms, is_returned):
        record = self.runs.pop_record("h", now_ms)
        self.assertEqual(record is not None, is_returned)
        self.assertIsNone(self.runs.pop_record("h", now_ms))
        self.assertIsNone(self.runs.pop_copy("h", now_ms))

    def test_newer_record_replaces_the_old_one(self):
        self.runs.put(RunRecord("h", "s", "s", "copy-2"), 1.0)
        self.assertEqual(self.runs.pop_copy("h", 2.0).copy_id, "copy-2")

    @params(("ended", 1.0), ("old", 5_001.0), ("unknown keeper", 1.0))
    def test_no_copy_without_a_valid_record(self, state, now_ms):
        if state == "ended":
            self.runs.remove("h")
        if state == "unknown keeper":
            self.runs.put(RunRecord("h", "x", "s", "copy-1"), 0.0)
        self.assertIsNone(self.runs.pop_copy("h", now_ms))


class RequestHashTests(unittest.TestCase):
    def test_hash_is_the_same_for_a_resent_request(self):
        again = request(request_id="id-2", after_event=12, budget_ms=9.0)
        self.assertEqual(request_hash(request()), request_hash(again))

    @params(
        {"target": "/drafts/2"},
        {"key": "key-2"},
        {"body": b"x"},
        {"prompt_parts": "a:1"},
    )
    def test_hash_differs_for_another_request(self, changes):
        self.assertNotEqual(request_hash(request()), request_hash(request(**changes)))
