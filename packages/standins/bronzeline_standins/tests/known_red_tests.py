import contextlib
import importlib.util
import io
import json
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from nose2.main import PluggableTestProgram
from nose2.tools import params

ROOT = Path(__file__).resolve().parents[4]


def load_runner():
    path = ROOT / ".ci" / "run_tests.py"
    sys.path.insert(0, str(path.parent))
    spec = importlib.util.spec_from_file_location("ci_run_tests", path)
    module = importlib.util.module_from_spec(spec)
    sys.modules["ci_run_tests"] = module
    spec.loader.exec_module(module)
    return module


RUNNER = load_runner()
run_modules = RUNNER.run_modules
SUBTESTS = """
import unittest

class SampleTests(unittest.TestCase):
    def test_sample(self):
        for number in range(3):
            with self.subTest(number=number):
                self.assertLess(number, {limit})
"""


# Write when this run began and ended, in the order of the runs of a folder.
TIMED_SCRIPT = """
import json, pathlib, sys, time
began_s = time.monotonic()
time.sleep(0.3)
report = {"n_run": {sys.argv[3]: 1}, "failed": [], "skipped": []}
pathlib.Path(sys.argv[2]).write_text(json.dumps(report))
times = json.dumps([began_s, time.monotonic()])
(pathlib.Path(__file__).parent / sys.argv[3]).write_text(times)
"""


def run_script(text, modules):
    """Run a script for each module; return the reports, and the folder's files."""
    with tempfile.TemporaryDirectory() as folder:
        script = Path(folder) / "script.py"
        script.write_text(text)
        with contextlib.redirect_stdout(io.StringIO()):
            reports = dict(run_modules(script, modules, 4))
        files = Path(folder).iterdir()
        return reports, {x.name: x.read_text() for x in files if x != script}


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


class ProcessTests(unittest.TestCase):
    @params("raise SystemExit(3)", "import os; os.abort()", "")
    def test_a_process_that_reports_nothing_does_not_pass(self, script):
        def run(path, modules, n_processes):
            return run_script(script, ["a.b_tests"])[0].items()

        outcomes = RUNNER.OutcomeRecorder()
        with mock.patch.object(RUNNER, "run_modules", run):
            RUNNER.run_in_processes(1, outcomes)
        self.assertEqual(outcomes.failed, {"a.b_tests"})
        self.assertEqual(sum(outcomes.n_run.values()), 1)

    def test_modules_that_load_the_machine_do_not_run_beside_others(self):
        alone = [f"a.tests.hostile_clients.{name}_tests" for name in "xy"]
        reports, files = run_script(
            TIMED_SCRIPT, [*alone, *(f"a.tests.{name}_tests" for name in "pqr")]
        )
        self.assertEqual(len(reports), 5)
        times = {name: json.loads(text) for name, text in files.items()}
        for name in alone:
            began_s, ended_s = times.pop(name)
            for other_began_s, other_ended_s in times.values():
                self.assertTrue(other_ended_s < began_s or ended_s < other_began_s)

    def test_every_module_of_tests_is_found(self):
        listed = subprocess.run(
            ["git", "ls-files", "*_tests.py"], cwd=ROOT, capture_output=True, check=True
        )
        paths = [Path(line) for line in listed.stdout.decode().splitlines()]
        names = {path.stem for path in paths if path.parts[0] != ".ci"}
        found = {name.rpartition(".")[2] for name in RUNNER.find_modules(ROOT)}
        self.assertEqual(found & names, names)

    def test_outcomes_of_processes_are_added_up(self):
        outcomes = RUNNER.OutcomeRecorder()
        for name in ("a", "b"):
            part = RUNNER.OutcomeRecorder()
            part.n_run.update([name, name, "both"])
            part.failed.add(name)
            part.skipped.add("both")
            outcomes.add(json.loads(json.dumps(part.as_report())))
        self.assertEqual(outcomes.n_run, {"a": 2, "b": 2, "both": 2})
        self.assertEqual((outcomes.failed, outcomes.skipped), ({"a", "b"}, {"both"}))


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
