import unittest
from types import SimpleNamespace
from unittest.mock import Mock

from bronzeline_daemon.generations.stream_timing import (
    REPORT_INTERVAL_MS,
    StreamTiming,
)


class StreamTimingTests(unittest.TestCase):
    def test_tokens_of_an_earlier_attempt_are_not_reported_for_the_next(self):
        spec = SimpleNamespace(workspace="shop", prompt="a prompt")
        dispatch = Mock()
        timing = StreamTiming(spec, dispatch, Mock())
        timing.on_start(0.0)
        grant = object()
        timing.on_stream_requested(0.0, is_attached=False)
        for number in range(5):
            timing.on_token(grant, number + 1, 10.0 + number)
        timing.on_stream_requested(100.0, is_attached=False)
        timing.on_token(grant, 6, 110.0)
        timing.on_token(grant, 7, 110.0 + REPORT_INTERVAL_MS)
        dispatch.record_tokens.assert_called_once_with(grant, 2, REPORT_INTERVAL_MS)
