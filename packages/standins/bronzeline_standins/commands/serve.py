"""Run engines, plain services or the platform as separate processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable, Sequence

import click
import msgspec

from bronzeline_daemon.config_distribution_service import CONFIG_KEY
from bronzeline_standins.engine import EngineServer
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.plain_service import OrderBook, PlainServer
from bronzeline_standins.platform import PlatformServer
from bronzeline_standins.ports import HOST
from bronzeline_standins.server import StandinServer
from bronzeline_standins.topology import TOPOLOGIES

__all__ = ["engine", "plain", "platform"]

ports_option = click.option(
    "--port",
    "ports",
    type=int,
    multiple=True,
    required=True,
    help="Port of a server; repeatable.",
)


@click.command()
@ports_option
@click.option(
    "--slots", "n_slots", default=16, help="Streams computed at once by an engine."
)
@click.option("--inter-token-ms", default=20.0, help="Milliseconds per token.")
@click.option(
    "--salt", default="", help="Engines with other salts continue a text differently."
)
def engine(
    ports: Sequence[int], n_slots: int, inter_token_ms: float, salt: str
) -> None:
    """Serve simulated engines, one per port."""
    options = EngineOptions(n_slots=n_slots, inter_token_ms=inter_token_ms, salt=salt)
    serve(lambda: [EngineServer(f"engine-{port}", options, port) for port in ports])


@click.command()
@ports_option
@click.option("--work-ms", default=5.0, help="Milliseconds per call.")
def plain(ports: Sequence[int], work_ms: float) -> None:
    """Serve the upstreams of one plain service, one per port, with shared orders."""
    order_book = OrderBook()
    serve(
        lambda: [
            PlainServer(f"plain-{port}", order_book, work_ms, port) for port in ports
        ]
    )


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--user", type=click.Choice(sorted(TOPOLOGIES)), default="guild")
def platform(port: int, user: str) -> None:
    """Serve the object API, with a user's configuration, and the VM list."""

    def make() -> list[StandinServer]:
        server = PlatformServer(port)
        config = TOPOLOGIES[user].fleet_config()
        server.table.put(CONFIG_KEY, msgspec.json.encode(config), 0)
        return [server]

    serve(make)


def serve(make_servers: Callable[[], Sequence[StandinServer]]) -> None:
    """Run servers until SIGTERM or SIGINT."""
    asyncio.run(_serve(make_servers))


async def _serve(make_servers: Callable[[], Sequence[StandinServer]]) -> None:
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    servers = make_servers()
    for server in servers:
        server.start()
        click.echo(f"listening on {HOST}:{server.port}")
    await stop.wait()
    for server in servers:
        server.die()
