import contextlib
import importlib.util
import io
import sys
import tempfile
import unittest
from pathlib import Path

from nose2.main import PluggableTestProgram
from nose2.tools import params

ROOT = Path(__file__).resolve().parents[4]


def load_runner():
    path = ROOT / ".ci" / "run_tests.py"
    spec = importlib.util.spec_from_file_location("ci_run_tests", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules["ci_run_tests"] = module
    spec.loader.exec_module(module)
    return module


RUNNER = load_runner()
SUBTESTS = """
import unittest

class SampleTests(unittest.TestCase):
    def test_sample(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertLess(number, {limit})
"""


def recorded_failures(text):
    """Run a module of tests in this process; return the failures recorded."""
    outcomes = RUNNER.OutcomeRecorder()
    with tempfile.TemporaryDirectory() as folder:
        (Path(folder) / "sampled.py").write_text(text)
        argv = ["nose2", "--no-user-config", "-s", folder, "sampled"]
        with contextlib.redirect_stderr(io.StringIO()):
            PluggableTestProgram(
                module=None,
                argv=argv,
                exit=False,
                extraHooks=[("startTest", outcomes), ("testOutcome", outcomes)],
            )
    sys.modules.pop("sampled", None)
    return outcomes.failed


class KnownRedTests(unittest.TestCase):
    @params(
        ("a.T.test_x", "a.T.test_x"),
        ("a.T.test_x (q=1)", "a.T.test_x"),
        ("a.T.test_p:12\n1, 'x'", "a.T.test_p[1, 'x']"),
        ("a.T.test_p:12\n1, 'x' (q=1)", "a.T.test_p[1, 'x']"),
        (
            "a.T.test_cell:2\nFaultCell(fault='dies', step='queued'), 7",
            "a.T.test_cell[dies@queued, 7]",
        ),
    )
    def test_case_names_do_not_depend_on_the_number_of_cases(self, test_id, name):
        self.assertEqual(RUNNER.case_name(test_id), name)

    @params((3, set()), (2, {"sampled.SampleTests.test_sample"}))
    def test_a_failed_subtest_is_not_passed_over(self, limit, failures):
        self.assertEqual(recorded_failures(SUBTESTS.format(limit=limit)), failures)

    def test_a_listed_case_is_reported_by_its_outcome(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "red.txt"
            path.write_text(
                "# list\nfails | x; y; 3\npasses | x; y; 4\ngone | x; y; 5\n"
            )
            known = RUNNER.read_known_red(path)
        outcomes = RUNNER.OutcomeRecorder()
        outcomes.n_run.update(["fails", "passes"])
        outcomes.failed.add("fails")
        with contextlib.redirect_stdout(io.StringIO()) as printed:
            RUNNER.report_known_red(known, outcomes)
        self.assertEqual(
            printed.getvalue().splitlines(),
            [
                "known red: fails: x; y; 3",
                "known red did not run: gone: x; y; 5",
                "known red PASSES, take it off the list: passes: x; y; 4",
            ],
        )
