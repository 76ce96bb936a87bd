"""Start child processes, send them signals and read their resource usage."""

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

__all__ = ["ChildProcess", "ProcessError", "ResourceUsage"]

CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_KB = os.sysconf("SC_PAGE_SIZE") / 1024.0
# Fields of /proc/PID/stat, counted after the closing parenthesis of the command.
USER_TICKS_FIELD = 11
SYSTEM_TICKS_FIELD = 12
RESIDENT_PAGES_FIELD = 21
STOP_TIMEOUT_S = 3.0
READY_TIMEOUT_S = 20.0
READY_POLL_S = 0.02
WAIT_OPTIONS = os.WEXITED | os.WNOHANG | os.WNOWAIT


class ProcessError(BronzelineError):
    """Report a child process that was not started or does not listen on its port."""


@dataclass(frozen=True)
class ResourceUsage:
    """Hold the CPU time used so far and the resident memory of a process."""

    at_s: float
    cpu_s: float
    resident_kb: float

    def cores_since(self, earlier: ResourceUsage) -> float:
        """Return the average number of CPU cores used since an earlier reading."""
        return (self.cpu_s - earlier.cpu_s) / (self.at_s - earlier.at_s)


class ChildProcess:
    """Run one Python module as a child process."""

    _started: ClassVar[set[ChildProcess]] = set()

    def __init__(self, module: str, *arguments: str) -> None:
        self._command = [sys.executable, "-m", module, *arguments]
        self._process: asyncio.subprocess.Process | None = None

    @classmethod
    def kill_all(cls) -> int:
        """Kill every child that still runs; return how many there were."""
        left = [item for item in cls._started if item._is_running()]
        cls._started.clear()
        for item in left:
            os.kill(item._started_process().pid, signal.SIGKILL)
        return len(left)

    async def start(self, ports: Sequence[int] = ()) -> None:
        """Start the process and wait for its ports; raises `ProcessError`."""
        self._process = await asyncio.create_subprocess_exec(
            *self._command,
            stdout=asyncio.subprocess.PIPE,
            stderr=None,
            stdin=asyncio.subprocess.DEVNULL,
        )
        self._started.add(self)
        for port in ports:
            await self._wait_for_port(port)

    async def read_lines(self) -> list[bytes]:
        """Wait for the process to exit and return the lines of its standard output."""
        stdout, _ = await self._started_process().communicate()
        return stdout.splitlines()

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, such as `SIGSTOP`, `SIGCONT` or `SIGTERM`."""
        self._started_process().send_signal(number)

    async def kill(self) -> None:
        """Kill the process with SIGKILL and wait until it has exited."""
        process = self._process
        if process is not None and process.returncode is None:
            process.kill()
            await process.wait()

    async def stop(self, limit_s: float = STOP_TIMEOUT_S) -> None:
        """Terminate the process with SIGTERM, or kill it after `limit_s` seconds."""
        process = self._process
        if process is None or process.returncode is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        try:
            await asyncio.wait_for(process.wait(), limit_s)
        except TimeoutError:
            await self.kill()

    def usage(self) -> ResourceUsage:
        """Return the CPU time used so far and the resident memory."""
        text = Path(f"/proc/{self._started_process().pid}/stat").read_text(
            encoding="ascii"
        )
        fields = text.rpartition(")")[2].split()
        ticks = int(fields[USER_TICKS_FIELD]) + int(fields[SYSTEM_TICKS_FIELD])
        return ResourceUsage(
            time.monotonic(),
            ticks / CLOCK_TICKS_PER_S,
            int(fields[RESIDENT_PAGES_FIELD]) * PAGE_KB,
        )

    def _is_running(self) -> bool:
        """Return whether the process was started and has not exited."""
        process = self._process
        if process is None or process.returncode is not None:
            return False
        try:
            # A closed event loop no longer updates the return codes of its children.
            return os.waitid(os.P_PID, process.pid, WAIT_OPTIONS) is None
        except ChildProcessError:
            return False

    def _started_process(self) -> asyncio.subprocess.Process:
        if self._process is None:
            raise ProcessError(f"{self._command} was not started")
        return self._process

    async def _wait_for_port(self, port: int) -> None:
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
