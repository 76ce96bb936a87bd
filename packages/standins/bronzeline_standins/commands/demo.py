"""Demonstrate the recovery from a lost engine and from a repeated order."""

from __future__ import annotations

import asyncio
import sys

import click

from bronzeline_daemon.logs import configure_logs
from bronzeline_standins.caller import Caller, StreamedCompletion
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.token_chain import engine_request, reference_tokens
from bronzeline_standins.topology import GUILD, workspace_key

__all__ = ["demo"]

N_TOKENS = 200
KILL_AFTER_TOKENS = 60
PROMPT = "Draft a thread-color plan for forty ivory robes with a gold crest."


@click.command()
def demo() -> None:
    """Kill an engine during a stream, place an order twice, and check both."""
    configure_logs("warning")
    is_complete = asyncio.run(_run_demo())
    click.echo("demo: all checks passed" if is_complete else "demo: FAILED")
    sys.exit(0 if is_complete else 1)


async def _run_demo() -> bool:
    fleet = EmbeddedFleet(
        GUILD, n_routers=3, engine_options=EngineOptions(inter_token_ms=10.0)
    )
    await fleet.start()
    try:
        is_completion_correct = await _demonstrate_generation(fleet)
        has_order_run_once = await _demonstrate_order(fleet)
    finally:
        await fleet.stop()
    return is_completion_correct and has_order_run_once


async def _demonstrate_generation(fleet: EmbeddedFleet) -> bool:
    key = workspace_key(GUILD.workspaces()[0])
    caller = Caller(fleet.routers[0].caller_port, key)
    click.echo(f"streaming {N_TOKENS} tokens through router-0 ...")
    completion = StreamedCompletion()
    stream_task = asyncio.ensure_future(
        caller.stream(GUILD.model, PROMPT, N_TOKENS, answer=completion)
    )
    while len(completion.tokens) < KILL_AFTER_TOKENS and not stream_task.done():
        await asyncio.sleep(0.005)
    for engine in fleet.engines:
        if engine.model.running:
            click.echo(
                f"{engine.upstream_id} dies after {len(completion.tokens)} tokens"
            )
            engine.die()
    await stream_task
    is_complete = completion.tokens == _expected_tokens()
    verdict = "whole" if is_complete else "NOT whole"
    click.echo(f"the caller received {len(completion.tokens)} tokens: {verdict}")
    return is_complete


def _expected_tokens() -> list[str]:
    request = engine_request(GUILD.model, PROMPT, N_TOKENS)
    return list(reference_tokens(request))


async def _demonstrate_order(fleet: EmbeddedFleet) -> bool:
    key = workspace_key(GUILD.workspaces()[0])
    callers = [Caller(router.caller_port, key) for router in fleet.routers[:2]]
    order_key = "robes-for-the-harbor-spa"
    click.echo("placing one order twice, through two routers at once ...")
    responses = await asyncio.gather(
        *(
            caller.order(GUILD.plain_service, order_key, b"50 robes")
            for caller in callers
        )
    )
    n_runs = fleet.order_book.n_runs[order_key]
    bodies = {response.body for response in responses}
    status = await callers[0].status(GUILD.plain_service, order_key)
    click.echo(
        f"both callers received {sorted(bodies)}; the order ran {n_runs} time(s)"
    )
    click.echo(f"its status: {status.body.decode()}")
    return n_runs == 1 and len(bodies) == 1 and b"placed" in status.body
