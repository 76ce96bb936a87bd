"""Drain a router."""

from __future__ import annotations

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, pass_connection
from bronzeline.router_client import RouterClient
from bronzeline_daemon.admin.status import RouterStatus

__all__ = ["drain"]


@click.command()
@click.argument("router")
@pass_connection
@async_command
async def drain(connection: Connection, router: str) -> None:
    """Drain the router at the address ROUTER.

    It accepts no new requests, finishes the running ones and exits.
    """
    client = RouterClient(connection)
    status = await client.request(RouterStatus, router, "drain", "POST")
    n_running = status.n_running_generations + status.n_running_orders
    click.echo(f"{status.router_id} accepts no new requests, {n_running} still running")
