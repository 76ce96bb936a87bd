"""Hold the configuration that forwarding follows, as typed data."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

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
    """Say what a route's requests allow when their upstream fails."""

    STREAM = "stream"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


@dataclass(frozen=True)
class ServiceShare:
    """Give a service a weight among those that share a route."""

    service: str
    weight: float


@dataclass(frozen=True)
class Route:
    """Lead requests of one host and path prefix to services."""

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
        """Say whether a request may run more than once."""
        if self.kind is WorkKind.STREAM:
            return self.is_resumable
        return self.kind is WorkKind.IDEMPOTENT


@dataclass(frozen=True)
class EngineInfo:
    """Describe the engines of a service that generates tokens."""

    n_slots: int
    memory_tokens: int
    has_backups: bool


@dataclass(frozen=True)
class ServiceInfo:
    """Describe a service: its health path and, if it has them, its engines."""

    name: str
    health_path: str
    max_connections: int
    engine: EngineInfo | None = None


@dataclass(frozen=True)
class CallerLimits:
    """Bound what callers may send and how long they may stay idle."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


@dataclass(frozen=True)
class WorkspaceKeys:
    """Name a workspace with the keys that its callers may use."""

    name: str
    keys: tuple[str, ...]
    priority: int | None = None


@dataclass(frozen=True)
class ForwardingConfig:
    """Hold one version of the whole configuration."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceInfo, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    workspaces: tuple[WorkspaceKeys, ...] = ()
