"""Declare the settings of a router that forwards for a platform."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ForwardingSettings", "SocketAddress"]


@dataclass(frozen=True)
class SocketAddress:
    """Hold an IP address and a port."""

    host: str
    port: int

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


@dataclass(frozen=True)
class ForwardingSettings:
    """Place one router and state the platform's bounds."""

    # The name under which the platform's plug-ins are registered.
    platform: str
    router_id: str
    availability_zone: str
    callers: SocketAddress
    readiness: SocketAddress
    peers: SocketAddress
    store: SocketAddress
    # How long after a key was taken away a request with it may still run.
    key_revocation_ms: float
    # How long a stopping router may go on before it is killed.
    stop_grace_ms: float
    # Repeats allowed to all routers together: a share of the requests, and
    # a number on top of it.
    retry_ratio: float
    n_retry_reserve: int
