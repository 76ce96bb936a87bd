"""Run routers and embedded stand-ins in one process until interrupted."""

from __future__ import annotations

import asyncio

import click

from bronzeline_standins.embedded import OPERATOR_KEY, EmbeddedFleet
from bronzeline_standins.ports import HOST
from bronzeline_standins.topology import TOPOLOGIES, workspace_key

__all__ = ["run"]


@click.command()
@click.option("--user", type=click.Choice(sorted(TOPOLOGIES)), default="guild")
@click.option(
    "--port", default=8080, help="Caller port of the first router; the others follow."
)
@click.option("--routers", "n_routers", default=3, help="Number of routers.")
def run(user: str, port: int, n_routers: int) -> None:
    """Start routers with embedded stand-ins and print example commands."""
    try:
        asyncio.run(_run(user, port, n_routers))
    except KeyboardInterrupt:
        click.echo("stopped")


async def _run(user: str, port: int, n_routers: int) -> None:
    topology = TOPOLOGIES[user]
    fleet = EmbeddedFleet(topology, n_routers=n_routers, first_caller_port=port)
    await fleet.start()
    key = workspace_key(topology.workspaces()[0])
    body = f'{{"model": "{topology.model}", "stream": true, "max_tokens": 40,'
    click.echo(f"{n_routers} routers listen on ports from {port}; try:")
    click.echo(
        f"curl -N http://{HOST}:{port}/v1/chat/completions "
        f"-H 'Authorization: Bearer {key}' -d '{body} "
        '"messages": [{"role": "user", "content": "Plan the thread colors."}]}\''
    )
    _print_operator_lines(fleet)
    try:
        await asyncio.Event().wait()
    finally:
        await fleet.stop()


def _print_operator_lines(fleet: EmbeddedFleet) -> None:
    routers = " ".join(
        f"http://{HOST}:{router.caller_port}" for router in fleet.routers
    )
    click.echo("and as an operator:")
    click.echo(
        f"export BRONZELINE_OBJECT_STORE=http://{HOST}:{fleet.platform.port} "
        f"BRONZELINE_ROUTERS='{routers}' BRONZELINE_KEY='{OPERATOR_KEY}'"
    )
    click.echo(".venv/bin/bronzeline status")
