import unittest

from nose2.tools import params

from bronzeline_daemon.plugins.event_stream import MAX_LINE_BYTES, EventStreamParser


class EventStreamTests(unittest.TestCase):
    @params(
        ([b"data: a\n\ndata: b\n"], [b"a", b"b"]),
        ([b"da", b"ta: a\n", b": comment\n"], [b"a"]),
        ([b"data: a\n", b"x" * (MAX_LINE_BYTES + 1), b"\ndata: b\n"], [b"a"]),
    )
    def test_complete_lines_are_passed_on_until_one_is_too_long(self, chunks, expected):
        found = []
        parser = EventStreamParser(found.append)
        for chunk in chunks:
            parser.feed(chunk)
        self.assertEqual(found, expected)
        self.assertLessEqual(len(parser._partial_line), MAX_LINE_BYTES)
