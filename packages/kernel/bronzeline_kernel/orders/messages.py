"""Declare what an order's state machine hears and what it asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from bronzeline_kernel.orders.claim import Claim, Outcome

__all__ = [
    "Action",
    "CallUpstream",
    "CallerLeft",
    "CancelUpstreamRequest",
    "ClaimConflict",
    "ClaimRead",
    "ClaimWritten",
    "Deliver",
    "EndOrder",
    "LookUp",
    "LookUpEnded",
    "Message",
    "OrderResult",
    "OrderSpec",
    "OrderStatus",
    "ReadClaim",
    "ReleaseUpstream",
    "RequestUpstream",
    "SetTimer",
    "StoreUnavailable",
    "Timer",
    "TimerFired",
    "UpstreamAnswered",
    "UpstreamGranted",
    "UpstreamOutcomeUnknown",
    "UpstreamRefused",
    "UpstreamUnreachable",
    "WatchClaim",
    "WatchEnded",
    "WriteClaim",
    "WriteOutcomeUnknown",
]


class OrderStatus(StrEnum):
    """Say whether a call ran."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"


class Timer(StrEnum):
    """Name the timers of one order; setting one again replaces it."""

    DEADLINE = "deadline"
    QUEUE = "queue"
    EARLY_READ = "early_read"
    RETRY = "retry"
    LOOK_UP = "look_up"
    GIVE_UP = "give_up"


@dataclass(frozen=True)
class OrderSpec:
    """Hold what one router knows of an order when it arrives."""

    owner: str
    nonce: str
    request_digest: str
    received_at_ms: float
    deadline_ms: float
    is_key_from_caller: bool
    has_look_up: bool
    is_confirmed: bool = False
    claimed_at_s: float = 0.0
    refusal_reason: str = ""
    labels: tuple[tuple[str, str], ...] = ()


@dataclass(frozen=True)
class OrderResult:
    """Hold an order's answer, or why there is none."""

    status: OrderStatus
    reason: str = ""
    outcome: Outcome | None = None
    retry_after_ms: float = 0.0


@dataclass(frozen=True)
class UpstreamGranted:
    """Tell that an upstream is free for the order."""

    upstream_id: str


@dataclass(frozen=True)
class UpstreamRefused:
    """Tell that no upstream will be free in time."""

    code: str
    retry_after_ms: float


@dataclass(frozen=True)
class ClaimWritten:
    """Tell that the last write took effect."""

    version: int


@dataclass(frozen=True)
class ClaimConflict:
    """Tell that the last write met another version."""


@dataclass(frozen=True)
class WriteOutcomeUnknown:
    """Tell that the last write may take effect, now or later."""


@dataclass(frozen=True)
class StoreUnavailable:
    """Tell that the last call on the store certainly had no effect."""


@dataclass(frozen=True)
class ClaimRead:
    """Tell what the store holds; no claim has the version 0."""

    version: int
    claim: Claim | None


@dataclass(frozen=True)
class WatchEnded:
    """Tell what a watch saw; None when it saw nothing newer."""

    version: int
    claim: Claim | None


@dataclass(frozen=True)
class UpstreamAnswered:
    """Tell the upstream's whole answer."""

    outcome: Outcome


@dataclass(frozen=True)
class UpstreamUnreachable:
    """Tell that no byte of the order can have reached the upstream."""


@dataclass(frozen=True)
class UpstreamOutcomeUnknown:
    """Tell that the order may have reached the upstream."""

    reason: str


@dataclass(frozen=True)
class LookUpEnded:
    """Tell what a look-up found; None when it failed or found nothing."""

    outcome: Outcome | None


@dataclass(frozen=True)
class CallerLeft:
    """Tell that nobody waits for the answer any more."""


@dataclass(frozen=True)
class TimerFired:
    """Tell that a timer's time has come."""

    timer: Timer


Message = (
    UpstreamGranted
    | UpstreamRefused
    | ClaimWritten
    | ClaimConflict
    | WriteOutcomeUnknown
    | StoreUnavailable
    | ClaimRead
    | WatchEnded
    | UpstreamAnswered
    | UpstreamUnreachable
    | UpstreamOutcomeUnknown
    | LookUpEnded
    | CallerLeft
    | TimerFired
)


@dataclass(frozen=True)
class RequestUpstream:
    """Ask for a free upstream."""

    deadline_at_ms: float
    excluded_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class CancelUpstreamRequest:
    """Ask for an upstream no more."""


@dataclass(frozen=True)
class ReleaseUpstream:
    """Give the granted upstream back."""


@dataclass(frozen=True)
class WriteClaim:
    """Write the claim if the object has the version; 0 means none."""

    claim: Claim
    expected_version: int


@dataclass(frozen=True)
class ReadClaim:
    """Read the claim's object."""


@dataclass(frozen=True)
class WatchClaim:
    """Wait for a newer version of the claim's object."""

    after_version: int
    timeout_ms: float


@dataclass(frozen=True)
class CallUpstream:
    """Send the order to the granted upstream, now and once."""

    dispatch_by_ms: float
    timeout_ms: float


@dataclass(frozen=True)
class LookUp:
    """Ask the service whether the order ran."""


@dataclass(frozen=True)
class SetTimer:
    """Fire a timer at a time."""

    timer: Timer
    at_ms: float


@dataclass(frozen=True)
class Deliver:
    """Give the caller its result."""

    result: OrderResult


@dataclass(frozen=True)
class EndOrder:
    """Forget the order; nothing is left to do here."""


Action = (
    RequestUpstream
    | CancelUpstreamRequest
    | ReleaseUpstream
    | WriteClaim
    | ReadClaim
    | WatchClaim
    | CallUpstream
    | LookUp
    | SetTimer
    | Deliver
    | EndOrder
)
