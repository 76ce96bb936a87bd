"""Start processes for an experiment, signal them and read what they use."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
import time
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import ClassVar

from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["ChildProcess", "ProcessError", "ProcessUse"]

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024.0
# Places in /proc/PID/stat, counted after the command's closing bracket.
USER_TICKS = 11
SYSTEM_TICKS = 12
RESIDENT_PAGES = 21
STOP_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
WAIT_OPTIONS = os.WEXITED | os.WNOHANG | os.WNOWAIT


class ProcessError(BronzelineError):
    """Report a process of an experiment that did not do its part."""


@dataclass(frozen=True)
class ProcessUse:
    """Hold what a process has used up to a time."""

    at_s: float
    cpu_s: float
    resident_kb: float

    def cores_since(self, earlier: ProcessUse) -> float:
        """Return the average of processor cores used since."""
        return (self.cpu_s - earlier.cpu_s) / (self.at_s - earlier.at_s)


class ChildProcess:
    """Run one Python module as a process."""

    _started: ClassVar[set[ChildProcess]] = set()

    def __init__(self, module: str, *arguments: str) -> None:
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: asyncio.subprocess.Process | None = None

    @classmethod
    def end_all(cls) -> int:
        """End what an experiment left running; return how many those were."""
        left = [item for item in cls._started if item._is_running()]
        cls._started.clear()
        for item in left:
            os.kill(item._started_process().pid, signal.SIGKILL)
        return len(left)

    async def start(self, ports: Sequence[int] = ()) -> None:
        """Start, and wait until the process listens on its ports."""
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            stdout=asyncio.subprocess.PIPE,
            stderr=None,
            stdin=asyncio.subprocess.DEVNULL,
        )
        self._started.add(self)
        for port in ports:
            await self._wait_for(port)

    async def read_lines(self) -> list[bytes]:
        """Return all that the process prints until it ends."""
        stdout, _ = await self._started_process().communicate()
        return stdout.splitlines()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal: stop, continue, terminate or kill."""
        self._started_process().send_signal(number)

    async def kill(self) -> None:
        """End the process at once."""
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop(self, limit_s: float = STOP_TIMEOUT_S) -> None:
        """End the process gracefully, or at once after a limit."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), limit_s)
        except TimeoutError:
            await self.kill()

    def use(self) -> ProcessUse:
        """Read what the process has used so far."""
        text = Path(f"/proc/{self._started_process().pid}/stat").read_text(
            encoding="ascii"
        )
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS]) + int(fields[SYSTEM_TICKS])
        return ProcessUse(
            time.monotonic(),
            ticks / CLOCK_TICKS_PER_S,
            int(fields[RESIDENT_PAGES]) * PAGE_KB,
        )

    def _is_running(self) -> bool:
        """Say whether the process was started and has not been waited for."""
        process = self._process
        if process is None or process.returncode is not None:
            return False
        try:
            # A loop that was torn down no longer notes the end of its children.
            return os.waitid(os.P_PID, process.pid, WAIT_OPTIONS) is None
        except ChildProcessError:
            return False

    def _started_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self._command} was not started")
        return self._process

    async def _wait_for(self, port: int) -> None:
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if self._started_process().returncode is not None:
                break
            try:
                _, writer = await asyncio.open_connection("127.0.0.1", port)
            except OSError:
                await asyncio.sleep(READY_POLL_S)
                continue
            writer.close()
            return
        raise ProcessError(f"{self._command} does not listen on {port}")
