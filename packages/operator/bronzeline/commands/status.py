"""Show the state of the fleet."""

from __future__ import annotations

from dataclasses import dataclass
from math import isfinite

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.metrics_client import MetricsClient, MetricsError
from bronzeline.router_client import RouterClient, RouterError
from bronzeline.tables import print_rows
from bronzeline_daemon.admin.status import RouterStatus, ServiceRow
from bronzeline_kernel.routing import UpstreamView

__all__ = ["status"]

BYTES_PER_MB = 1_000_000


@dataclass(frozen=True)
class RouterRow:
    """Represent one router in the output."""

    address: str
    router_id: str = ""
    availability_zone: str = ""
    state: str = "unreachable"
    configuration_version: int | None = None
    n_generations: int | None = None
    n_orders: int | None = None
    n_peers: int | None = None
    cpu_s: float | None = None
    resident_mb: float | None = None


@dataclass(frozen=True)
class FleetRow:
    """Summarize the fleet in one row of output."""

    n_routers: int
    n_ready: int
    configuration_versions: tuple[int, ...]
    n_generations: int
    n_orders: int
    n_services: int
    n_upstreams: int
    n_leaving: int


@dataclass(frozen=True)
class ForwardingRow:
    """Represent a router that forwards the platform's requests.

    `n_leaving` and `n_resting` upstreams say now that they leave or want no requests;
    `n_said_leaving` and `n_said_resting` have said so since the router started.
    """

    address: str
    state: str = "unreachable"
    n_running: int | None = None
    configuration_version: int | None = None
    lease_age_ms: int | None = None
    store_era: int | None = None
    n_upstreams: int | None = None
    n_leaving: int | None = None
    n_resting: int | None = None
    n_said_leaving: int | None = None
    n_said_resting: int | None = None


@click.group(invoke_without_command=True)
@click.pass_context
def status(context: click.Context) -> None:
    """Show the fleet, its services, upstreams or routers."""
    if context.invoked_subcommand is None:
        context.invoke(fleet, output="table")


@status.command()
@output_option
@pass_connection
@async_command
async def fleet(connection: Connection, output: str) -> None:
    """Show a summary of the fleet."""
    rows = await _router_rows(connection)
    services = await RouterClient(connection).request_any(list[ServiceRow], "services")
    print_rows([_fleet_row(rows, services)], output)


@status.command()
@output_option
@pass_connection
@async_command
async def services(connection: Connection, output: str) -> None:
    """Show the configured services."""
    client = RouterClient(connection)
    print_rows(await client.request_any(list[ServiceRow], "services"), output)


@status.command()
@output_option
@pass_connection
@async_command
async def upstreams(connection: Connection, output: str) -> None:
    """Show the upstreams as known to the first reachable router."""
    client = RouterClient(connection)
    print_rows(await client.request_any(list[UpstreamView], "upstreams"), output)


@status.command()
@output_option
@pass_connection
@async_command
async def routers(connection: Connection, output: str) -> None:
    """Show the routers whose addresses were given."""
    print_rows(await _router_rows(connection), output)


@status.command()
@click.argument("addresses", nargs=-1, required=True)
@output_option
@pass_connection
@async_command
async def forwarding(
    connection: Connection, addresses: tuple[str, ...], output: str
) -> None:
    """Show routers that forward the platform's requests.

    ADDRESSES are their metrics addresses, such as http://127.0.0.1:9100.
    """
    client = MetricsClient(connection.settings.timeout_ms)
    rows = []
    for address in addresses:
        try:
            rows.append(_forwarding_row(address, await client.read(address)))
        except MetricsError as error:
            click.echo(str(error), err=True)
            rows.append(ForwardingRow(address))
    print_rows(rows, output)


def _forwarding_row(address: str, values: dict[str, float]) -> ForwardingRow:
    def count(name: str) -> int | None:
        value = values.get(f"bronzeline_{name}")
        return round(value) if value is not None and isfinite(value) else None

    return ForwardingRow(
        address=address,
        state="ready" if count("ready") else "not ready",
        n_running=count("running"),
        configuration_version=count("configuration_version"),
        lease_age_ms=count("lease_age_ms"),
        store_era=count("store_era"),
        n_upstreams=count("upstreams"),
        n_leaving=count("leaving_upstreams"),
        n_resting=count("resting_upstreams"),
        n_said_leaving=count("notices_total/leaving") or 0,
        n_said_resting=count("notices_total/resting") or 0,
    )


async def _router_rows(connection: Connection) -> list[RouterRow]:
    client = RouterClient(connection)
    rows = []
    for address in connection.routers:
        try:
            found = await client.request(RouterStatus, address, "status")
        except RouterError as error:
            click.echo(str(error), err=True)
            rows.append(RouterRow(address))
        else:
            rows.append(_router_row(address, found))
    return rows


def _router_row(address: str, found: RouterStatus) -> RouterRow:
    state = "stopping" if found.is_stopping else "starting"
    return RouterRow(
        address=address,
        router_id=found.router_id,
        availability_zone=found.availability_zone,
        state="ready" if found.is_ready else state,
        configuration_version=found.configuration_version,
        n_generations=found.n_running_generations,
        n_orders=found.n_running_orders,
        n_peers=len(found.peer_ids),
        cpu_s=round(found.cpu_s, 2),
        resident_mb=round(found.resident_bytes / BYTES_PER_MB, 1),
    )


def _fleet_row(rows: list[RouterRow], services: list[ServiceRow]) -> FleetRow:
    versions = {row.configuration_version for row in rows} - {None}
    return FleetRow(
        n_routers=len(rows),
        n_ready=sum(row.state == "ready" for row in rows),
        configuration_versions=tuple(sorted(item for item in versions if item)),
        n_generations=sum(row.n_generations or 0 for row in rows),
        n_orders=sum(row.n_orders or 0 for row in rows),
        n_services=len(services),
        n_upstreams=sum(row.n_upstreams for row in services),
        n_leaving=sum(row.n_leaving for row in services),
    )
