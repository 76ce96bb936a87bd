"""Plot the figures that benchmark runs have written."""

from __future__ import annotations

from pathlib import Path

import click

from bronzeline_standins.bench.plots import draw_plots, read_figures

__all__ = ["plot"]


@click.command()
@click.option(
    "--results",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=Path("results/bench.jsonl"),
    help="File of figures that `make bench` wrote.",
)
@click.option(
    "--folder",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path("results/plots"),
    help="Folder for the PNG files.",
)
def plot(results: Path, folder: Path) -> None:
    """Plot resume latency, waits over a load swing and tails under slow upstreams."""
    drawn = draw_plots(read_figures(results), folder)
    for path in drawn:
        click.echo(str(path))
    if not drawn:
        raise click.ClickException(
            f"{results} holds no figures of resume, crest or slow; run make bench"
        )
