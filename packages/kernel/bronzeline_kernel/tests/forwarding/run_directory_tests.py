import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    RunDirectory,
    RunRecord,
    UpstreamSet,
)
from bronzeline_kernel.tests.forwarding.samples import upstream


class RunDirectoryTests(unittest.TestCase):
    def setUp(self):
        upstreams = UpstreamSet()
        upstreams.replace_all([upstream("k"), upstream("s")], 0.0)
        self.runs = RunDirectory(upstreams)
        self.runs.put(RunRecord("h", "k", "s", "copy-1"), 0.0)

    def test_copy_is_returned_only_once(self):
        copy = self.runs.pop_copy("h", 1.0)
        self.assertEqual(
            (copy.holder.upstream_id, copy.named_by.upstream_id, copy.copy_id),
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

    @params(("ended", 1.0), ("old", 5_001.0), ("unknown holder", 1.0))
    def test_no_copy_without_a_valid_record(self, state, now_ms):
        if state == "ended":
            self.runs.remove("h")
        if state == "unknown holder":
            self.runs.put(RunRecord("h", "x", "s", "copy-1"), 0.0)
        self.assertIsNone(self.runs.pop_copy("h", now_ms))
