import io
import json
import logging
import re
import unittest
from contextlib import redirect_stderr

from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from bronzeline_daemon.logs import (
    configure_logs,
    log_debug,
    log_event,
    log_exception,
    quote,
)
from bronzeline_kernel.config import LogSettings

PAIR = re.compile(r'([A-Za-z0-9_.-]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?: |$)')


def parse(line):
    """Parse a line of key=value pairs as a log shipper would."""
    pairs = {}
    position = 0
    while position < len(line):
        match = PAIR.match(line, position)
        assert match is not None, line[position:]
        value = match[2]
        pairs[match[1]] = json.loads(value) if value.startswith('"') else value
        position = match.end()
    return pairs


def log_lines(settings, write):
    output = io.StringIO()
    with redirect_stderr(output):
        configure_logs(settings.level, settings.format)
        try:
            write()
        finally:
            logging.getLogger("bronzeline").handlers = []
    return output.getvalue().splitlines()


class LogsTests(unittest.TestCase):
    @given(st.text())
    def test_quoted_values_can_be_parsed(self, text):
        self.assertEqual(parse(f"a={quote(text)} b=1"), {"a": text, "b": "1"})

    @given(st.dictionaries(st.text(), st.text(), max_size=4))
    def test_each_event_is_one_line_with_parsable_fields(self, fields):
        lines = log_lines(LogSettings(), lambda: log_event("some event", fields=fields))
        self.assertEqual(len(lines), 1)
        self.assertEqual(parse(lines[0])["fields"], str(fields))

    @params("key_value", "json")
    def test_an_exception_is_one_line_with_reserved_names_changed(self, kind):
        def write():
            try:
                raise ValueError("two\nlines")
            except ValueError as error:
                info = (type(error), error, error.__traceback__)
                log_exception("broken", info, name="n", args=[1], message="m")

        lines = log_lines(LogSettings(format=kind), write)
        self.assertEqual(len(lines), 1)
        event = json.loads(lines[0]) if kind == "json" else parse(lines[0])
        self.assertEqual((event["event"], event["name_"]), ("broken", "n"))
        self.assertIn("ValueError: two\nlines", event["traceback"])

    @params(("debug", 2), ("info", 1), ("warning", 0))
    def test_the_level_filters_events(self, level, n_lines):
        def write():
            log_event("a")
            log_debug("b")

        self.assertEqual(len(log_lines(LogSettings(level=level), write)), n_lines)
