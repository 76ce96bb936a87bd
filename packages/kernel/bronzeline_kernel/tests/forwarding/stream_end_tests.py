import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import StreamEnd


class StreamEndTests(unittest.TestCase):
    @params((7, True), (6, False), (0, False))
    def test_a_resume_ends_the_stream_with_the_last_event(self, seen, expected):
        self.assertEqual(StreamEnd().is_proven("a", 7, seen, True), expected)

    @params(
        ([("a", 7, True), ("b", 7, True)], True),
        ([("a", 7, True), ("a", 7, True)], False),
        ([("a", 7, True), ("b", 8, True)], False),
        ([("a", 7, False), ("b", 7, True)], False),
        ([("a", 7, False), ("b", 7, False)], False),
    )
    def test_two_upstreams_must_agree_that_nothing_follows(self, responses, expected):
        end = StreamEnd()
        proven = [
            end.is_proven(upstream_id, last_event, 0, is_framed)
            for upstream_id, last_event, is_framed in responses
        ]
        self.assertEqual(proven, [False, expected])
