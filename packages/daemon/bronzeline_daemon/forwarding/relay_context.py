"""Declare what a relay works with and what it reports."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from bronzeline_daemon.forwarding.channels import Channels
from bronzeline_daemon.forwarding.earlier_run_finder import EarlierRunFinder
from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prober import Prober
from bronzeline_daemon.forwarding.run_copier import RunCopier
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import Action, Fault, KillerGuard, WireFormat
from bronzeline_kernel.protocols import Clock

__all__ = ["RelayContext", "RequestMachine", "RequestReport"]


class RequestMachine(Protocol):
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
class RelayContext:
    """Hold what every relay of a router works with."""

    clock: Clock
    channels: Channels
    wire: WireFormat
    prober: Prober
    run_copier: RunCopier
    earlier_runs: EarlierRunFinder
    peers: ForwardingPeers
    killers: KillerGuard
    logs: LogLimiter
    metrics: ForwardingMetrics
