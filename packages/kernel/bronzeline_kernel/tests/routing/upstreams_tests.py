import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.routing.upstreams import UpstreamTable
from bronzeline_kernel.tests.routing.simulation import make_engine

LISTED, LEAVING, MISSING, UNREACHABLE = "here", "leaving", "missing", "away"


class UpstreamTableTests(unittest.TestCase):
    @params(
        ((LISTED, LISTED), False),
        ((LISTED, LEAVING), True),
        ((LISTED, LEAVING, LISTED, LISTED, LISTED), True),
        ((LISTED, LEAVING, UNREACHABLE, LISTED), True),
        ((LISTED, LEAVING, UNREACHABLE, LISTED, LISTED), False),
        ((LISTED, LEAVING, MISSING, LISTED, LISTED), True),
        ((LISTED, LEAVING, MISSING, MISSING, LISTED, LISTED), False),
        ((LISTED, LEAVING, *(LISTED,) * 25), False),
        ((LISTED, MISSING, LISTED), False),
        ((LISTED, *(MISSING,) * 5), False),
        ((LISTED, *(MISSING,) * 6), True),
    )
    def test_new_work_stops_while_readings_show_an_upstream_as_leaving(
        self, readings, is_stopped
    ):
        engine = make_engine(0)
        table = UpstreamTable()
        now_ms = 0.0
        for reading in readings:
            now_ms += 500.0
            if reading == UNREACHABLE:
                table.mark_unreachable(engine.upstream_id)
                continue
            listed = () if reading == MISSING else (engine,)
            if reading == LEAVING:
                listed = (replace(engine, is_leaving=True),)
            table.read(listed, now_ms)
        self.assertEqual(table.is_leaving(engine.upstream_id), is_stopped)
