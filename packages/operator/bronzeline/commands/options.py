"""Show, change and compare the fleet's defaults."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, fields, replace
from pathlib import Path
from typing import Any

import click
import msgspec

from bronzeline.changes import (
    change_config,
    expected_version_option,
    read_config,
    wait_option,
)
from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.tables import print_rows
from bronzeline_kernel.config import (
    FleetConfig,
    FleetDefaults,
    diff,
    load_config,
    read_file,
)

__all__ = ["diff_file", "get", "set_option"]

OPTION_NAMES = [item.name for item in fields(FleetDefaults)]


@dataclass(frozen=True)
class OptionRow:
    """Represent one default and the ids of its exceptions in the output."""

    option: str
    value: Any
    exceptions: tuple[str, ...]


@click.command()
@click.argument(
    "option", required=False, type=click.Choice(OPTION_NAMES), metavar="[OPTION]"
)
@click.option("--file", "to_file", is_flag=True, help="Print the whole configuration.")
@output_option
@pass_connection
@async_command
async def get(
    connection: Connection, option: str | None, to_file: bool, output: str
) -> None:
    """Show the current defaults, or one OPTION."""
    config = await read_config(connection)
    if to_file:
        click.echo(msgspec.json.format(msgspec.json.encode(config)).decode())
        return
    names = [option] if option else OPTION_NAMES
    print_rows([_option_row(config, name) for name in names], output)


@click.command("set")
@click.argument("option", type=click.Choice(OPTION_NAMES), metavar="OPTION")
@click.argument("value")
@wait_option
@expected_version_option
@pass_connection
@async_command
async def set_option(
    connection: Connection,
    option: str,
    value: str,
    must_wait: bool,
    expected: int | None,
) -> None:
    """Set the default of OPTION to VALUE for the whole fleet."""
    parsed = parse_value(value)

    def edit(config: FleetConfig) -> FleetConfig:
        defaults = {**asdict(config.defaults), option: parsed}
        data = {**msgspec.to_builtins(config), "defaults": defaults}
        return load_config(data, "this change")

    await change_config(connection, edit, must_wait, expected)


@click.command("diff")
@click.argument("file", type=click.Path(dir_okay=False, path_type=Path))
@output_option
@pass_connection
@async_command
async def diff_file(connection: Connection, file: Path, output: str) -> None:
    """Show how FILE differs from the current configuration."""
    source = read_file(file)
    wanted = load_config({"revision": 0, **source.data}, source.name)
    current = await read_config(connection)
    changes = diff(current, replace(wanted, revision=current.revision))
    if output == "json":
        print_rows(changes, output)
        return
    for change in changes:
        click.echo(str(change))
    if not changes:
        click.echo(f"{file}: no difference")


def parse_value(text: str) -> Any:
    """Parse a value as JSON; text that isn't valid JSON is returned as it is."""
    try:
        return json.loads(text)
    except ValueError:
        return text


def _option_row(config: FleetConfig, name: str) -> OptionRow:
    ids = tuple(item.exception_id for item in config.exceptions if item.option == name)
    return OptionRow(name, getattr(config.defaults, name), ids)
