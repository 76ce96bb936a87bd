"""Provide the decorators shared by the subcommands."""

from __future__ import annotations

import asyncio
import functools
from collections.abc import Callable, Coroutine
from typing import Any, ParamSpec

import click

from bronzeline.connection import Connection
from bronzeline_kernel.exceptions import BronzelineError

__all__ = ["async_command", "output_option", "pass_connection"]

Parameters = ParamSpec("Parameters")

pass_connection = click.make_pass_decorator(Connection)
output_option = click.option(
    "--output",
    type=click.Choice(["table", "json"]),
    default="table",
    show_default=True,
    help="Output format.",
)


def async_command(
    function: Callable[Parameters, Coroutine[Any, Any, None]],
) -> Callable[Parameters, None]:
    """Run a coroutine as a subcommand; `BronzelineError` exits with status 1."""

    @functools.wraps(function)
    def run(*args: Parameters.args, **kwargs: Parameters.kwargs) -> None:
        try:
            asyncio.run(function(*args, **kwargs))
        except BronzelineError as error:
            raise click.ClickException(str(error)) from None

    return run
