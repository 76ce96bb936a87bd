"""Size the limiter of a router's connections, and show what it holds."""

from __future__ import annotations

import functools
import os
import resource
from pathlib import Path

from bronzeline_daemon.forwarding.connection_limiter import CALLERS, ConnectionLimiter
from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.forwarding import (
    ConnectionLimits,
    ForwardingSettings,
    HeldKind,
    MemoryAccount,
    MemoryLimits,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["add_limiter_gauges", "make_default_limiter", "make_limiter"]

# Where the settings name no limit, the system's is used up to this one.
MAX_DESCRIPTORS = 65_536
LISTENERS = (CALLERS, "readiness", "peers", "metrics")


def make_limiter(settings: ForwardingSettings, clock: Clock) -> ConnectionLimiter:
    """Return a limiter sized by the settings and by what the idle process takes."""
    limits = MemoryLimits.for_memory(settings.memory_mib, _resident_bytes())
    n_descriptors = settings.max_descriptors or _system_limit()
    return ConnectionLimiter(
        MemoryAccount(limits),
        ConnectionLimits.for_process(n_descriptors, limits.total_bytes),
        clock,
        LogLimiter(clock, settings.router_id),
    )


def make_default_limiter(clock: Clock) -> ConnectionLimiter:
    """Return a limiter with the smallest account, for listeners outside a router."""
    limits = MemoryLimits()
    return ConnectionLimiter(
        MemoryAccount(limits),
        ConnectionLimits.for_process(_system_limit(), limits.total_bytes),
        clock,
        LogLimiter(clock, ""),
    )


def add_limiter_gauges(
    connection_limiter: ConnectionLimiter, metrics: ForwardingMetrics
) -> None:
    """Add gauges of the connections and of the bytes held by kind."""
    for kind in HeldKind:
        read = functools.partial(_read_held, connection_limiter, kind)
        text = f"Bytes held for callers: {kind.value.replace('_', ' ')}."
        metrics.gauge(f"held_{kind.value}_bytes", text, read)
    for listener in LISTENERS:
        read_number = functools.partial(_read_connections, connection_limiter, listener)
        text = f"Connections to the listener of {listener}."
        metrics.gauge(f"connections_{listener}", text, read_number)


def _read_held(connection_limiter: ConnectionLimiter, kind: HeldKind) -> float:
    return float(connection_limiter.account.by_kind[kind])


def _read_connections(connection_limiter: ConnectionLimiter, listener: str) -> float:
    return float(connection_limiter.n_connections(listener))


def _resident_bytes() -> int:
    n_pages = int(Path("/proc/self/statm").read_text(encoding="ascii").split()[1])
    return n_pages * os.sysconf("SC_PAGE_SIZE")


def _system_limit() -> int:
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    is_limited = 0 < soft_limit < MAX_DESCRIPTORS
    return soft_limit if is_limited else MAX_DESCRIPTORS
