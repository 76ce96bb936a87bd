"""Describe the upstreams and routers of a fleet."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["RouterInfo", "Upstream", "UpstreamKind"]


class UpstreamKind(StrEnum):
    """Distinguish model engines from plain services."""

    ENGINE = "engine"
    PLAIN = "plain"


@dataclass(frozen=True)
class Upstream:
    """Describe one VM that runs a service."""

    upstream_id: str
    service: str
    kind: UpstreamKind
    host: str
    port: int
    availability_zone: str
    region: str
    model: str = ""
    version: str = ""
    is_leaving: bool = False


@dataclass(frozen=True)
class RouterInfo:
    """Describe one router as reported by the VM list or by peers."""

    router_id: str
    host: str
    peer_port: int
    availability_zone: str
    region: str
    is_leaving: bool = False
