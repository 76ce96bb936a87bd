"""Declare the messages into the dispatcher and the actions out of it."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from bronzeline_kernel.admission.usage import WorkspaceShare
from bronzeline_kernel.decisions import Decision
from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.protocols import LoadReport
from bronzeline_kernel.routing.dispatch import Grant, Refusal, Ticket, WorkClass

__all__ = [
    "DemandRow",
    "DispatchAction",
    "DispatchMessage",
    "DispatchOptions",
    "DispatchTick",
    "DrainStarted",
    "FirstTokenReceived",
    "GrantFailed",
    "GrantReleased",
    "HoldingRow",
    "LoadRead",
    "OptionsUpdated",
    "PeerMessageReceived",
    "RouterMessage",
    "RoutersUpdated",
    "SendToRouter",
    "Slot",
    "SlotDemand",
    "SlotHoldings",
    "SlotRecall",
    "SlotTransfer",
    "SlowRow",
    "TicketRequested",
    "TicketWithdrawn",
    "UpstreamLeaving",
    "UpstreamsRead",
    "UsageReport",
    "UsageRow",
]


@dataclass(frozen=True)
class DispatchOptions:
    """Hold the options that the fleet's configuration sets."""

    first_token_target_ms: float = 910.0
    long_wait_limit_ms: float = 4_000.0
    resume_wait_limit_ms: float = 4_000.0
    retry_ratio: float = 0.1
    cross_region_bytes_per_s: float = 500_000.0
    stall_timeout_ms: float = 1_500.0
    shares: Mapping[str, WorkspaceShare] = field(default_factory=dict)
    version: int = 0


class DemandRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell how many tickets of one kind wait at a router, and how long."""

    service: str
    model: str
    version: str
    workspace: str
    work_class: WorkClass
    n_waiting: int
    oldest_wait_ms: int


@dataclass(frozen=True)
class SlotDemand:
    """Tell all that waits at a router, in place of what it told before."""

    rows: tuple[DemandRow, ...]


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """Name one slot of an upstream; the mark tells when it was shared out."""

    index: int
    mark: int


@dataclass(frozen=True)
class SlotTransfer:
    """Pass slots of an upstream on; none says that its slots are shared out."""

    upstream_id: str
    slots: tuple[Slot, ...]


class HoldingRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell which slots of an upstream a router holds, used or not."""

    upstream_id: str
    slots: tuple[Slot, ...]


@dataclass(frozen=True)
class SlotHoldings:
    """Tell an upstream's home router what the sender holds."""

    rows: tuple[HoldingRow, ...]


@dataclass(frozen=True)
class SlotRecall:
    """Ask a holder to drop slots that were shared out anew."""

    upstream_id: str
    slots: tuple[Slot, ...]


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell how much of a workspace's work runs and waits at a router."""

    workspace: str
    n_running: int
    n_waiting: int


class SlowRow(msgspec.Struct, frozen=True, array_like=True):
    """Tell how much slower than its peers an upstream looks."""

    upstream_id: str
    ratio: float


@dataclass(frozen=True)
class UsageReport:
    """Tell what a router runs, how fast its slots come free, and what is slow."""

    rows: tuple[UsageRow, ...]
    slow: tuple[SlowRow, ...]
    n_released_per_s: float
    n_free: int


@dataclass(frozen=True)
class UpstreamLeaving:
    """Tell that an upstream showed a sign of leaving."""

    upstream_id: str


RouterMessage = (
    SlotDemand
    | SlotTransfer
    | SlotHoldings
    | SlotRecall
    | UsageReport
    | UpstreamLeaving
)


@dataclass(frozen=True)
class TicketRequested:
    """Ask for an upstream."""

    ticket: Ticket


@dataclass(frozen=True)
class TicketWithdrawn:
    """Forget a ticket that waits."""

    ticket_id: str


@dataclass(frozen=True)
class GrantReleased:
    """End a grant."""

    ticket_id: str


@dataclass(frozen=True)
class FirstTokenReceived:
    """Give how long an upstream took to its first token."""

    ticket_id: str
    elapsed_ms: float
    n_prompt_tokens: int


@dataclass(frozen=True)
class GrantFailed:
    """Give what a grant's work saw go wrong."""

    ticket_id: str
    reason: str


@dataclass(frozen=True)
class UpstreamsRead:
    """Give one reading of the list's upstreams."""

    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class RoutersUpdated:
    """Give the routers taken to be alive, and how many there should be."""

    routers: tuple[RouterInfo, ...]
    n_known: int


@dataclass(frozen=True)
class LoadRead:
    """Give an engine's load report, or none when it could not be read."""

    upstream_id: str
    report: LoadReport | None


@dataclass(frozen=True)
class OptionsUpdated:
    """Give the options now in force."""

    options: DispatchOptions


@dataclass(frozen=True)
class PeerMessageReceived:
    """Give another router's message."""

    router_id: str
    message: RouterMessage


@dataclass(frozen=True)
class DispatchTick:
    """Let time pass."""


@dataclass(frozen=True)
class DrainStarted:
    """Say that this router takes nothing new."""


DispatchMessage = (
    TicketRequested
    | TicketWithdrawn
    | GrantReleased
    | FirstTokenReceived
    | GrantFailed
    | UpstreamsRead
    | RoutersUpdated
    | LoadRead
    | OptionsUpdated
    | PeerMessageReceived
    | DispatchTick
    | DrainStarted
)


@dataclass(frozen=True)
class SendToRouter:
    """Send a message to a router; it may be lost."""

    router_id: str
    message: RouterMessage


DispatchAction = Grant | Refusal | SendToRouter | Decision
