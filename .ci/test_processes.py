"""Run modules of tests in processes of their own, several at a time."""

from __future__ import annotations

import json
import subprocess
import sys
import tempfile
import time
from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Any

__all__ = ["find_modules", "run_modules"]

PROJECT_FOLDERS = ("platform", "packages/*")
PATTERN = "*_tests.py"
# These load the machine by intention, and measure what others get meanwhile.
ALONE = ".hostile_clients."

Report = dict[str, Any]


def find_modules(root: Path) -> list[str]:
    """Return the names of all modules of tests, those of the platform first.

    They take longest, so that the last ones to end are short.
    """
    return [
        ".".join(path.relative_to(project).with_suffix("").parts)
        for pattern in PROJECT_FOLDERS
        for project in sorted(root.glob(pattern))
        for path in sorted(project.rglob(PATTERN))
    ]


def run_modules(
    script: Path, modules: list[str], n_processes: int
) -> Iterator[tuple[str, Report | None]]:
    """Yield each module with its outcomes, None if its process did not report any.

    `script` is run with a module's name and `--report FILE`. Some modules run alone,
    after the others.
    """
    shared = [name for name in modules if ALONE not in name]
    alone = [name for name in modules if ALONE in name]
    with ThreadPoolExecutor(n_processes) as pool:
        runs = [pool.submit(_run_module, script, name) for name in shared]
        for run in as_completed(runs):
            yield run.result()
    for name in alone:
        yield _run_module(script, name)


def _run_module(script: Path, module: str) -> tuple[str, Report | None]:
    started_s = time.monotonic()
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "report.json"
        command = [sys.executable, str(script), "--report", str(path), module]
        ended = subprocess.run(
            command, stdin=subprocess.DEVNULL, capture_output=True, check=False
        )
        report = json.loads(path.read_text()) if path.exists() else None
    took_s = time.monotonic() - started_s
    n_run = sum(report["n_run"].values()) if report else 0
    print(f"{module}: {n_run} run in {took_s:.1f} s", flush=True)
    if report is None or report["failed"]:
        print(f"exit status {ended.returncode}", flush=True)
        sys.stderr.buffer.write(ended.stdout + ended.stderr)
        sys.stderr.flush()
    return module, report
