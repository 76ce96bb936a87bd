"""Start a router from a platform's settings file."""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path

import click

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.forwarding.router import ForwardingRouter
from bronzeline_daemon.library_logs import limit_library_logs
from bronzeline_daemon.log_handler import NonBlockingHandler
from bronzeline_daemon.logs import configure_logs, log_event
from bronzeline_kernel.exceptions import SettingsError
from bronzeline_kernel.forwarding import ForwardingSettings
from bronzeline_kernel.plugins import PluginRegistry

__all__ = ["run_forwarding"]

# Settings that change without a SIGHUP are applied within the time limit for
# changes of the configuration.
SETTINGS_POLL_S = 2.0


def run_forwarding(
    path: Path,
    registry: PluginRegistry,
    check: bool,
    metrics_port: int | None = None,
    line_format: str = "key_value",
) -> None:
    """Check the settings and run a router; raises `SettingsError`."""
    settings = registry.create("forwarding_settings", path.suffix, path=path)
    if check:
        click.echo(f"{path}: settings are valid")
        return
    handler = NonBlockingHandler(sys.stdout.fileno())
    configure_logs(line_format=line_format, handler=handler)
    asyncio.run(_run(path, settings, registry, metrics_port))
    handler.close()


async def _run(
    path: Path,
    settings: ForwardingSettings,
    registry: PluginRegistry,
    metrics_port: int | None,
) -> None:
    clock = BootClock()
    router = ForwardingRouter(
        settings,
        registry.create(
            "directory_store", settings.platform, address=settings.store, clock=clock
        ),
        registry.create("wire_format", settings.platform),
        registry.create("engine_client", settings.platform, clock=clock),
        clock,
        metrics_port,
    )
    limit_library_logs(router.connection_limiter.logs)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, router.begin_stop)
    loop.add_signal_handler(signal.SIGINT, router.begin_stop)
    loop.add_signal_handler(signal.SIGHUP, _reload_settings, path, router, registry)
    await router.start()
    watch = asyncio.create_task(_watch_settings(path, router, registry))
    await router.stopped.wait()
    watch.cancel()


async def _watch_settings(
    path: Path, router: ForwardingRouter, registry: PluginRegistry
) -> None:
    """Poll the settings file and reload it when it changes without a signal."""
    last_modified_ns = _modified_at_ns(path)
    while True:
        await asyncio.sleep(SETTINGS_POLL_S)
        modified_ns = _modified_at_ns(path)
        if modified_ns != last_modified_ns:
            last_modified_ns = modified_ns
            _reload_settings(path, router, registry)


def _modified_at_ns(path: Path) -> int:
    try:
        return path.stat().st_mtime_ns
    except OSError as error:
        log_event("settings_unreadable", path=str(path), error=str(error))
        return 0


def _reload_settings(
    path: Path, router: ForwardingRouter, registry: PluginRegistry
) -> None:
    """Apply changed settings; keep the current ones if the file is invalid."""
    try:
        settings = registry.create("forwarding_settings", path.suffix, path=path)
    except SettingsError as error:
        for problem in error.problems:
            log_event("settings_declined", problem=str(problem))
        return
    router.apply_settings(settings)
