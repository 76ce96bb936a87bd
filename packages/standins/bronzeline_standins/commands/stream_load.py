"""Hold token streams open and print what was measured."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

import click
import msgspec

from bronzeline_standins.bench.stream_load import StreamLoad, StreamTarget

__all__ = ["stream_load"]


@click.command()
@click.option("--port", "ports", type=int, multiple=True, required=True)
@click.option(
    "--router/--engine", "is_router", default=True, help="What listens on the ports."
)
@click.option("--key", default="key-guild-00", help="API key of the workspace.")
@click.option("--model", default="draft-model")
@click.option(
    "--streams", "n_streams", default=32, help="Number of concurrent streams."
)
@click.option("--tokens", "n_tokens", default=240, help="Tokens per completion.")
@click.option("--duration-s", default=5.0, help="Duration of the measurement.")
@click.option(
    "--stagger-s", default=1.0, help="Time over which the streams are opened."
)
def stream_load(
    ports: Sequence[int],
    is_router: bool,
    key: str,
    model: str,
    n_streams: int,
    n_tokens: int,
    duration_s: float,
    stagger_s: float,
) -> None:
    """Hold streams open and print what was measured as one line of JSON."""
    target = StreamTarget(tuple(ports), is_router, key, model)
    load = StreamLoad(target, n_streams, n_tokens)
    result = asyncio.run(load.run(duration_s, stagger_s))
    click.echo(msgspec.json.encode(result))
