"""Validate settings files without access to a fleet."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from bronzeline.connection import ConnectionSettings
from bronzeline_kernel.config import load_config, load_file, load_settings, read_file
from bronzeline_kernel.config.loader import with_line_numbers
from bronzeline_kernel.exceptions import SettingsError
from bronzeline_kernel.plugins import load_plugins

__all__ = ["check"]

DAEMON_KEYS = {"router", "object_store", "vm_list", "peers"}
FLEET_KEYS = {"revision", "defaults", "exceptions", "services", "workspaces"}
OPERATOR_KEYS = {"routers", "key"}


@click.command()
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(dir_okay=False, path_type=Path),
)
def check(files: tuple[Path, ...]) -> None:
    """Validate settings or configuration FILES offline.

    The keys in a file tell whether it is a router's settings, a fleet's
    configuration or this command's settings. Prints all problems.
    """
    n_problems = sum(_check_file(path) for path in files)
    sys.exit(2 if n_problems else 0)


def _check_file(path: Path) -> int:
    try:
        kind = _check(path)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        return len(error.problems)
    click.echo(f"{path}: valid {kind}")
    return 0


def _check(path: Path) -> str:
    file = read_file(path)
    keys = set(file.data) if isinstance(file.data, dict) else set()
    if keys & OPERATOR_KEYS and not keys & DAEMON_KEYS - {"object_store"}:
        load_file(ConnectionSettings, path)
        return "operator's settings"
    if len(keys & FLEET_KEYS) > len(keys & DAEMON_KEYS):
        try:
            load_config(file.data, file.name)
        except SettingsError as error:
            raise SettingsError(with_line_numbers(file, error.problems)) from None
        return "configuration of a fleet"
    load_settings(path, load_plugins())
    return "settings of a daemon"
