"""Define what forwarding machines are told and what they ask for."""

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
    "Probe",
    "Send",
]

Header = tuple[str, str]


@dataclass(frozen=True)
class CallerRequest:
    """Hold one attempt of a caller, as it was read."""

    request_id: str
    method: str
    target: str
    host: str
    key: str | None
    budget_ms: float | None
    headers: tuple[Header, ...]
    body: bytes = b""
    after_event: int = 0
    n_prompt_tokens: int = 0
    prompt_parts: str = ""
    # Names the part of the prompt that no other caller's request has.
    unique_part_id: str = ""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    def with_body(self, body: bytes) -> CallerRequest:
        """Return the request with its body."""
        return replace(self, body=body)


class Fault(Enum):
    """Say how an attempt on an upstream failed."""

    UNREACHABLE = "unreachable"
    FULL = "full"
    REPLACED = "replaced"
    BROKEN = "broken"
    GARBLED = "garbled"
    FAILED = "failed"
    SILENT = "silent"

    @property
    def is_not_run(self) -> bool:
        """Say whether the upstream certainly did not run the request."""
        return self in {Fault.UNREACHABLE, Fault.FULL, Fault.REPLACED}


class Failure(Enum):
    """Say how a request that can't be served ends for its caller."""

    NOT_RUN = "not_run"
    UNKNOWN_OUTCOME = "unknown_outcome"
    TIMED_OUT = "timed_out"


@dataclass(frozen=True)
class CopySource:
    """Name a copy of a run's memory: its keeper, and where its name holds."""

    keeper: ListedUpstream
    named_by: ListedUpstream
    copy_id: str


@dataclass(frozen=True)
class Send:
    """Send the request to an upstream as an attempt of this number."""

    number: int
    upstream: ListedUpstream
    budget_ms: float
    after_event: int = 0
    copy_from: CopySource | None = None
    copy_to: ListedUpstream | None = None
    # None where the upstream follows from what ran before.
    choice: Choice | None = None


@dataclass(frozen=True)
class Abandon:
    """Close the channel of an attempt."""

    number: int


@dataclass(frozen=True)
class Probe:
    """Find out whether an upstream accepts a connection."""

    upstream: ListedUpstream


@dataclass(frozen=True)
class CopyRun:
    """Copy the memory of an attempt's run to a keeper."""

    number: int
    source: ListedUpstream
    keeper: ListedUpstream


@dataclass(frozen=True)
class DropCopy:
    """Free a copy that is no longer needed."""

    copy: CopySource


@dataclass(frozen=True)
class FindEarlierRun:
    """Ask peers for the run's copy, and upstreams which prompts they keep."""

    upstreams: tuple[ListedUpstream, ...]


@dataclass(frozen=True)
class Finish:
    """End the caller's answer as complete, with what this attempt gave."""

    number: int


@dataclass(frozen=True)
class Fail:
    """End the caller's answer as a failure."""

    failure: Failure
    reason: str
    retry_after_ms: float = 0.0


Action = Send | Abandon | Probe | CopyRun | DropCopy | FindEarlierRun | Finish | Fail
