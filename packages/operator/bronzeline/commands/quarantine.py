"""List and lift quarantines of requests that crash engines."""

from __future__ import annotations

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.router_client import RouterClient
from bronzeline.tables import print_rows
from bronzeline_daemon.admin.status import QuarantineRow

__all__ = ["quarantine"]


@click.group()
def quarantine() -> None:
    """Show and lift quarantines of requests that crash engines."""


@quarantine.command("list")
@output_option
@pass_connection
@async_command
async def list_quarantines(connection: Connection, output: str) -> None:
    """List the quarantined requests."""
    client = RouterClient(connection)
    print_rows(await client.request_any(list[QuarantineRow], "quarantine"), output)


@quarantine.command()
@click.argument("entry_id")
@pass_connection
@async_command
async def lift(connection: Connection, entry_id: str) -> None:
    """Lift the quarantine ENTRY_ID in the whole fleet."""
    client = RouterClient(connection)
    await client.request_any(str, f"quarantine/{entry_id}", "DELETE")
    click.echo(f"quarantine {entry_id} is lifted")
