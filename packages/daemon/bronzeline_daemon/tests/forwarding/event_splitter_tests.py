import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from bronzeline_daemon.forwarding.event_splitter import EventSplitter

EVENTS = [f"id: {number}\ndata: x{number}\n\n".encode() for number in range(1, 6)]


class EventSplitterTests(unittest.TestCase):
    @given(st.lists(st.integers(0, 100), max_size=8))
    def test_events_are_complete_for_any_split_of_the_bytes(self, cuts):
        data, splitter, events = b"".join(EVENTS), EventSplitter(), []
        positions = [0, *sorted(min(cut, len(data)) for cut in cuts), len(data)]
        for start, end in itertools.pairwise(positions):
            events += splitter.feed(data[start:end])
        self.assertEqual(events, EVENTS)
        self.assertFalse(splitter.has_partial_event)

    def test_an_incomplete_event_is_not_yielded(self):
        splitter = EventSplitter()
        self.assertEqual(list(splitter.feed(EVENTS[0] + b"id: 2\nda")), EVENTS[:1])
        self.assertTrue(splitter.has_partial_event)
