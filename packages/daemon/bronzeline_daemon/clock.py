"""Implement the kernel's clock."""

from __future__ import annotations

import time

__all__ = ["BootClock", "MonotonicClock"]


class MonotonicClock:
    """Read the system's monotonic clock."""

    def now_ms(self) -> float:
        """Return a monotonic time in milliseconds."""
        return time.monotonic() * 1000.0


class BootClock:
    """Read a monotonic clock that keeps running while the VM is suspended."""

    def now_ms(self) -> float:
        """Return a monotonic time in milliseconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
