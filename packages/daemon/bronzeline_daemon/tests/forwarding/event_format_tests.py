import unittest

from nose2.tools import params

from bronzeline_daemon.forwarding.event_format import is_event


class EventFormatTests(unittest.TestCase):
    @params(
        (b"id: 12\ndata: x\n\n", True),
        (b"id: 12\ndata: a\ndata: b\nevent: part\nretry: 9\n\n", True),
        (b"x-weight-versions: 3\nid:7\ndata: x\n\n", True),
        (b": comment\n\n", True),
        (b"data: HTTP/1.1 200 OK\n\n", True),
        (b"\nid: 1\ndata: x\n\n", True),
        (b"upstream lost\n\n", False),
        (b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nid: 1\ndata: x\n\n", False),
        (b"id: 1\ndata: x\r\n\r\nHTTP/1.1 200 OK\n\n", False),
        (b"id: 1\nda\nid: 1\ndata: x\n\n", False),
        (b"id: 1\ndata: x\nid: 2\ndata: x\n\n", False),
    )
    def test_bytes_that_are_not_one_event_are_recognized(self, event, expected):
        self.assertEqual(is_event(event), expected)
