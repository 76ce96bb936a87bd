"""Declare the settings of a router that forwards for a platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ForwardingSettings", "SocketAddress"]


@dataclass(frozen=True)
class SocketAddress:
    """Represent an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


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
