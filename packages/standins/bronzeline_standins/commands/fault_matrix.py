"""Generate the fault matrix page from the matrices of the tests."""

from __future__ import annotations

from pathlib import Path

import click

from bronzeline_standins.fault_matrix_page import (
    find_areas,
    known_red_names,
    render_page,
)

__all__ = ["fault_matrix"]


@click.command("fault-matrix")
@click.option(
    "--root",
    type=click.Path(file_okay=False, path_type=Path),
    default=Path(),
    help="Root folder of the repository.",
)
def fault_matrix(root: Path) -> None:
    """Regenerate docs/dev-guide/fault-matrix.md."""
    page = render_page(find_areas(), known_red_names(root / "KNOWN-RED.txt"))
    path = root / "docs/dev-guide/fault-matrix.md"
    path.write_text(page, encoding="utf-8")
    click.echo(f"{path}: {len(page.splitlines())} lines")
