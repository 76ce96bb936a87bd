"""Define the input messages and the output actions of an order."""

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
    """Name the result of an order: it ran, it certainly did not, or it may have."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    IN_DOUBT = "in_doubt"


class Timer(StrEnum):
    """Name the timers of an order; setting a timer again replaces it."""

    DEADLINE = "deadline"
    QUEUE = "queue"
    EARLY_READ = "early_read"
    RETRY = "retry"
    LOOK_UP = "look_up"
    GIVE_UP = "give_up"


@dataclass(frozen=True)
class OrderSpec:
    """Hold the properties of an order as it arrives at a router."""

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
    """Hold the result of an order: its outcome, or the reason for having none."""

    status: OrderStatus
    reason: str = ""
    outcome: Outcome | None = None
    retry_after_ms: float = 0.0


@dataclass(frozen=True)
class UpstreamGranted:
    """Report that an upstream was granted for the order."""

    upstream_id: str


@dataclass(frozen=True)
class UpstreamRefused:
    """Report that no upstream will be free in time."""

    code: str
    retry_after_ms: float


@dataclass(frozen=True)
class ClaimWritten:
    """Report that the last write took effect."""

    version: int


@dataclass(frozen=True)
class ClaimConflict:
    """Report that the last write was rejected because the version differed."""


@dataclass(frozen=True)
class WriteOutcomeUnknown:
    """Report that the last write may have taken effect or still may."""


@dataclass(frozen=True)
class StoreUnavailable:
    """Report that the last store call failed and certainly had no effect."""


@dataclass(frozen=True)
class ClaimRead:
    """Report what the store holds; the version is 0 if there is no claim."""

    version: int
    claim: Claim | None


@dataclass(frozen=True)
class WatchEnded:
    """Report the result of a watch; the claim is None if nothing newer was seen."""

    version: int
    claim: Claim | None


@dataclass(frozen=True)
class UpstreamAnswered:
    """Report the complete response of the upstream."""

    outcome: Outcome


@dataclass(frozen=True)
class UpstreamUnreachable:
    """Report that no byte of the order can have reached the upstream."""


@dataclass(frozen=True)
class UpstreamOutcomeUnknown:
    """Report a failed call whose order may have reached the upstream."""

    reason: str


@dataclass(frozen=True)
class LookUpEnded:
    """Report the result of a look-up; None if it failed or found nothing."""

    outcome: Outcome | None


@dataclass(frozen=True)
class CallerLeft:
    """Report that the caller disconnected."""


@dataclass(frozen=True)
class TimerFired:
    """Report that a timer fired."""

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
    """Request a free upstream, other than the excluded ones."""

    deadline_at_ms: float
    excluded_ids: tuple[str, ...] = ()


@dataclass(frozen=True)
class CancelUpstreamRequest:
    """Cancel the pending request for an upstream."""


@dataclass(frozen=True)
class ReleaseUpstream:
    """Release the granted upstream."""


@dataclass(frozen=True)
class WriteClaim:
    """Write the claim if the object has the expected version; 0 requires none."""

    claim: Claim
    expected_version: int


@dataclass(frozen=True)
class ReadClaim:
    """Read the claim from the store."""


@dataclass(frozen=True)
class WatchClaim:
    """Watch the store for a newer version of the claim."""

    after_version: int
    timeout_ms: float


@dataclass(frozen=True)
class CallUpstream:
    """Send the order once to the granted upstream, before `dispatch_by_ms`."""

    dispatch_by_ms: float
    timeout_ms: float


@dataclass(frozen=True)
class LookUp:
    """Ask the service whether the order ran."""


@dataclass(frozen=True)
class SetTimer:
    """Set a timer to fire at a time in ms."""

    timer: Timer
    at_ms: float


@dataclass(frozen=True)
class Deliver:
    """Deliver the result to the caller."""

    result: OrderResult


@dataclass(frozen=True)
class EndOrder:
    """Drop the order; this router has nothing left to do for it."""


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
