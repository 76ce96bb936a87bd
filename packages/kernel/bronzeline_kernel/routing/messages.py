"""Define the messages and actions of the dispatcher."""

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
    """Hold the dispatch options from the fleet configuration."""

    first_token_target_ms: float = 910.0
    long_wait_limit_ms: float = 4_000.0
    resume_wait_limit_ms: float = 4_000.0
    retry_ratio: float = 0.1
    cross_region_bytes_per_s: float = 500_000.0
    stall_timeout_ms: float = 1_500.0
    shares: Mapping[str, WorkspaceShare] = field(default_factory=dict)
    version: int = 0


class DemandRow(msgspec.Struct, frozen=True, array_like=True):
    """Report how many tickets of one kind wait at a router, and for how long."""

    service: str
    model: str
    version: str
    workspace: str
    work_class: WorkClass
    n_waiting: int
    oldest_wait_ms: int


@dataclass(frozen=True)
class SlotDemand:
    """Announce all waiting work of a router, replacing its last announcement."""

    rows: tuple[DemandRow, ...]


class Slot(msgspec.Struct, frozen=True, array_like=True):
    """Identify one slot of an upstream.

    The mark is a random number that identifies one allocation of the slot.
    """

    index: int
    mark: int


@dataclass(frozen=True)
class SlotTransfer:
    """Transfer slots of an upstream to another router.

    A transfer without slots announces that the upstream's slots are allocated.
    """

    upstream_id: str
    slots: tuple[Slot, ...]


class HoldingRow(msgspec.Struct, frozen=True, array_like=True):
    """Report the slots of an upstream that a router holds, used or not."""

    upstream_id: str
    slots: tuple[Slot, ...]


@dataclass(frozen=True)
class SlotHoldings:
    """Report the slots that the sender holds to their home router."""

    rows: tuple[HoldingRow, ...]


@dataclass(frozen=True)
class SlotRecall:
    """Request a router to drop slots that were allocated again."""

    upstream_id: str
    slots: tuple[Slot, ...]


class UsageRow(msgspec.Struct, frozen=True, array_like=True):
    """Report how much work of a workspace runs and waits at a router."""

    workspace: str
    n_running: int
    n_waiting: int


class SlowRow(msgspec.Struct, frozen=True, array_like=True):
    """Report how many times slower than its peers an upstream is."""

    upstream_id: str
    ratio: float


@dataclass(frozen=True)
class UsageReport:
    """Report a router's running work, slot release rate and slow upstreams."""

    rows: tuple[UsageRow, ...]
    slow: tuple[SlowRow, ...]
    n_released_per_s: float
    n_free: int


@dataclass(frozen=True)
class UpstreamLeaving:
    """Announce that an upstream signalled that it is leaving."""

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
    """Request an upstream for a ticket."""

    ticket: Ticket


@dataclass(frozen=True)
class TicketWithdrawn:
    """Withdraw a waiting ticket."""

    ticket_id: str


@dataclass(frozen=True)
class GrantReleased:
    """Release the upstream of a grant."""

    ticket_id: str


@dataclass(frozen=True)
class FirstTokenReceived:
    """Report the time from a grant to its first token."""

    ticket_id: str
    elapsed_ms: float
    n_prompt_tokens: int


@dataclass(frozen=True)
class GrantFailed:
    """Report a failure of the upstream of a grant."""

    ticket_id: str
    reason: str


@dataclass(frozen=True)
class UpstreamsRead:
    """Provide the upstreams of one reading of the VM list."""

    upstreams: tuple[Upstream, ...]


@dataclass(frozen=True)
class RoutersUpdated:
    """Provide the routers believed to be alive and the number of listed routers."""

    routers: tuple[RouterInfo, ...]
    n_known: int


@dataclass(frozen=True)
class LoadRead:
    """Provide an engine's load report, or None if it could not be read."""

    upstream_id: str
    report: LoadReport | None


@dataclass(frozen=True)
class OptionsUpdated:
    """Provide the options now in force."""

    options: DispatchOptions


@dataclass(frozen=True)
class PeerMessageReceived:
    """Deliver a message from another router."""

    router_id: str
    message: RouterMessage


@dataclass(frozen=True)
class DispatchTick:
    """Signal that time has passed."""


@dataclass(frozen=True)
class DrainStarted:
    """Report that this router has begun to drain and accepts no new work."""


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
    """Send a message to a router without guaranteed delivery."""

    router_id: str
    message: RouterMessage


DispatchAction = Grant | Refusal | SendToRouter | Decision
