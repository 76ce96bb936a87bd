"""Declare the messages into a generation and the actions out of it."""

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
    """Hold what a caller asked for, fixed over every attempt."""

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
    """Say how an engine ended a whole generation."""

    reason: str
    n_prompt_tokens: int


@dataclass(frozen=True)
class GenerationState:
    """Hold all that another router needs to go on with a generation."""

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
    """Give the engine that the next attempt goes to."""

    upstream: Upstream


@dataclass(frozen=True)
class NoUpstream:
    """Say that no engine can take the next attempt."""

    reason: str
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class TokenReceived:
    """Give one token frame of an attempt."""

    attempt: int
    index: int
    text: str


@dataclass(frozen=True)
class StreamEnded:
    """Say that an engine ended an attempt in its own time."""

    attempt: int
    connection: int
    reason: str
    n_prompt_tokens: int
    n_tokens: int


@dataclass(frozen=True)
class StreamBroken:
    """Say that one connection of an attempt broke or was refused."""

    attempt: int
    connection: int
    reason: str
    is_unreachable: bool = False


@dataclass(frozen=True)
class CallerLeft:
    """Say that the caller's connection closed."""


@dataclass(frozen=True)
class Superseded:
    """Say that another router goes on with the generation."""

    fence: int


@dataclass(frozen=True)
class TokensReplicated:
    """Say how many tokens a replica holder has."""

    router_id: str
    n_tokens: int


@dataclass(frozen=True)
class PreviousRunFound:
    """Give the state of the same request's earlier run."""

    state: GenerationState


@dataclass(frozen=True)
class HolderLost:
    """Say that a replica holder is taken to be dead."""

    router_id: str


@dataclass(frozen=True)
class PeerStateReceived:
    """Give the fullest state that peers hold, or None.

    It is certain only if the replica holder was among those that answered.
    """

    state: GenerationState | None
    is_certain: bool = True


@dataclass(frozen=True)
class Tick:
    """Say that the time in `Generation.timer_at_ms` has come."""


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
    """Ask for an engine, none of the excluded ones."""

    model: str
    version: str
    excluded_ids: tuple[str, ...]


@dataclass(frozen=True)
class CancelUpstreamRequest:
    """Take back the wish for an engine."""


@dataclass(frozen=True)
class StartAttempt:
    """Send the generation to an engine, after the tokens already held."""

    attempt: int
    upstream: Upstream
    prefix_tokens: tuple[str, ...]
    connection: int


@dataclass(frozen=True)
class AttachStream:
    """Follow a running attempt over a new connection."""

    attempt: int
    upstream: Upstream
    from_index: int
    fence: int
    connection: int


@dataclass(frozen=True)
class CancelAttempt:
    """Stop an engine's work on an attempt."""

    attempt: int
    upstream: Upstream
    fence: int


@dataclass(frozen=True)
class ReportEngineLost:
    """Say that an engine died under an attempt."""

    upstream: Upstream


@dataclass(frozen=True)
class RequestPeerState:
    """Ask the routers that may hold a generation, and take it over."""

    generation_id: str
    router_ids: tuple[str, ...]
    fence: int


@dataclass(frozen=True, slots=True)
class ReplicateTokens:
    """Copy tokens, and the end where there is one, to a replica holder."""

    router_id: str
    from_index: int
    is_whole_state: bool


@dataclass(frozen=True, slots=True)
class Deliver:
    """Give the caller one token."""

    index: int
    text: str
    event_id: str


@dataclass(frozen=True)
class EndAnswer:
    """Close a whole answer."""

    reason: str
    n_tokens: int
    n_prompt_tokens: int


@dataclass(frozen=True)
class FailAnswer:
    """End an answer that can't go on, saying what was delivered."""

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
