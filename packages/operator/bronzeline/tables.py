"""Print rows as a table or as JSON."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import fields
from typing import Any

import click
import msgspec

__all__ = ["print_rows"]

EMPTY = "(none)"


def print_rows(rows: Sequence[Any], output: str) -> None:
    """Print dataclass instances or dicts of the same type, one per row."""
    if output == "json":
        click.echo(msgspec.json.format(msgspec.json.encode(rows)).decode())
    elif not rows:
        click.echo(EMPTY)
    else:
        _print_table([_columns(row) for row in rows])


def _columns(row: Any) -> dict[str, Any]:
    if isinstance(row, dict):
        return row
    return {item.name: getattr(row, item.name) for item in fields(row)}


def _print_table(rows: list[dict[str, Any]]) -> None:
    names = list(rows[0])
    cells = [names, *([_cell(row.get(name)) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in cells) for column in range(len(names))]
    for line in cells:
        padded = (cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        click.echo("  ".join(padded).rstrip())


def _cell(value: Any) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.10g}"
    if isinstance(value, tuple | list):
        return ",".join(str(item) for item in value) or "-"
    return "-" if value in (None, "") else str(value)
