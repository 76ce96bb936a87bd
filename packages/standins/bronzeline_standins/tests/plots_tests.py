import tempfile
import unittest
from pathlib import Path

import msgspec

from bronzeline_standins.bench.figure import Figure
from bronzeline_standins.bench.plots import draw_plots, read_figures

PNG_SIGNATURE = b"\x89PNG"


def figure(scenario, measure, value):
    return Figure(scenario, measure, "ms", 1, 2 * value, value, 0.5, None, None)


class PlotsTests(unittest.TestCase):
    def test_each_scenario_is_plotted_from_its_latest_figures(self):
        rows = [
            figure("resume", "engine_death_p95", 1.0),
            figure("resume", "engine_death_p95", 400.0),
            figure("crest", "short_first_token_p95_ms", 600.0),
        ]
        with tempfile.TemporaryDirectory() as name:
            results = Path(name) / "bench.jsonl"
            results.write_bytes(b"\n".join(map(msgspec.json.encode, rows)))
            figures = read_figures(results)
            drawn = draw_plots(figures, Path(name) / "plots")
            signatures = [path.read_bytes()[:4] for path in drawn]
        self.assertEqual(figures["resume", "engine_death_p95"].value, 400.0)
        names = [path.name for path in drawn]
        self.assertEqual(names, ["resume-latency.png", "waits-over-a-swing.png"])
        self.assertEqual(signatures, [PNG_SIGNATURE, PNG_SIGNATURE])
