"""Declare the settings of a router that forwards for a platform."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

__all__ = ["ForwardingSettings", "RolloutBounds", "SocketAddress"]


@dataclass(frozen=True)
class SocketAddress:
    """Represent an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class RolloutBounds:
    """Limit what a software version that turns out bad may get.

    It gets at most `max_share` of a service's requests plus `n_extra_requests`, and
    none later than `rollback_ms` after it was seen to be bad.
    """

    max_share: float
    n_extra_requests: int
    rollback_ms: float


@dataclass(frozen=True)
class ForwardingSettings:
    """Configure one router and the limits that the platform sets for it."""

    # The name under which the platform's plug-ins are registered.
    platform: str
    router_id: str
    availability_zone: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    store: SocketAddress
    # Time after the revocation of a key during which requests with it may run.
    key_revocation_ms: float
    # Time in which a change of the configuration or an upstream's leaving must be
    # in force on every router.
    config_in_force_ms: float
    leaving_in_force_ms: float
    # Memory of the VM, of which buffered responses may take a small share.
    memory_mib: float
    # Time from the request to stop until the process is killed.
    stop_grace_ms: float
    # Retries allowed to all routers together: a share of the requests, plus
    # a fixed number.
    retry_ratio: float
    n_retry_reserve: int
    # The availability zones of all regions, by name, with their regions.
    regions: Mapping[str, str] = field(default_factory=dict)
    # Descriptors that this process may open; None if that is not limited.
    max_descriptors: int | None = None
    # Whether to learn how much load each upstream handles well.
    learns_capacity: bool = False
    # Whether live streams move off upstreams that leave, where the configuration has
    # moves. Off by default: stream-moves.md says what is open.
    moves_streams: bool = False
    # None where software versions are not moved by rollouts.
    rollout: RolloutBounds | None = None
