"""Show the decisions on a request, an upstream or a router."""

from __future__ import annotations

import sys
from dataclasses import asdict
from itertools import chain
from typing import Any, TextIO

import click

from bronzeline.connection import Connection
from bronzeline.context import async_command, output_option, pass_connection
from bronzeline.router_client import RouterClient, RouterError
from bronzeline.tables import print_rows
from bronzeline_daemon.admin.status import RouterStatus
from bronzeline_daemon.story_service import Story
from bronzeline_kernel.routing import UpstreamView
from bronzeline_kernel.story import failed_requests, lines_of_request, read_lines

__all__ = ["explain"]


@click.group()
def explain() -> None:
    """Show what was decided, when, why and by which configuration."""


@explain.command()
@click.argument("request_id")
@output_option
@pass_connection
@async_command
async def request(connection: Connection, request_id: str, output: str) -> None:
    """Show the decisions on REQUEST_ID.

    REQUEST_ID is a generation's id, as in the id and the X-Request-Id header
    of the response, or order/WORKSPACE/SERVICE/KEY.
    """
    await _print_explanation(connection, request_id, output)


@explain.command()
@click.argument("upstream_id")
@output_option
@pass_connection
@async_command
async def upstream(connection: Connection, upstream_id: str, output: str) -> None:
    """Show why UPSTREAM_ID gets the work that it gets.

    Prints its current dispatch state on each router whose address was given,
    then the decisions on it.
    """
    views = await _fetch_views(connection, upstream_id)
    story = await _fetch_story(connection, upstream_id)
    if output == "json":
        print_rows([{"views": views, "story": story}], output)
        return
    if not views:
        raise click.ClickException(f"no router knows an upstream {upstream_id}")
    print_rows(views, output)
    _print_story(story)


@explain.command("log")
@click.argument("request_id")
@click.argument("files", nargs=-1, type=click.File("r"))
def explain_log(request_id: str, files: tuple[TextIO, ...]) -> None:
    """Show the log lines of REQUEST_ID from routers' logs.

    FILES are the logs of any number of routers; without them, standard input
    is read.
    """
    lines = lines_of_request(read_lines(chain(*(files or (sys.stdin,)))), request_id)
    if not lines:
        raise click.ClickException(f"no line in these logs is about {request_id}")
    for line in lines:
        click.echo(str(line))


@explain.command()
@click.argument("files", nargs=-1, type=click.File("r"))
def failures(files: tuple[TextIO, ...]) -> None:
    """List the requests that failed or were late, with the share explained.

    FILES are the logs of any number of routers; without them, standard input
    is read.
    """
    found = failed_requests(read_lines(chain(*(files or (sys.stdin,)))))
    for item in found:
        cause = item.causes[-1].event.replace("_", " ") if item.causes else "-"
        text = f"{item.request_id} {item.outcome} {item.reason or '-'} ({cause})"
        click.echo(text)
    n_explained = sum(item.is_explained for item in found)
    click.echo(f"{n_explained} of {len(found)} failed requests explained")


@explain.command()
@click.argument("router_id")
@output_option
@pass_connection
@async_command
async def router(connection: Connection, router_id: str, output: str) -> None:
    """Show the decisions on ROUTER_ID."""
    story = await _fetch_story(connection, router_id)
    if output == "json":
        print_rows([story], output)
        return
    status = await RouterClient(connection).request_any(RouterStatus, "status")
    if not story.lines and router_id not in (status.router_id, *status.peer_ids):
        raise click.ClickException(f"no router knows of {router_id}")
    _print_story(story)


async def _print_explanation(connection: Connection, subject: str, output: str) -> None:
    story = await _fetch_story(connection, subject)
    if output == "json":
        print_rows([story], output)
        return
    if not story.lines:
        raise click.ClickException(f"no router knows of {subject}")
    _print_story(story)


async def _fetch_story(connection: Connection, subject: str) -> Story:
    return await RouterClient(connection).request_any(Story, "story", subject=subject)


def _print_story(story: Story) -> None:
    for line in story.lines:
        click.echo(str(line))
    if not story.lines:
        click.echo(f"no decision about {story.subject} is stored")
    if story.silent_router_ids:
        silent = ", ".join(story.silent_router_ids)
        click.echo(f"these routers did not answer in time: {silent}", err=True)


async def _fetch_views(
    connection: Connection, upstream_id: str
) -> list[dict[str, Any]]:
    client = RouterClient(connection)
    views: list[dict[str, Any]] = []
    for address in connection.routers:
        try:
            rows = await client.request(list[UpstreamView], address, "upstreams")
        except RouterError as error:
            click.echo(str(error), err=True)
            continue
        views.extend(
            {"router": address, **asdict(row)}
            for row in rows
            if row.upstream_id == upstream_id
        )
    return views
