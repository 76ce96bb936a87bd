"""Declare the settings of one daemon."""

from __future__ import annotations

from typing import Annotated, Any, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from bronzeline_kernel.config.option_types import (
    STRICT,
    DurationMs,
    KeyHash,
    Name,
    Port,
    Secret,
)
from bronzeline_kernel.fleet import RouterInfo

__all__ = [
    "AdminSettings",
    "LogSettings",
    "PeerSettings",
    "PluginSettings",
    "RouterSettings",
    "Settings",
]


@dataclass(frozen=True, config=STRICT)
class PluginSettings:
    """Name a plug-in and its options."""

    plugin: Name
    options: dict[str, Any] = Field(default_factory=dict)


@dataclass(frozen=True, config=STRICT)
class RouterSettings:
    """Place one router: its name, addresses and availability zone."""

    router_id: Name
    host: Name
    caller_port: Port
    peer_port: Port
    availability_zone: Name
    region: Name
    drain_grace_ms: Annotated[float, Field(ge=0)] = 3_000.0

    def info(self) -> RouterInfo:
        """Return what other routers must know of this one."""
        return RouterInfo(
            router_id=self.router_id,
            host=self.host,
            peer_port=self.peer_port,
            availability_zone=self.availability_zone,
            region=self.region,
        )


@dataclass(frozen=True, config=STRICT)
class PeerSettings:
    """Set how routers talk to each other."""

    shared_key: Secret
    heartbeat_interval_ms: DurationMs = 500.0


@dataclass(frozen=True, config=STRICT)
class LogSettings:
    """Set how events are logged."""

    format: Literal["key_value", "json"] = "key_value"
    level: Literal["debug", "info", "warning", "error"] = "info"


@dataclass(frozen=True, config=STRICT)
class AdminSettings:
    """Name the operators that may use the admin interface, by their keys."""

    operators: dict[str, KeyHash] = Field(default_factory=dict)


@dataclass(frozen=True, config=STRICT)
class Settings:
    """Hold all settings of one daemon."""

    router: RouterSettings
    object_store: PluginSettings
    vm_list: PluginSettings
    peers: PeerSettings
    engine: PluginSettings = Field(default_factory=lambda: PluginSettings("http"))
    plain: PluginSettings = Field(default_factory=lambda: PluginSettings("http"))
    logs: LogSettings = Field(default_factory=LogSettings)
    seed: int = 0
    admin: AdminSettings = Field(default_factory=AdminSettings)
