"""Add, list and remove workspaces."""

from __future__ import annotations

import secrets
from dataclasses import dataclass, replace
from hashlib import sha256

import click

from bronzeline.changes import (
    change_config,
    expected_version_option,
    read_config,
    submit_change,
    wait_option,
    wait_until_applied,
)
from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.tables import print_rows
from bronzeline_kernel.config import FleetConfig, WorkspaceConfig
from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["workspace"]

KEY_BYTES = 32


class WorkspaceError(BronzelineError):
    """Report a workspace that does not exist or already exists."""


@dataclass(frozen=True)
class WorkspaceRow:
    """Represent one workspace in the output."""

    name: str
    weight: float
    max_running: int


@click.group()
def workspace() -> None:
    """Add, list and remove workspaces."""


@workspace.command()
@click.argument("name")
@click.option(
    "--weight",
    type=click.FloatRange(min=0, min_open=True),
    default=1.0,
    show_default=True,
    help="Its share of a busy fleet, relative to other workspaces' weights.",
)
@click.option(
    "--max-running",
    type=click.IntRange(min=1),
    default=10_000,
    show_default=True,
    help="Maximum number of its requests that run at once.",
)
@wait_option
@expected_version_option
@pass_connection
@async_command
async def add(
    connection: Connection,
    name: str,
    weight: float,
    max_running: int,
    must_wait: bool,
    expected: int | None,
) -> None:
    """Add a workspace and print its key.

    The key is not shown again: the configuration stores only its hash.
    """
    key = secrets.token_urlsafe(KEY_BYTES)
    row = WorkspaceConfig(sha256(key.encode()).hexdigest(), weight, max_running)

    def edit(config: FleetConfig) -> FleetConfig:
        if name in config.workspaces:
            raise WorkspaceError(f"there is a workspace {name!r} already")
        return replace(config, workspaces={**config.workspaces, name: row})

    version = await submit_change(connection, edit, expected)
    click.echo(f"key: {key}")
    if must_wait:
        await wait_until_applied(connection, version)


@workspace.command("list")
@output_option
@pass_connection
@async_command
async def list_workspaces(connection: Connection, output: str) -> None:
    """List the workspaces."""
    config = await read_config(connection)
    rows = [
        WorkspaceRow(name, item.weight, item.max_running)
        for name, item in sorted(config.workspaces.items())
    ]
    print_rows(rows, output)


@workspace.command()
@click.argument("name")
@wait_option
@expected_version_option
@pass_connection
@async_command
async def remove(
    connection: Connection, name: str, must_wait: bool, expected: int | None
) -> None:
    """Remove the workspace NAME; its key becomes invalid."""

    def edit(config: FleetConfig) -> FleetConfig:
        if name not in config.workspaces:
            raise WorkspaceError(f"there is no workspace {name!r}")
        remaining = {
            key: item for key, item in config.workspaces.items() if key != name
        }
        return replace(config, workspaces=remaining)

    await change_config(connection, edit, must_wait, expected)
