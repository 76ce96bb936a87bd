"""Add, list and remove exceptions that override defaults."""

from __future__ import annotations

import time
from dataclasses import dataclass, replace
from datetime import UTC, datetime
from typing import Any

import click

from bronzeline.changes import (
    change_config,
    expected_version_option,
    read_config,
    wait_option,
)
from bronzeline.commands.options import OPTION_NAMES, parse_value
from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.tables import print_rows
from bronzeline_kernel.config import ExceptionRule, FleetConfig, load_document
from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["exception"]

SECONDS_PER_HOUR = 3_600.0


class UnknownExceptionError(BronzelineError):
    """Report an exception id that is not in the configuration."""


@dataclass(frozen=True)
class ExceptionRow:
    """Represent one exception in the output."""

    exception_id: str
    scope: str
    option: str
    value: Any
    expires: str
    reason: str


@click.group()
def exception() -> None:
    """Add, list and remove exceptions to the defaults."""


@exception.command()
@click.argument("exception_id")
@click.argument("scope")
@click.argument("option", type=click.Choice(OPTION_NAMES), metavar="OPTION")
@click.argument("value")
@click.option(
    "--reason", required=True, help="Why it is needed; shown where it applies."
)
@click.option(
    "--expires-in-hours",
    type=click.FloatRange(min=0, min_open=True),
    help="Hours until it expires; default: never.",
)
@wait_option
@expected_version_option
@pass_connection
@async_command
async def add(
    connection: Connection,
    exception_id: str,
    scope: str,
    option: str,
    value: str,
    reason: str,
    expires_in_hours: float | None,
    must_wait: bool,
    expected: int | None,
) -> None:
    """Set OPTION to VALUE within SCOPE.

    SCOPE is workspace:NAME, service:NAME or model:NAME.
    """
    hours = expires_in_hours
    expires_at_s = time.time() + hours * SECONDS_PER_HOUR if hours else None
    rule_values = (
        exception_id,
        scope,
        option,
        parse_value(value),
        reason,
        expires_at_s,
    )

    def edit(config: FleetConfig) -> FleetConfig:
        rule = make_rule(*rule_values)
        return replace(config, exceptions=(*config.exceptions, rule))

    await change_config(connection, edit, must_wait, expected)


@exception.command("list")
@output_option
@pass_connection
@async_command
async def list_exceptions(connection: Connection, output: str) -> None:
    """List the exceptions with their reasons."""
    config = await read_config(connection)
    print_rows([_to_row(item) for item in config.exceptions], output)


@exception.command()
@click.argument("exception_id")
@wait_option
@expected_version_option
@pass_connection
@async_command
async def remove(
    connection: Connection, exception_id: str, must_wait: bool, expected: int | None
) -> None:
    """Remove the exception EXCEPTION_ID."""

    def edit(config: FleetConfig) -> FleetConfig:
        remaining = tuple(
            item for item in config.exceptions if item.exception_id != exception_id
        )
        if len(remaining) == len(config.exceptions):
            raise UnknownExceptionError(f"there is no exception {exception_id!r}")
        return replace(config, exceptions=remaining)

    await change_config(connection, edit, must_wait, expected)


def make_rule(
    exception_id: str,
    scope: str,
    option: str,
    value: Any,
    reason: str,
    expires_at_s: float | None,
) -> ExceptionRule:
    """Return a validated exception; raises `SettingsError`."""
    data = {
        "exception_id": exception_id,
        "scope": scope,
        "option": option,
        "value": value,
        "reason": reason,
        "expires_at_s": expires_at_s,
    }
    return load_document(ExceptionRule, data, "this exception")


def _to_row(rule: ExceptionRule) -> ExceptionRow:
    expires = ""
    if rule.expires_at_s is not None:
        moment = datetime.fromtimestamp(rule.expires_at_s, UTC)
        expires = moment.isoformat(timespec="seconds")
    return ExceptionRow(
        rule.exception_id, rule.scope, rule.option, rule.value, expires, rule.reason
    )
