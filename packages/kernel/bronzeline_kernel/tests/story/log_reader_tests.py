import unittest

from nose2.tools import params

from bronzeline_kernel.story import failed_requests, lines_of_request, read_lines

LOG = """
   4.9034 router-2 time="2026-04-22 22:51:01,100" level=WARNING event=attempt_lost request_id=a number=1 fault=broken
 -11.6772 router-1 time="2026-04-22 22:50:39,322" level=INFO event=started router=router-1
   4.9001 router-1 time="2026-04-22 22:51:01,000" level=INFO event=attempt_sent request_id=a number=1 upstream_id=e1
no log line at all
{"time": "2026-04-22 22:51:02,000", "level": "INFO", "event": "request_ended", "request_id": "a", "outcome": "served", "longest_gap_ms": 900}
time="2026-04-22 22:51:03,000" level=INFO event=request_ended request_id=b outcome=served reason="" longest_gap_ms=90
time="2026-04-22 22:51:04,000" level=WARNING event=request_refused request_id=c refusal=not_ready reason="keys not proven current"
time="2026-04-22 22:51:05,000" level=WARNING event=request_ended request_id=d outcome=unknown_outcome reason=broken
time="2026-04-22 22:51:06,000" level=INFO event=request_ended request_id=e outcome=caller_left reason=""
time="2026-04-22 22:51:07,000" level=INFO event=attempt_sent request_id=f number=1
time="2026-04-22 22:51:08,000" level=INFO event=request_ended request_id=g outcome=served first_event_ms=4600
"""  # noqa: E501


class LogReaderTests(unittest.TestCase):
    def setUp(self):
        self.lines = list(read_lines(LOG.splitlines()))

    def test_both_formats_are_read_and_other_lines_skipped(self):
        self.assertEqual(len(self.lines), 10)
        self.assertEqual(self.lines[1].router, "router-1")
        self.assertEqual(self.lines[5].fields["reason"], "keys not proven current")

    def test_lines_of_a_request_are_ordered_across_routers(self):
        request_lines = lines_of_request(self.lines, "a")
        events = [(line.router, line.event) for line in request_lines]
        self.assertEqual(
            events,
            [
                ("router-1", "attempt_sent"),
                ("router-2", "attempt_lost"),
                ("", "request_ended"),
            ],
        )
        self.assertIn("attempt lost", str(request_lines[1]))

    @params(
        ("a", "served", True),
        ("c", "refused: not_ready", True),
        ("d", "unknown_outcome", True),
        ("f", "not ended", False),
        ("g", "served", False),
    )
    def test_failed_and_late_requests_are_listed(self, name, outcome, explained):
        found = {item.request_id: item for item in failed_requests(self.lines)}
        self.assertEqual(sorted(found), ["a", "c", "d", "f", "g"])
        self.assertEqual(found[name].outcome, outcome)
        self.assertEqual(found[name].is_explained, explained)


ENDED_ROUTERS_LOG = """
time="2026-04-22 22:50:00,000" level=INFO event=started router=killed
time="2026-04-22 22:50:00,000" level=INFO event=started router=lost
time="2026-04-22 22:51:00,000" level=INFO event=attempt_sent router=killed request_id=a
time="2026-04-22 22:51:00,500" level=INFO event=attempt_sent router=lost request_id=b
time="2026-04-22 22:51:02,000" level=INFO event=started router=killed
time="2026-04-22 22:51:08,000" level=INFO event=attempt_sent router=killed request_id=c
"""


class RouterEndsTests(unittest.TestCase):
    @params(("a", "router restarted"), ("b", "router silent"), ("c", ""))
    def test_a_request_whose_router_ended_is_explained(self, name, reason):
        lines = read_lines(ENDED_ROUTERS_LOG.splitlines())
        found = {item.request_id: item for item in failed_requests(lines)}
        self.assertEqual(found[name].outcome, "not ended")
        self.assertEqual(found[name].reason, reason)
        self.assertEqual(found[name].is_explained, bool(reason))
