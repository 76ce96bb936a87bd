"""Run the benchmark scenarios and print one JSON object per figure."""

from __future__ import annotations

import sys
import traceback
from pathlib import Path

import click
import msgspec

from bronzeline_daemon.logs import configure_logs
from bronzeline_kernel.exceptions import BronzelineError
from bronzeline_standins.bench import Figure, Scenario, load_scenarios
from bronzeline_standins.bench.runner import run_scenario

__all__ = ["bench"]


@click.command()
@click.option("--scenario", "name", help="Run only this scenario.")
@click.option("--seed", type=int, help="Use this seed instead of the scenario's.")
@click.option(
    "--results",
    type=click.Path(dir_okay=False, path_type=Path),
    default=Path("results/bench.jsonl"),
    help="Append each figure to this file as well.",
)
def bench(name: str | None, seed: int | None, results: Path) -> None:
    """Run the scenarios, and exit with 1 if a figure misses its bound."""
    configure_logs("error")
    scenarios = [item for item in load_scenarios() if name in (None, item.scenario)]
    if not scenarios:
        raise click.UsageError(f"no scenario {name!r}; see `scenarios` for the names")
    results.parent.mkdir(parents=True, exist_ok=True)
    outcomes = [_run(scenario, seed, results) for scenario in scenarios]
    sys.exit(0 if all(outcomes) else 1)


def _run(scenario: Scenario, seed: int | None, results: Path) -> bool:
    click.echo(f"{scenario.scenario}: running", err=True)
    try:
        figures = run_scenario(scenario, seed, lambda line: click.echo(line, err=True))
    except BronzelineError as error:
        click.echo(f"{scenario.scenario}: {error}", err=True)
        return False
    except Exception:
        # A failing experiment must not prevent the others from being measured.
        click.echo(f"{scenario.scenario}:\n{traceback.format_exc()}", err=True)
        return False
    for figure in figures:
        _write_figure(figure, results)
    missing = scenario.bounds.keys() - {figure.measure for figure in figures}
    for measure in sorted(missing):
        click.echo(f"{scenario.scenario}: no figure measured for {measure}", err=True)
    return not missing and all(figure.within is not False for figure in figures)


def _write_figure(figure: Figure, results: Path) -> None:
    line = msgspec.json.encode(figure).decode()
    click.echo(line)
    with results.open("a", encoding="utf-8") as file:
        file.write(line + "\n")
