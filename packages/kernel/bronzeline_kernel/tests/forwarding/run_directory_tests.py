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

    def test_a_record_leads_to_the_copy_once(self):
        found = self.runs.pop_copy("h", 1.0)
        self.assertEqual(
            (found.keeper.upstream_id, found.named_by.upstream_id, found.copy_id),
            ("k", "s", "copy-1"),
        )
        self.assertIsNone(self.runs.pop_copy("h", 1.0))

    @params((1.0, True), (5_001.0, False))
    def test_a_record_is_handed_over_once(self, now_ms, is_known):
        record = self.runs.pop_record("h", now_ms)
        self.assertEqual(record is not None, is_known)
        self.assertIsNone(self.runs.pop_record("h", now_ms))
        self.assertIsNone(self.runs.pop_copy("h", now_ms))

    def test_a_newer_record_takes_the_place_of_the_old(self):
        self.runs.put(RunRecord("h", "s", "s", "copy-2"), 1.0)
        self.assertEqual(self.runs.pop_copy("h", 2.0).copy_id, "copy-2")

    @params(("ended", 1.0), ("old", 5_001.0), ("unknown keeper", 1.0))
    def test_there_is_no_copy_of(self, what, now_ms):
        if what == "ended":
            self.runs.remove("h")
        if what == "unknown keeper":
            self.runs.put(RunRecord("h", "x", "s", "copy-1"), 0.0)
        self.assertIsNone(self.runs.pop_copy("h", now_ms))


class RequestHashTests(unittest.TestCase):
    def test_a_resend_with_a_new_id_has_the_same_hash(self):
        again = request(request_id="id-2", after_event=12, budget_ms=9.0)
        self.assertEqual(request_hash(request()), request_hash(again))

    @params(
        {"target": "/drafts/2"},
        {"key": "key-2"},
        {"body": b"x"},
        {"prompt_parts": "a:1"},
    )
    def test_another_request_has_another_hash(self, changes):
        self.assertNotEqual(request_hash(request()), request_hash(request(**changes)))
