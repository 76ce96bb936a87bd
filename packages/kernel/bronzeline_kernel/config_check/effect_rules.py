"""Find entries of a configuration that never match or have no effect."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.findings import Issue
from bronzeline_kernel.forwarding.route_table import host_name

__all__ = ["EFFECT_RULES"]


def find_shadowed_routes(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes that a later one with the same host and prefix replaces."""
    last = {
        (route.host.lower(), route.path_prefix): position
        for position, route in draft.routes.items()
    }
    for position, route in draft.routes.items():
        other = last[route.host.lower(), route.path_prefix]
        if other != position:
            yield Issue(
                "shadowed_route",
                ("routes", position),
                f"route {route.name!r} never matches: the later route "
                f"{draft.routes[other].name!r} has the same host and path prefix",
            )


def find_unmatched_hosts(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield hosts with a port, with which no request's host is compared."""
    for position, route in draft.routes.items():
        if host_name(route.host) != route.host.lower():
            yield Issue(
                "host_with_port",
                ("routes", position, "host"),
                f"route {route.name!r} never matches: requests are compared without "
                f"the port, so write {route.host.partition(':')[0]!r}",
            )


def find_hosts_in_other_case(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield hosts that differ from that of an earlier route only in case."""
    spellings: dict[str, str] = {}
    for position, route in draft.routes.items():
        first = spellings.setdefault(route.host.lower(), route.host)
        if first != route.host:
            yield Issue(
                "host_in_other_case",
                ("routes", position, "host"),
                f"route {route.name!r}: the host {route.host!r} differs from "
                f"{first!r} only in case; both match the same requests",
            )


def find_unused_services(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield services to which no route leads, unless a route can't be read."""
    if not draft.has_all_routes:
        return
    used = {
        share.service
        for route in draft.routes.values()
        for share in route.shares
        if share.weight > 0.0
    }
    for position, service in draft.services.items():
        if service.name not in used:
            message = f"no route leads to service {service.name!r}"
            yield Issue("unused_service", ("services", position), message)


def find_weightless_shares(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield shares that get no requests beside shares that do."""
    for position, route in draft.routes.items():
        if all(share.weight <= 0.0 for share in route.shares):
            continue
        for number, share in enumerate(route.shares):
            if share.weight <= 0.0:
                yield Issue(
                    "share_without_weight",
                    ("routes", position, "shares", number, "weight"),
                    f"route {route.name!r}: service {share.service!r} gets no requests "
                    f"with a weight of {share.weight:g}",
                )


def find_missing_workspaces(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield an empty section of workspaces, unless it can't be read."""
    is_empty = draft.has_all_workspaces and not draft.workspaces
    if not draft.needs_keys or not is_empty:
        return
    if not all(route.is_public for route in draft.routes.values()):
        message = (
            "there are no workspaces, so no key is valid and all requests on routes "
            "that aren't public are refused"
        )
        yield Issue("no_workspaces", ("workspaces",), message)


def find_workspaces_without_keys(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield workspaces that no request can belong to."""
    for position, workspace in draft.workspaces.items():
        if not workspace.keys:
            message = f"workspace {workspace.name!r} has no keys, so nobody can use it"
            yield Issue("workspace_without_keys", ("workspaces", position), message)


EFFECT_RULES: tuple[Callable[[ConfigDraft], Iterator[Issue]], ...] = (
    find_shadowed_routes,
    find_unmatched_hosts,
    find_hosts_in_other_case,
    find_unused_services,
    find_weightless_shares,
    find_missing_workspaces,
    find_workspaces_without_keys,
)
