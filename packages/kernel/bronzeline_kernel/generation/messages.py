"""Define the input messages and the output actions of a generation."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.fleet import Upstream

__all__ = [
    "Action",
    "AttachStream",
    "CallerLeft",
    "CancelAttempt",
    "CancelUpstreamRequest",
    "Deliver",
    "EndAnswer",
    "FailAnswer",
    "GenerationSpec",
    "GenerationState",
    "HolderLost",
    "Message",
    "NoUpstream",
    "PeerStateReceived",
    "PreviousRunFound",
    "ReplicateTokens",
    "ReportEngineLost",
    "RequestPeerState",
    "RequestUpstream",
    "StartAttempt",
    "StreamBroken",
    "StreamEnd",
    "StreamEnded",
    "Superseded",
    "Tick",
    "TokenReceived",
    "TokensReplicated",
    "UpstreamGranted",
]


@dataclass(frozen=True)
class GenerationSpec:
    """Hold the caller's request, which is the same for every attempt."""

    generation_id: str
    workspace: str
    service: str
    model: str
    prompt: str
    max_tokens: int
    stop: tuple[str, ...] = ()
    sampling_seed: int = 0
    temperature: float = 1.0
    adapter: str = ""
    deadline_ms: float = 600_000.0
    idempotency_key: str = ""
    last_event_id: str = ""


@dataclass(frozen=True)
class StreamEnd:
    """Hold why an engine ended a generation, and the token count of the prompt."""

    reason: str
    n_prompt_tokens: int


@dataclass(frozen=True)
class GenerationState:
    """Hold the state that another router needs to continue a generation."""

    generation_id: str
    request_key: str
    tokens: tuple[str, ...] = ()
    attempt: int = 0
    fence: int = 0
    version: str = ""
    upstream: Upstream | None = None
    end: StreamEnd | None = None


@dataclass(frozen=True)
class UpstreamGranted:
    """Report the engine that was granted for the next attempt."""

    upstream: Upstream


@dataclass(frozen=True)
class NoUpstream:
    """Report that no engine can take the next attempt; resumes retry unless final."""

    reason: str
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """Report one token frame of an attempt."""

    attempt: int
    index: int
    text: str


@dataclass(frozen=True)
class StreamEnded:
    """Report that an engine ended an attempt, with the reason and token counts."""

    attempt: int
    connection: int
    reason: str
    n_prompt_tokens: int
    n_tokens: int


@dataclass(frozen=True)
class StreamBroken:
    """Report that a connection of an attempt broke or was refused."""

    attempt: int
    connection: int
    reason: str
    is_unreachable: bool = False


@dataclass(frozen=True)
class CallerLeft:
    """Report that the caller's connection closed."""


@dataclass(frozen=True)
class Superseded:
    """Report that another router has taken over the generation."""

    fence: int


@dataclass(frozen=True)
class TokensReplicated:
    """Report how many tokens a replica holder has acknowledged."""

    router_id: str
    n_tokens: int


@dataclass(frozen=True)
class PreviousRunFound:
    """Report the state of a previous run of the same request."""

    state: GenerationState


@dataclass(frozen=True)
class HolderLost:
    """Report that a replica holder is believed to have failed."""

    router_id: str


@dataclass(frozen=True)
class PeerStateReceived:
    """Report the longest state that peers hold, or None if they hold none.

    The result is certain only if the replica holder answered or is not alive.
    """

    state: GenerationState | None
    is_certain: bool = True


@dataclass(frozen=True)
class Tick:
    """Report that the time in `Generation.timer_at_ms` has been reached."""


Message = (
    UpstreamGranted
    | NoUpstream
    | TokenReceived
    | StreamEnded
    | StreamBroken
    | CallerLeft
    | Superseded
    | TokensReplicated
    | PreviousRunFound
    | HolderLost
    | PeerStateReceived
    | Tick
)


@dataclass(frozen=True)
class RequestUpstream:
    """Request an engine of a model, other than the excluded ones."""

    model: str
    version: str
    excluded_ids: tuple[str, ...]


@dataclass(frozen=True)
class CancelUpstreamRequest:
    """Cancel the pending request for an engine."""


@dataclass(frozen=True)
class StartAttempt:
    """Start the generation on an engine, to continue after the prefix tokens."""

    attempt: int
    upstream: Upstream
    prefix_tokens: tuple[str, ...]
    connection: int


@dataclass(frozen=True)
class AttachStream:
    """Attach to a running attempt over a new connection."""

    attempt: int
    upstream: Upstream
    from_index: int
    fence: int
    connection: int


@dataclass(frozen=True)
class CancelAttempt:
    """Cancel an attempt on its engine."""

    attempt: int
    upstream: Upstream
    fence: int


@dataclass(frozen=True)
class ReportEngineLost:
    """Report that an engine failed while it ran an attempt."""

    upstream: Upstream


@dataclass(frozen=True)
class RequestPeerState:
    """Take over a generation and request its state from its likely holders."""

    generation_id: str
    router_ids: tuple[str, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class ReplicateTokens:
    """Send a replica holder the tokens from an index on, and the end if known."""

    router_id: str
    from_index: int
    is_whole_state: bool


@dataclass(frozen=True, slots=True)
class Deliver:
    """Deliver one token to the caller."""

    index: int
    text: str
    event_id: str


@dataclass(frozen=True)
class EndAnswer:
    """Complete the response to the caller."""

    reason: str
    n_tokens: int
    n_prompt_tokens: int


@dataclass(frozen=True)
class FailAnswer:
    """Fail the response to the caller, with the number of tokens delivered."""

    code: str
    n_delivered: int


Action = (
    RequestUpstream
    | CancelUpstreamRequest
    | StartAttempt
    | AttachStream
    | CancelAttempt
    | ReportEngineLost
    | RequestPeerState
    | ReplicateTokens
    | Deliver
    | EndAnswer
    | FailAnswer
)
