"""Find errors in the routes, services and workspaces of a configuration."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Mapping

from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.findings import Issue
from bronzeline_kernel.forwarding import Route, ServiceInfo, WorkKind

__all__ = ["ENTRY_RULES", "shorten_key"]

N_SHOWN_CHARACTERS = 4


def shorten_key(key: str) -> str:
    """Return the first four characters of a key, at most half of a short one."""
    return f"{key[: min(N_SHOWN_CHARACTERS, len(key) // 2)]}..."


def find_bad_prefixes(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes whose path prefix doesn't begin and end with a slash."""
    for position, route in draft.routes.items():
        prefix = route.path_prefix
        if not (prefix.startswith("/") and prefix.endswith("/")):
            yield Issue(
                "bad_prefix",
                ("routes", position, "path_prefix"),
                f"route {route.name!r}: the path prefix {prefix!r} must begin and end "
                "with a slash",
            )


def find_unknown_services(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield shares of services that the configuration doesn't have."""
    for position, route in draft.routes.items():
        for number, share in enumerate(route.shares):
            if share.service not in draft.names["service"]:
                yield Issue(
                    "unknown_service",
                    ("routes", position, "shares", number, "service"),
                    f"route {route.name!r}: there is no service {share.service!r}",
                )


def find_weightless_routes(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes without a service, or whose weights sum to 0 or less."""
    for position, route in draft.routes.items():
        location = ("routes", position, "shares")
        if not route.shares:
            message = f"route {route.name!r} names no service"
            yield Issue("no_service", location, message)
            continue
        total = sum(share.weight for share in route.shares)
        if total <= 0.0:
            message = f"route {route.name!r}: the weights of its services sum to "
            yield Issue("weights_sum_to_0", location, f"{message}{total:g}")


def find_repeated_names(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes and services that have the name of an earlier one."""
    yield from _repeated("routes", "route", draft.routes)
    yield from _repeated("services", "service", draft.services)


def find_repeated_keys(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield keys that two workspaces hold, or one workspace twice."""
    holders: dict[str, tuple[int, str]] = {}
    for position, workspace in draft.workspaces.items():
        for number, key in enumerate(workspace.keys):
            if key not in holders:
                holders[key] = (position, workspace.name)
                continue
            first, name = holders[key]
            holder = "twice" if first == position else f"by workspace {name!r}, too"
            yield Issue(
                "repeated_key",
                ("workspaces", position, "keys", number),
                f"workspace {workspace.name!r}: the key {shorten_key(key)} is held "
                f"{holder}",
            )


def find_empty_keys(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield empty keys, which routers ignore."""
    for position, workspace in draft.workspaces.items():
        for number, key in enumerate(workspace.keys):
            if not key:
                yield Issue(
                    "empty_key",
                    ("workspaces", position, "keys", number),
                    f"workspace {workspace.name!r} has an empty key, which no request "
                    "can have",
                )


def find_useless_limits(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes on which no request can be served."""
    for position, route in draft.routes.items():
        if route.timeout_ms <= 0.0:
            yield Issue(
                "timeout_not_positive",
                ("routes", position, "timeout_ms"),
                f"route {route.name!r}: the timeout of {route.timeout_ms:.10g} ms must "
                "be above 0",
            )
        if route.max_attempts < 1:
            yield Issue(
                "no_attempts",
                ("routes", position, "max_attempts"),
                f"route {route.name!r}: the number of attempts, {route.max_attempts}, "
                "must be at least 1",
            )


def find_unsafe_resumes(draft: ConfigDraft) -> Iterator[Issue]:
    """Yield routes whose requests must not be repeated, but may be resumed."""
    for position, route in draft.routes.items():
        if route.kind is WorkKind.NON_IDEMPOTENT and route.is_resumable:
            yield Issue(
                "resumable_non_idempotent",
                ("routes", position, "is_resumable"),
                f"route {route.name!r}: non-idempotent requests can't be resumed",
            )


ENTRY_RULES: tuple[Callable[[ConfigDraft], Iterator[Issue]], ...] = (
    find_bad_prefixes,
    find_unknown_services,
    find_weightless_routes,
    find_repeated_names,
    find_repeated_keys,
    find_empty_keys,
    find_useless_limits,
    find_unsafe_resumes,
)


def _repeated(
    section: str, noun: str, entries: Mapping[int, Route] | Mapping[int, ServiceInfo]
) -> Iterator[Issue]:
    n_seen: Counter[str] = Counter()
    for position, entry in entries.items():
        n_seen[entry.name] += 1
        if n_seen[entry.name] > 1:
            yield Issue(
                "repeated_name",
                (section, position, "name"),
                f"an earlier {noun} has the name {entry.name!r}",
            )
