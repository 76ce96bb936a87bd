import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.routing.upstreams import UpstreamTable
from bronzeline_kernel.tests.routing.simulation import make_engine

HERE, LEAVING, MISSING, AWAY = "here", "leaving", "missing", "away"


class UpstreamTableTests(unittest.TestCase):
    @params(
        ((HERE, HERE), False),
        ((HERE, LEAVING), True),
        ((HERE, LEAVING, HERE, HERE, HERE), True),
        ((HERE, LEAVING, AWAY, HERE), True),
        ((HERE, LEAVING, AWAY, HERE, HERE), False),
        ((HERE, LEAVING, MISSING, HERE, HERE), True),
        ((HERE, LEAVING, MISSING, MISSING, HERE, HERE), False),
        ((HERE, LEAVING, *(HERE,) * 25), False),
        ((HERE, MISSING, HERE), False),
        ((HERE, *(MISSING,) * 5), False),
        ((HERE, *(MISSING,) * 6), True),
    )
    def test_readings_decide_whether_new_work_stops(self, readings, is_stopped):
        engine = make_engine(0)
        table = UpstreamTable()
        now_ms = 0.0
        for reading in readings:
            now_ms += 500.0
            if reading == AWAY:
                table.mark_away(engine.upstream_id)
                continue
            listed = () if reading == MISSING else (engine,)
            if reading == LEAVING:
                listed = (replace(engine, is_leaving=True),)
            table.read(listed, now_ms)
        self.assertEqual(table.is_leaving(engine.upstream_id), is_stopped)
