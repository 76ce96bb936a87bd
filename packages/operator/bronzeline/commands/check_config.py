"""Check a configuration for forwarding before it is sent."""

from __future__ import annotations

import sys
from collections import Counter
from dataclasses import asdict

import click
import msgspec

from bronzeline.config_checker import CheckResult, ConfigChecker, ConfigSources
from bronzeline_kernel.config_check import FORMAT_KIND, ConfigFormat, Severity
from bronzeline_kernel.plugins import load_plugins

__all__ = ["check_config_file"]

STANDARD_INPUT = "-"
FILE_TYPE = click.Path(allow_dash=True)


@click.command("check-config")
@click.argument("file", type=FILE_TYPE)
@click.option(
    "--current",
    "current_file",
    type=FILE_TYPE,
    help="File with the version in force, to compare with.",
)
@click.option(
    "--store", metavar="IP:PORT", help="Store with the version in force and upstreams."
)
@click.option(
    "--upstreams",
    "upstreams_file",
    type=FILE_TYPE,
    help="File with the store's list of upstreams.",
)
@click.option(
    "--prompt-tokens",
    "prompt_tokens",
    metavar="ROUTE=TOKENS",
    multiple=True,
    help="Size of a route's longest prompt, can be repeated.",
)
@click.option("--strict", "is_strict", is_flag=True, help="Count warnings as errors.")
@click.option("--json", "is_json", is_flag=True, help="Write the result as JSON.")
def check_config_file(
    file: str,
    current_file: str | None,
    store: str | None,
    upstreams_file: str | None,
    prompt_tokens: tuple[str, ...],
    is_strict: bool,
    is_json: bool,
) -> None:
    """Check the configuration in FILE before it is sent; - is standard input.

    Among other things, it says when no key is valid, or none is needed any more.

    Exit status: 0 without errors, 1 with errors, 2 if a file or the store can't be
    read or a file isn't JSON.
    """
    if [file, current_file, upstreams_file].count(STANDARD_INPUT) > 1:
        raise click.UsageError("only one of the files can be standard input")
    if current_file is not None and store is not None:
        raise click.UsageError("give either --current or --store")
    sources = ConfigSources(
        file, current_file, upstreams_file, store, _parse_tokens(prompt_tokens)
    )
    result = ConfigChecker(sources, _load_format()).run()
    exit_status = result.exit_status(is_strict=is_strict)
    if is_json:
        written = {**asdict(result), "exit_status": exit_status}
        click.echo(msgspec.json.format(msgspec.json.encode(written)).decode())
    else:
        _print_result(result)
    sys.exit(exit_status)


def _parse_tokens(texts: tuple[str, ...]) -> dict[str, int]:
    tokens = {}
    for text in texts:
        name, _, number = text.rpartition("=")
        if not name or not number.isdecimal():
            raise click.UsageError(f"{text!r} is not ROUTE=TOKENS")
        tokens[name] = int(number)
    return tokens


def _print_result(result: CheckResult) -> None:
    for finding in result.findings:
        click.echo(str(finding))
    for difference in result.differences or ():
        click.echo(f"difference: {difference}")
    for problem in result.problems:
        click.echo(problem, err=True)
    if not result.is_checked:
        return
    counts = Counter(item.severity for item in result.findings)
    n_errors, n_warnings = counts[Severity.ERROR], counts[Severity.WARNING]
    summary = f"errors: {n_errors}, warnings: {n_warnings}"
    if result.differences is not None:
        summary += f", differences: {len(result.differences)}"
    click.echo(summary)


def _load_format() -> ConfigFormat:
    registry = load_plugins()
    names = registry.names(FORMAT_KIND)
    if not names:
        raise click.ClickException("no installed plug-in reads configurations")
    found: ConfigFormat = registry.create(FORMAT_KIND, names[0])
    return found
