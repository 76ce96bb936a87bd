import unittest
from pathlib import Path

from bronzeline_standins.fault_matrix import FaultCell, FaultMatrix
from bronzeline_standins.fault_matrix_page import (
    COMMAND,
    AreaTests,
    find_areas,
    known_red_names,
    render_page,
)

ROOT = Path(__file__).resolve().parents[4]
PAGE = ROOT / "docs" / "dev-guide" / "fault-matrix.md"
KNOWN_RED = ROOT / "KNOWN-RED.txt"


class FaultMatrixPageTests(unittest.TestCase):
    def test_every_cell_that_can_occur_has_a_test(self):
        for area in find_areas():
            with self.subTest(area=area.module_name):
                self.assertEqual(area.untested(), [])

    def test_every_excluded_cell_exists_and_has_a_reason(self):
        for area in find_areas():
            with self.subTest(area=area.module_name):
                self.assertEqual(area.invalid_exclusions(), [])

    def test_the_page_is_up_to_date(self):
        page = render_page(find_areas(), known_red_names(KNOWN_RED))
        is_fresh = page == PAGE.read_text(encoding="utf-8")
        self.assertTrue(is_fresh, f"the page is stale; run {COMMAND}")

    def test_each_state_has_its_own_text(self):
        cells = {step: FaultCell("dies", step) for step in ("a", "b", "c", "d")}
        matrix = FaultMatrix("x", ("dies",), tuple(cells), {cells["a"]: "it is over"})
        area = AreaTests("m", "Tests", matrix, frozenset({cells["b"], cells["c"]}))
        red = frozenset({"bronzeline_standins.tests.matrix." + "m.Tests.test_cell"
                         "[dies@c, 3]"})  # fmt: skip
        row = render_page([area], red).splitlines()[-3]
        self.assertEqual(
            row,
            "| dies | cannot occur (1) | passes `dies@b` | **known red** `dies@c` "
            "| **no test** |",
        )
        self.assertEqual(area.untested(), [cells["d"]])
