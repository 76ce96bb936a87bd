import asyncio
import contextlib
import os
import sys
import time
import types
import unittest

from nose2.tools import params

from bronzeline_kernel.exceptions import BronzelineError
from bronzeline_standins.bench import Scenario
from bronzeline_standins.bench.child_process import ChildProcess
from bronzeline_standins.bench.runner import (
    EXPERIMENTS_PACKAGE,
    ScenarioTimeoutError,
    run_scenario,
)


class RunnerTests(unittest.TestCase):
    def test_an_experiment_that_never_awaits_is_stopped_at_its_time_limit(self):
        async def run(scenario, seed):
            while True:
                time.sleep(0.01)

        name = f"{EXPERIMENTS_PACKAGE}.endless"
        sys.modules[name] = types.SimpleNamespace(run=run)
        self.addCleanup(sys.modules.pop, name)
        scenario = Scenario("endless", "endless", limit_ms=50.0)
        with self.assertRaises(ScenarioTimeoutError):
            run_scenario(scenario, None, lambda line: None)

    @params("ends", "fails", "awaits", "never awaits", "is interrupted")
    def test_child_processes_of_an_experiment_are_killed(self, ending):
        pids = []

        async def run(scenario, seed):
            child = ChildProcess("http.server", "--bind=127.0.0.1", "0")
            await child.start()
            pids.append(child._started_process().pid)
            if ending == "fails":
                raise BronzelineError("on purpose")
            if ending == "is interrupted":
                raise KeyboardInterrupt
            if ending == "awaits":
                await asyncio.sleep(60.0)
            while ending == "never awaits":
                time.sleep(0.01)
            return []

        name = f"{EXPERIMENTS_PACKAGE}.leaving"
        sys.modules[name] = types.SimpleNamespace(run=run)
        self.addCleanup(sys.modules.pop, name)
        scenario = Scenario("leaving", "leaving", limit_ms=400.0)
        with contextlib.suppress(BronzelineError, KeyboardInterrupt):
            run_scenario(scenario, None, lambda line: None)
        self.assertFalse(is_running(pids[0]))


def is_running(pid, limit_s=2.0):
    """Return whether a process still runs after `limit_s` seconds."""
    end_s = time.monotonic() + limit_s
    while time.monotonic() < end_s:
        try:
            os.waitpid(pid, os.WNOHANG)
            os.kill(pid, 0)
        except (ProcessLookupError, ChildProcessError):
            return False
        time.sleep(0.02)
    return True
