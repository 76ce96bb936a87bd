"""Show how far the rollouts of software versions are."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, pass_connection
from bronzeline.metrics_client import LabelledValue, MetricsClient, MetricsError
from bronzeline.tables import print_rows

__all__ = ["rollout"]

PREFIX = "bronzeline_rollout"


@dataclass(frozen=True)
class CountRow:
    """Represent the counts of one version and route in the output."""

    service: str
    version: str
    route: str
    age_ms: int | None
    n_sent: int
    n_running: int
    n_answered: int
    n_failed: int
    n_lost: int


@dataclass(frozen=True)
class RolloutRow:
    """Represent the latest rollout of one service in the output.

    `reason` is why its stage was entered, as the deciding router knows it.
    """

    service: str
    version: str
    state: str
    stage: str
    age_ms: int
    reason: str
    decider: str
    address: str
    shares: dict[str, float]
    counts: tuple[CountRow, ...]


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--json", "is_json", is_flag=True, help="Print JSON.")
@pass_connection
@async_command
async def rollout(
    connection: Connection, addresses: tuple[str, ...], is_json: bool
) -> None:
    """Show each service's rollout: state, stage, share, counts and reason.

    ADDRESSES are the metrics addresses of routers, such as http://127.0.0.1:9100. Of
    several routers that know a rollout, the deciding one is shown, as the others know
    neither the reason nor the counts of all.
    """
    client = MetricsClient(connection.settings.timeout_ms)
    rows: dict[str, RolloutRow] = {}
    errors: list[str] = []
    for address in addresses:
        try:
            samples = await client.read_samples(address)
        except MetricsError as error:
            errors.append(str(error))
            continue
        for row in _rows(address, samples):
            known = rows.get(row.service)
            if known is None or _rank(row) > _rank(known):
                rows[row.service] = row
    if len(errors) == len(addresses):
        raise MetricsError("; ".join(errors))
    for text in errors:
        click.echo(text, err=True)
    _print(sorted(rows.values(), key=lambda row: row.service), is_json=is_json)


def _rank(row: RolloutRow) -> tuple[bool, int]:
    """Return what to prefer: the deciding router's row, then the most counts."""
    return bool(row.reason), sum(item.n_sent for item in row.counts)


def _rows(address: str, samples: Sequence[LabelledValue]) -> list[RolloutRow]:
    rows = []
    for sample in samples:
        if sample.name != f"{PREFIX}_age_ms":
            continue
        labels = sample.labels
        service = labels["service"]
        own = [item for item in samples if item.labels.get("service") == service]
        shares = {
            item.labels["route"]: item.value
            for item in own
            if item.name == f"{PREFIX}_share"
        }
        rows.append(
            RolloutRow(
                service,
                labels["version"],
                labels["state"],
                labels["stage"],
                round(sample.value),
                labels["reason"],
                labels["decider"],
                address,
                shares,
                _counts(service, own),
            )
        )
    return rows


def _counts(service: str, samples: Sequence[LabelledValue]) -> tuple[CountRow, ...]:
    ages: dict[tuple[str, str], float] = {}
    counts: dict[tuple[str, str], dict[str, int]] = {}
    for item in samples:
        key = item.labels.get("version", ""), item.labels.get("route", "")
        if item.name == f"{PREFIX}_count_age_ms":
            ages[key] = item.value
        elif item.name == f"{PREFIX}_count":
            outcome = f"n_{item.labels['outcome']}"
            counts.setdefault(key, {})[outcome] = round(item.value)
    return tuple(
        CountRow(
            service,
            *key,
            round(ages[key]) if key in ages else None,
            *(
                found.get(f"n_{outcome}", 0)
                for outcome in ("sent", "running", "answered", "failed", "lost")
            ),
        )
        for key, found in sorted(counts.items())
    )


def _print(rows: list[RolloutRow], *, is_json: bool) -> None:
    """Print rollouts with their counts, as two tables or as JSON."""
    if is_json:
        print_rows(rows, "json")
        return
    print_rows([_columns(row) for row in rows], "table")
    counts = [item for row in rows for item in row.counts]
    if counts:
        click.echo()
        print_rows(counts, "table")


def _columns(row: RolloutRow) -> dict[str, Any]:
    shares = [f"{route}={share:.2g}" for route, share in sorted(row.shares.items())]
    return {
        "service": row.service,
        "version": row.version,
        "state": row.state,
        "stage": row.stage,
        "age_ms": row.age_ms,
        "shares": shares,
        "decider": row.decider,
        "reason": row.reason,
    }
