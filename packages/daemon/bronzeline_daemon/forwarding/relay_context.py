"""Define the services that relays use and the reports that they make."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.earlier_run_finder import EarlierRunFinder
from bronzeline_daemon.forwarding.metrics import ForwardingMetrics
from bronzeline_daemon.forwarding.origin_exchange import OriginExchange
from bronzeline_daemon.forwarding.peers import ForwardingPeers
from bronzeline_daemon.forwarding.prober import Prober
from bronzeline_daemon.forwarding.run_copier import RunCopier
from bronzeline_daemon.log_limits import LogLimiter
from bronzeline_kernel.admission import RetryBudget
from bronzeline_kernel.forwarding import (
    Action,
    EngineClient,
    Fault,
    ListedUpstream,
    Placement,
    Quarantine,
    ResponseHead,
    Route,
    Sample,
    WireFormat,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["RelayContext", "RequestMachine", "RequestReport"]


class RequestMachine(Protocol):
    """Decide how one request proceeds, without I/O."""

    is_over: bool
    deadline_ms: float
    budget: RetryBudget
    placement: Placement

    @property
    def route(self) -> Route:
        """Return the route with which the request was admitted."""

    def start(self, now_ms: float) -> list[Action]:
        """Return the first actions."""

    def lost(self, number: int, fault: Fault, now_ms: float) -> list[Action]:
        """Handle a failed attempt."""

    def tick(self, now_ms: float) -> list[Action]:
        """Check the timeouts."""

    def cancel(self) -> list[Action]:
        """Stop because the caller disconnected."""


@dataclass(frozen=True)
class RequestReport:
    """Describe the outcome of a request."""

    outcome: str
    reason: str
    upstream_id: str
    n_attempts: int
    duration_ms: float
    # Both as seen by the caller; 0 if there was no event.
    first_event_ms: float
    longest_gap_ms: float


@dataclass(frozen=True)
class RelayContext:
    """Hold the services that all relays of a router share."""

    clock: Clock
    connection_pool: ConnectionPool
    wire: WireFormat
    engines: EngineClient
    prober: Prober
    run_copier: RunCopier
    earlier_runs: EarlierRunFinder
    peers: ForwardingPeers
    origins: OriginExchange
    quarantine: Quarantine
    logs: LogLimiter
    metrics: ForwardingMetrics
    # Called with an upstream that was found dead after its connection broke.
    on_upstream_dead: Callable[[ListedUpstream], None]
    # Returns whether an upstream is listed and doesn't leave.
    is_staying: Callable[[ListedUpstream], bool]
    # Called with the upstream and the head of each response.
    on_response: Callable[[ListedUpstream, ResponseHead], None]
    # Returns when all requests must have ended, as the process exits.
    answer_by_ms: Callable[[], float]
    # Called with the upstream and the route of each attempt; returns where its outcome
    # is counted, None if it is not.
    begin_sample: Callable[[ListedUpstream, Route], Sample | None] = (
        lambda upstream, route: None
    )
