"""Run one router from its settings file."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import click

from bronzeline_daemon import __version__
from bronzeline_daemon.daemon import Daemon
from bronzeline_daemon.forwarding.command import run_forwarding
from bronzeline_daemon.logs import configure_logs
from bronzeline_kernel.config import Settings, load_settings
from bronzeline_kernel.exceptions import BronzelineError, SettingsError
from bronzeline_kernel.plugins import PluginRegistry, load_plugins

__all__ = ["cli"]

MS_PER_S = 1_000.0


@click.command()
@click.option(
    "--config",
    "config_path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The settings file: JSON with comments, or a platform's own.",
)
@click.option("--check", is_flag=True, help="Check the settings and stop.")
@click.version_option(__version__)
def cli(config_path: Path, check: bool) -> None:
    """Run a bronzeline router in the foreground."""
    try:
        registry = load_plugins()
        if config_path.suffix in registry.names("forwarding_settings"):
            run_forwarding(config_path, registry, check)
            return
        settings = load_settings(config_path, registry)
    except SettingsError as error:
        for problem in error.problems:
            click.echo(str(problem), err=True)
        sys.exit(2)
    except BronzelineError as error:
        click.echo(str(error), err=True)
        sys.exit(1)
    if check:
        click.echo(f"{config_path}: settings are valid")
        return
    try:
        asyncio.run(_run(settings, registry))
    except BronzelineError as error:
        click.echo(str(error), err=True)
        sys.exit(1)


async def _run(settings: Settings, registry: PluginRegistry) -> None:
    configure_logs(settings.logs.level, settings.logs.format)
    daemon = Daemon(settings, registry)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, daemon.drain)
    await daemon.start()
    await daemon.drain_requested.wait()
    # The load balancer sends requests until its next readiness check.
    await asyncio.sleep(settings.router.drain_grace_ms / MS_PER_S)
    await daemon.stop()


if __name__ == "__main__":
    cli()
