"""Describe the fleets of the two current users."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import sha256

from bronzeline_kernel.config import (
    FleetConfig,
    FleetDefaults,
    Route,
    ServiceConfig,
    WorkspaceConfig,
)
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_standins.ports import HOST

__all__ = ["BITNA", "GUILD", "TOPOLOGIES", "Topology", "workspace_key"]


@dataclass(frozen=True)
class Topology:
    """Describe one user's regions, services, workspaces and fleet size."""

    name: str
    regions: tuple[str, ...]
    engine_service: str
    plain_service: str
    model: str
    n_engines: int = 9
    n_plain: int = 3
    n_routers: int = 9
    n_workspaces: int = 10
    client_latency_ms: float = 1.0
    zone_latency_ms: float = 1.0
    region_latency_ms: float = 10.0

    def workspaces(self) -> list[str]:
        """List the names of the workspaces."""
        return [f"{self.name}-{number:02d}" for number in range(self.n_workspaces)]

    def region_of(self, number: int) -> str:
        """Return the region of a VM by its number."""
        return self.regions[number % len(self.regions)]

    def upstream(
        self, upstream_id: str, kind: UpstreamKind, port: int, number: int
    ) -> Upstream:
        """Describe an upstream of the engine or the plain service by its number."""
        is_engine = kind is UpstreamKind.ENGINE
        region = self.region_of(number)
        return Upstream(
            upstream_id=upstream_id,
            service=self.engine_service if is_engine else self.plain_service,
            kind=kind,
            host=HOST,
            port=port,
            availability_zone=f"{region}-a",
            region=region,
            model=self.model if is_engine else "",
            version="1" if is_engine else "",
        )

    def fleet_config(self, defaults: FleetDefaults | None = None) -> FleetConfig:
        """Return the initial configuration of this user's fleet."""
        plain_routes = (
            Route("POST", "/orders", False),
            Route("GET", "/orders", True),
        )
        return FleetConfig(
            revision=1,
            defaults=defaults or FleetDefaults(),
            services={
                self.engine_service: ServiceConfig("engine", models=(self.model,)),
                self.plain_service: ServiceConfig(
                    "plain", routes=plain_routes, has_look_up=True
                ),
            },
            workspaces={
                name: WorkspaceConfig(
                    key_sha256=sha256(workspace_key(name).encode()).hexdigest()
                )
                for name in self.workspaces()
            },
        )


def workspace_key(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"key-{workspace}"


GUILD = Topology(
    "guild",
    ("lowcountry", "gulf-coast", "piedmont"),
    "draft-desk",
    "order-desk",
    "draft-model",
)
BITNA = Topology(
    "bitna",
    ("seoul", "busan", "daejeon"),
    "bronzeline-pool",
    "booking-desk",
    "care-model",
    client_latency_ms=3.0,
)
TOPOLOGIES = {item.name: item for item in (GUILD, BITNA)}
