"""Define the forwarding configuration as typed data."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import ClassVar

__all__ = [
    "CallerLimits",
    "EngineInfo",
    "ForwardingConfig",
    "Route",
    "ServiceInfo",
    "ServiceShare",
    "WorkKind",
    "WorkspaceKeys",
]


class WorkKind(Enum):
    """Classify a route's requests by what may be done when their upstream fails."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class ServiceShare:
    """Assign a service its weight among the services of a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Map requests for a host and path prefix to services."""

    name: str
    host: str
    path_prefix: str
    kind: WorkKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    target_latency_ms: float
    max_attempts: int
    priority: int = 5
    is_public: bool = False
    is_resumable: bool = False
    max_gap_ms: float = 700.0

    @property
    def is_repeatable(self) -> bool:
        """Return whether a request may be executed more than once."""
        if self.kind is WorkKind.STREAM:
            return self.is_resumable
        return self.kind is WorkKind.IDEMPOTENT


@dataclass(frozen=True)
class EngineInfo:
    """Describe the engines of a token-generating service."""

    n_slots: int
    memory_tokens: int
    has_backups: bool
    has_moves: bool = False
    # Size of a run's memory, and the bandwidth of an engine's link for copies.
    bytes_per_token: float = 0.0
    link_mbps: float = 0.0


@dataclass(frozen=True)
class ServiceInfo:
    """Describe a service: its health check path, limits and engines, if any."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineInfo | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Limit callers' requests in size and time, and their connections' idle time."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class WorkspaceKeys:
    """Assign access keys and a priority to a workspace."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class ForwardingConfig:
    """Represent one version of the complete forwarding configuration.

    `workspaces` is None where requests need no key. An empty one means that no key is
    valid, so that only requests on public routes are admitted.
    """

    # Routers of an earlier build send both cases as an empty list. They ignore this
    # name, as this build does theirs, so that each reads the store instead.
    WIRE_NAME: ClassVar[str] = "KeyedForwardingConfig"

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[WorkspaceKeys, ...] | None = None

    @property
    def needs_keys(self) -> bool:
        """Return whether requests on routes that aren't public need a key."""
        return self.workspaces is not None
