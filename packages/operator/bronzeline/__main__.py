"""Define the `bronzeline` command and its global options."""

from __future__ import annotations

from pathlib import Path

import click

from bronzeline import __version__
from bronzeline.commands import COMMANDS
from bronzeline.connection import load_connection
from bronzeline_kernel.exceptions import SettingsError

__all__ = ["cli"]


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option(
    "--config",
    "config_path",
    envvar="BRONZELINE_CONFIG",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Settings file with object_store, routers and key; BRONZELINE_CONFIG.",
)
@click.option(
    "--object-store",
    envvar="BRONZELINE_OBJECT_STORE",
    help="Address of the object API; BRONZELINE_OBJECT_STORE.",
)
@click.option(
    "--router",
    "routers",
    envvar="BRONZELINE_ROUTERS",
    multiple=True,
    help="Address of a router, can be repeated; BRONZELINE_ROUTERS.",
)
@click.option(
    "--key",
    envvar="BRONZELINE_KEY",
    help="Operator key for the routers; BRONZELINE_KEY.",
)
@click.version_option(__version__)
@click.pass_context
def cli(
    context: click.Context,
    config_path: Path | None,
    object_store: str | None,
    routers: tuple[str, ...],
    key: str | None,
) -> None:
    """Check, change and inspect a bronzeline fleet.

    Exit status: 0 on success, 1 when the fleet refused or can't be reached,
    2 when the command line or a settings file is invalid.
    """
    try:
        context.obj = load_connection(
            config_path, object_store=object_store, routers=routers, key=key
        )
    except SettingsError as error:
        raise click.UsageError(str(error)) from None


for command in COMMANDS:
    cli.add_command(command)


if __name__ == "__main__":
    cli(prog_name="bronzeline")
