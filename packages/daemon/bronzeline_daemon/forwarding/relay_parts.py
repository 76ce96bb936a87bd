"""Declare what a relay works with and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.copies import Copies
from bronzeline_daemon.forwarding.earlier_runs import EarlierRuns
from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prober import Prober
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import Action, Fault, RequestQuarantine, WireFormat
from bronzeline_kernel.protocols import Clock

__all__ = ["Machine", "RelayParts", "RequestReport"]


class Machine(Protocol):
    """Decide on one request."""

    is_over: bool
    budget: RetryBudget

    def start(self, now_ms: float) -> list[Action]:
        """Begin."""

    def lost(self, number: int, fault: Fault, now_ms: float) -> list[Action]:
        """Take in that an attempt failed."""

    def tick(self, now_ms: float) -> list[Action]:
        """Look at the time."""

    def cancel(self) -> list[Action]:
        """Stop, since the caller left."""


@dataclass(frozen=True)
class RequestReport:
    """Hold what became of a request."""

    outcome: str
    reason: str
    upstream_id: str
    n_attempts: int
    duration_ms: float
    # Both as the caller saw them; 0 where there was no event.
    first_event_ms: float
    longest_gap_ms: float


@dataclass(frozen=True)
class RelayParts:
    """Hold what every relay of a router works with."""

    clock: Clock
    connection_pool: ConnectionPool
    wire: WireFormat
    prober: Prober
    copies: Copies
    earlier_runs: EarlierRuns
    peers: ForwardingPeers
    quarantine: RequestQuarantine
    logs: LogLimiter
    metrics: ForwardingMetrics
