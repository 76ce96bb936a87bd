"""Define the inputs of the forwarding state machines and the actions they return."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from bronzeline_kernel.forwarding.placement import Choice
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = [
    "Abandon",
    "Action",
    "CallerRequest",
    "CopyRun",
    "CopySource",
    "DropCopy",
    "Fail",
    "Failure",
    "Fault",
    "FindEarlierRun",
    "Finish",
    "Header",
    "MoveRun",
    "Probe",
    "Send",
]

Header = tuple[str, str]


@dataclass(frozen=True)
class CallerRequest:
    """Represent a request as parsed from the caller."""

    request_id: str
    method: str
    target: str
    host: str
    key: str | None
    budget_ms: float | None
    headers: tuple[Header, ...]
    body: bytes = b""
    after_event: int = 0
    # Id of the caller's request that got the first event of the stream, if named.
    resumes_id: str = ""
    n_prompt_tokens: int = 0
    # Most output tokens that the caller wants, and its estimate; 0 if not given.
    max_output_tokens: int = 0
    expected_output_tokens: int = 0
    model: str = ""
    prompt_parts: str = ""
    # Id of the part of the prompt that is not shared with other requests.
    unique_part_id: str = ""
    n_unique_tokens: int = 0
    # Ids of the parts before it, which other requests may share.
    shared_part_ids: tuple[str, ...] = ()
    # Forwarded headers that are the same each time the request is sent.
    stable_headers: tuple[Header, ...] = ()

    @property
    def path(self) -> str:
        """Return the target without its query string."""
        return self.target.partition("?")[0]

    @property
    def is_taken_up(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return self.after_event > 0 or bool(self.resumes_id)

    def with_body(self, body: bytes) -> CallerRequest:
        """Return a copy of the request with this body."""
        return replace(self, body=body)


class Fault(Enum):
    """Classify how an attempt on an upstream failed."""

    UNREACHABLE = "unreachable"
    FULL = "full"
    REPLACED = "replaced"
    BROKEN = "broken"
    GARBLED = "garbled"
    FAILED = "failed"
    SILENT = "silent"
    TOO_LARGE = "too_large"
    UNPROVEN_REFUSAL = "unproven_refusal"
    EARLY_END = "early_end"

    @property
    def is_not_run(self) -> bool:
        """Return whether the upstream certainly did not execute the request."""
        return self in {Fault.UNREACHABLE, Fault.FULL, Fault.REPLACED}


class Failure(Enum):
    """Classify the error that the caller gets for a request that failed."""

    NOT_RUN = "not_run"
    UNKNOWN_OUTCOME = "unknown_outcome"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True)
class CopySource:
    """Locate a copy of a run's engine memory.

    `holder` stores the copy; `copy_id` is its id at the upstream `named_by`.
    """

    holder: ListedUpstream
    named_by: ListedUpstream
    copy_id: str


@dataclass(frozen=True)
class Send:
    """Send the request to an upstream as the attempt with this number."""

    number: int
    upstream: ListedUpstream
    budget_ms: float
    after_event: int = 0
    copy_from: CopySource | None = None
    copy_to: ListedUpstream | None = None
    # None if no choice was made: for a resume from a copy, which runs at its holder,
    # or a retry on the same upstream.
    choice: Choice | None = None
    # Rank at the upstream, 0 first; None leaves the rank to the upstream.
    urgency: int | None = None
    # Whether to ask first if the upstream is still the process that the list names.
    verifies_start: bool = False


@dataclass(frozen=True)
class Abandon:
    """Close the connection of an attempt.

    `fault` is set if the attempt has ended by a fault that was not reported yet,
    `is_move` if its upstream stopped the run to move it, which is no failure.
    """

    number: int
    fault: Fault | None = None
    is_move: bool = False


@dataclass(frozen=True)
class Probe:
    """Probe whether an upstream accepts connections."""

    upstream: ListedUpstream


@dataclass(frozen=True)
class CopyRun:
    """Copy the engine memory of an attempt's run to a holder."""

    number: int
    source: ListedUpstream
    holder: ListedUpstream


@dataclass(frozen=True)
class MoveRun:
    """Copy the engine memory of a run that moves; `is_last` stops the run first.

    `move_id` tells the calls of one stream's moves apart.
    """

    move_id: int
    source: ListedUpstream
    destination: ListedUpstream
    is_last: bool


@dataclass(frozen=True)
class DropCopy:
    """Free a copy that is no longer needed.

    `also_at_holder` asks the holder itself if the upstream that named the copy, which
    may have left, does not respond.
    """

    copy: CopySource
    also_at_holder: bool = False


@dataclass(frozen=True)
class FindEarlierRun:
    """Ask peers for the run's copy, and upstreams for their cached prompts."""

    upstreams: tuple[ListedUpstream, ...]


@dataclass(frozen=True)
class Finish:
    """Complete the response to the caller with the output of this attempt."""

    number: int


@dataclass(frozen=True)
class Fail:
    """End the response to the caller with an error."""

    failure: Failure
    reason: str
    retry_after_ms: float = 0.0


Action = (
    Send
    | Abandon
    | Probe
    | CopyRun
    | MoveRun
    | DropCopy
    | FindEarlierRun
    | Finish
    | Fail
)
