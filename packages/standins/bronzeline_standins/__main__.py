"""Provide the command line of the stand-ins and the benchmarks."""

from __future__ import annotations

import click

from bronzeline_standins.commands import (
    bench,
    demo,
    fault_matrix,
    plot,
    run,
    serve,
    stream_load,
)

__all__ = ["cli"]


@click.group()
def cli() -> None:
    """Run stand-ins for engines, plain services and the platform, and benchmarks."""


cli.add_command(bench.bench)
cli.add_command(demo.demo)
cli.add_command(fault_matrix.fault_matrix)
cli.add_command(plot.plot)
cli.add_command(run.run)
cli.add_command(serve.engine)
cli.add_command(serve.plain)
cli.add_command(serve.platform)
cli.add_command(stream_load.stream_load)


if __name__ == "__main__":
    cli(prog_name="python -m bronzeline_standins")
