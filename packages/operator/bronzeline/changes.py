"""Read and change the fleet's configuration and wait until it is applied."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import SystemRandom

import click

from bronzeline.connection import Connection
from bronzeline.router_client import RouterClient
from bronzeline_kernel.config import ConfigClient, FleetConfig
from bronzeline_kernel.exceptions import BronzelineError

__all__ = [
    "change_config",
    "expected_version_option",
    "read_config",
    "submit_change",
    "wait_option",
    "wait_until_applied",
]

Edit = Callable[[FleetConfig], FleetConfig]

WAIT_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2

wait_option = click.option(
    "--wait",
    "must_wait",
    is_flag=True,
    help="Wait until every live router has applied the change.",
)
expected_version_option = click.option(
    "--expect-version",
    "expected",
    type=click.IntRange(min=1),
    help="Change nothing unless this is the current version.",
)


class NoConfigurationError(BronzelineError):
    """Report that the object API holds no configuration."""


class NotAppliedError(BronzelineError):
    """Report routers that did not apply a version before the timeout."""


async def read_config(connection: Connection) -> FleetConfig:
    """Return the stored configuration; raises `NoConfigurationError` if none."""
    config = await _config_client(connection).read()
    if config is None:
        raise NoConfigurationError("the object API holds no configuration yet")
    return config


async def change_config(
    connection: Connection,
    edit: Edit,
    must_wait: bool,
    expected: int | None,
) -> None:
    """Submit a change and, if requested, wait until every router has applied it."""
    version = await submit_change(connection, edit, expected)
    if must_wait:
        await wait_until_applied(connection, version)


async def submit_change(
    connection: Connection, edit: Edit, expected: int | None
) -> int:
    """Write a change, print the changed entries and return the new version."""
    result = await _config_client(connection).change(edit, expected)
    for change in result.changes:
        click.echo(str(change))
    click.echo(f"version {result.version} is accepted")
    return result.version


async def wait_until_applied(connection: Connection, version: int) -> None:
    """Wait until every live router has applied a version.

    Raises `NotAppliedError` after 30 s.
    """
    deadline_s = time.monotonic() + WAIT_TIMEOUT_S
    while True:
        behind = await _routers_without_version(connection, version)
        if not behind:
            break
        if time.monotonic() > deadline_s:
            names = ", ".join(behind)
            raise NotAppliedError(f"version {version} is not in force yet on {names}")
        await asyncio.sleep(POLL_INTERVAL_S)
    click.echo(f"version {version} is in force on every live router")


async def _routers_without_version(connection: Connection, version: int) -> list[str]:
    client = RouterClient(connection)
    confirmed = await client.request_any(dict[str, int], "confirmations")
    return sorted(name for name, found in confirmed.items() if found < version)


def _config_client(connection: Connection) -> ConfigClient:
    return ConfigClient(connection.store(), SystemRandom(), asyncio.sleep)
