"""List orders whose outcome is unknown."""

from __future__ import annotations

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.router_client import RouterClient
from bronzeline.tables import print_rows
from bronzeline_daemon.admin.status import OrderInDoubt

__all__ = ["orders"]


@click.group()
def orders() -> None:
    """Show orders whose outcome is unknown."""


@orders.command("in-doubt")
@output_option
@pass_connection
@async_command
async def in_doubt(connection: Connection, output: str) -> None:
    """List the orders that may or may not have run."""
    client = RouterClient(connection)
    rows = await client.request_any(list[OrderInDoubt], "orders/in-doubt")
    print_rows(rows, output)
