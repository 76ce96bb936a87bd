"""Build the rows and documents of the operators' HTTP API."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_daemon.router_services import RouterServices
from bronzeline_kernel.orders import Claim
from bronzeline_kernel.quarantine import QuarantineEntry

__all__ = [
    "OrderInDoubt",
    "QuarantineRow",
    "RouterStatus",
    "ServiceRow",
    "order_in_doubt",
    "quarantine_row",
    "router_status",
    "service_rows",
]

MS_PER_S = 1_000.0


@dataclass(frozen=True)
class RouterStatus:
    """Report the identity, state, load and resource use of one router."""

    router_id: str
    incarnation: int
    availability_zone: str
    region: str
    is_ready: bool
    is_stopping: bool
    configuration_version: int
    n_running_generations: int
    n_running_orders: int
    n_upstreams: int
    peer_ids: tuple[str, ...]
    cpu_s: float
    resident_bytes: float
    peer_bytes_sent: int
    peer_bytes_received: int


@dataclass(frozen=True)
class ServiceRow:
    """Report one service with its number of upstreams known to this router."""

    name: str
    kind: str
    models: tuple[str, ...]
    n_upstreams: int
    n_leaving: int


@dataclass(frozen=True)
class OrderInDoubt:
    """Report an order for which it is unknown whether it ran."""

    workspace: str
    service: str
    idempotency_key: str
    owner: str
    state: str
    claimed_at_s: float


@dataclass(frozen=True)
class QuarantineRow:
    """Report one quarantined request and the upstreams that died while running it."""

    entry_id: str
    workspace: str
    reason: str
    upstream_ids: tuple[str, ...]
    expires_in_s: float


def quarantine_row(entry: QuarantineEntry, now_ms: float) -> QuarantineRow:
    """Convert a quarantine entry to a row with its remaining time in seconds."""
    return QuarantineRow(
        entry_id=entry.entry_id,
        workspace=entry.workspace,
        reason=entry.reason,
        upstream_ids=entry.upstream_ids,
        expires_in_s=round((entry.expires_at_ms - now_ms) / MS_PER_S, 1),
    )


def order_in_doubt(claim: Claim) -> OrderInDoubt:
    """Convert a claim to the row of its order."""
    labels = claim.labels
    return OrderInDoubt(
        workspace=labels.get("workspace", ""),
        service=labels.get("service", ""),
        idempotency_key=labels.get("idempotency_key", ""),
        owner=claim.owner,
        state=claim.state.value,
        claimed_at_s=claim.claimed_at_s,
    )


def router_status(services: RouterServices) -> RouterStatus:
    """Collect this router's status from its services."""
    router = services.settings.router
    return RouterStatus(
        router_id=router.router_id,
        incarnation=services.incarnation,
        availability_zone=router.availability_zone,
        region=router.region,
        is_ready=services.lifecycle.is_ready,
        is_stopping=services.lifecycle.is_stopping,
        configuration_version=services.config_distribution.version,
        n_running_generations=services.generations.n_running,
        n_running_orders=services.orders.n_running,
        n_upstreams=len(services.fleet.listing.upstreams),
        peer_ids=tuple(sorted(peer.router_id for peer in services.members.alive())),
        cpu_s=services.metrics.process_value("cpu_seconds_total"),
        resident_bytes=services.metrics.process_value("resident_memory_bytes"),
        peer_bytes_sent=services.peers.n_bytes_sent,
        peer_bytes_received=services.peers.n_bytes_received,
    )


def service_rows(services: RouterServices) -> list[ServiceRow]:
    """Return a row for each service of the applied configuration, by name."""
    upstreams = services.fleet.listing.upstreams
    rows = []
    for name, service in sorted(services.config_distribution.config.services.items()):
        of_service = [item for item in upstreams if item.service == name]
        n_leaving = sum(item.is_leaving for item in of_service)
        row = ServiceRow(name, service.kind, service.models, len(of_service), n_leaving)
        rows.append(row)
    return rows
