"""Validate a configuration, within its entries and across them."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any, get_type_hints

import msgspec
from pydantic import ConfigDict, TypeAdapter, ValidationError

from bronzeline_kernel.config.fleet_config import (
    ExceptionRule,
    FleetConfig,
    FleetDefaults,
    Route,
    ServiceConfig,
    WorkspaceConfig,
)
from bronzeline_kernel.config.loader import load_document
from bronzeline_kernel.config.scopes import allowed_scopes
from bronzeline_kernel.exceptions import Problem, SettingsError

__all__ = ["load_config"]

OPTION_TYPES = get_type_hints(FleetDefaults, include_extras=True)
ADAPTERS: dict[str, TypeAdapter[Any]] = {
    name: TypeAdapter(kind, config=ConfigDict(strict=True))
    for name, kind in OPTION_TYPES.items()
}


@dataclass(frozen=True)
class ValidParts:
    """Hold the individually valid entries, all exceptions' rows and known names."""

    rows: dict[int, dict[str, Any]]
    rules: dict[int, ExceptionRule]
    services: dict[str, ServiceConfig]
    workspaces: dict[str, WorkspaceConfig]
    names: dict[str, frozenset[str]]


def load_config(data: Any, source: str) -> FleetConfig:
    """Validate a parsed document; raises `SettingsError` with all problems."""
    problems: list[Problem] = []
    config: FleetConfig | None = None
    try:
        config = load_document(FleetConfig, data, source)
    except SettingsError as error:
        problems.extend(error.problems)
    if config is not None:
        problems.extend(_consistency_problems(_parts_of_config(config), source))
    elif isinstance(data, dict):
        problems.extend(_consistency_problems(_parts_of_invalid_document(data), source))
    if problems or config is None:
        raise SettingsError(tuple(problems))
    return config


def _parts_of_config(config: FleetConfig) -> ValidParts:
    models = {item for service in config.services.values() for item in service.models}
    return ValidParts(
        rows=dict(enumerate(msgspec.to_builtins(config.exceptions))),
        rules=dict(enumerate(config.exceptions)),
        services=config.services,
        workspaces=config.workspaces,
        names={
            "workspace": frozenset(config.workspaces),
            "service": frozenset(config.services),
            "model": frozenset(models),
        },
    )


def _parts_of_invalid_document(data: dict[str, Any]) -> ValidParts:
    services = _valid_entries(ServiceConfig, _dict_or_empty(data.get("services")))
    raw_rules = data.get("exceptions")
    rows = dict(enumerate(raw_rules)) if isinstance(raw_rules, list | tuple) else {}
    models = {model for service in services.values() for model in service.models}
    return ValidParts(
        rows={number: row for number, row in rows.items() if isinstance(row, dict)},
        rules=_valid_entries(ExceptionRule, rows),
        services=services,
        workspaces=_valid_entries(
            WorkspaceConfig, _dict_or_empty(data.get("workspaces"))
        ),
        names={
            "workspace": frozenset(_dict_or_empty(data.get("workspaces"))),
            "service": frozenset(_dict_or_empty(data.get("services"))),
            "model": frozenset(models),
        },
    )


def _dict_or_empty(value: Any) -> dict[Any, Any]:
    return value if isinstance(value, dict) else {}


def _valid_entries(kind: type[Any], rows: dict[Any, Any]) -> dict[Any, Any]:
    valid = {}
    for key, row in rows.items():
        try:
            valid[key] = load_document(kind, row, "")
        except SettingsError:
            continue
    return valid


def _consistency_problems(parts: ValidParts, source: str) -> Iterator[Problem]:
    for path, message, fix in (
        *_option_problems(parts),
        *_scope_problems(parts),
        *_duplicate_rules(parts),
        *_duplicate_keys(parts),
        *_route_problems(parts),
    ):
        yield Problem(source, path, message, fix)


Finding = tuple[str, str, str]


def _option_problems(parts: ValidParts) -> Iterator[Finding]:
    for number, row in parts.rows.items():
        option, path = row.get("option"), f"/exceptions/{number}"
        if not isinstance(option, str) or not option:
            continue
        if option not in ADAPTERS:
            known = ", ".join(sorted(ADAPTERS))
            yield f"{path}/option", f"no option {option!r}", f"name one of {known}"
        elif "value" in row:
            yield from _value_problems(f"{path}/value", option, row["value"])


def _value_problems(path: str, option: str, value: Any) -> Iterator[Finding]:
    try:
        ADAPTERS[option].validate_python(value)
    except ValidationError as error:
        message = error.errors()[0]["msg"]
        yield path, message, f"give a valid value for {option}"


def _scope_problems(parts: ValidParts) -> Iterator[Finding]:
    for number, row in parts.rows.items():
        kind, _, name = str(row.get("scope")).partition(":")
        option, path = row.get("option"), f"/exceptions/{number}/scope"
        known = parts.names.get(kind)
        if option in ADAPTERS and kind not in allowed_scopes(option):
            message = f"{option} can't be overridden for a {kind}"
            yield path, message, _scope_fix(option)
        elif name and known is not None and name not in known:
            fix = f"add the {kind} or correct its spelling"
            yield path, f"no {kind} {name!r}", fix


def _scope_fix(option: str) -> str:
    kinds = allowed_scopes(option)
    if not kinds:
        return "it applies to the whole fleet; change the default"
    return f"scope it to a {' or a '.join(kinds)}"


def _duplicate_rules(parts: ValidParts) -> Iterator[Finding]:
    by_id: dict[str, list[int]] = defaultdict(list)
    by_target: dict[tuple[str, str], list[int]] = defaultdict(list)
    for number, rule in parts.rules.items():
        by_id[rule.exception_id].append(number)
        by_target[rule.scope, rule.option].append(number)
    for exception_id, numbers in by_id.items():
        for number in numbers[1:]:
            message = f"exception {exception_id!r} is defined twice"
            yield f"/exceptions/{number}/exception_id", message, "choose another id"
    for (scope, option), numbers in by_target.items():
        for number in numbers[1:]:
            message = f"{option} has two exceptions for {scope}"
            yield f"/exceptions/{number}", message, "keep one of the two"


def _duplicate_keys(parts: ValidParts) -> Iterator[Finding]:
    owners: dict[str, str] = {}
    for name, workspace in parts.workspaces.items():
        owner = owners.setdefault(workspace.key_sha256, name)
        if owner != name:
            path = f"/workspaces/{name}/key_sha256"
            yield path, f"workspace {owner!r} has the same key", "give each its own key"


def _route_problems(parts: ValidParts) -> Iterator[Finding]:
    for name, service in parts.services.items():
        first_routes: dict[tuple[str, str], Route] = {}
        for number, route in enumerate(service.routes):
            key = (route.method, route.path_prefix)
            earlier = first_routes.setdefault(key, route)
            if earlier.is_repeatable != route.is_repeatable:
                message = (
                    f"{route.method} {route.path_prefix} contradicts another route"
                )
                yield (
                    f"/services/{name}/routes/{number}",
                    message,
                    "keep one of the two",
                )
