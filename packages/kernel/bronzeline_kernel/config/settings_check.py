"""Check a daemon's settings file whole before anything starts."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

from bronzeline_kernel.config.loader import load_document, read_file, with_lines
from bronzeline_kernel.config.settings import Settings
from bronzeline_kernel.exceptions import Problem, SettingsError
from bronzeline_kernel.plugins import PluginRegistry

__all__ = ["PLUGIN_KINDS", "load_settings"]

PLUGIN_KINDS = ("object_store", "vm_list", "engine", "plain")

Finding = tuple[str, str, str]


def load_settings(path: Path, registry: PluginRegistry) -> Settings:
    """Return checked settings; raises `SettingsError` with every problem."""
    file = read_file(path)
    problems: list[Problem] = []
    settings: Settings | None = None
    try:
        settings = load_document(Settings, file.data, file.name)
    except SettingsError as error:
        problems.extend(error.problems)
    if isinstance(file.data, dict):
        for finding in (*_contradictions(file.data), *_plugins(file.data, registry)):
            problems.append(Problem(file.name, *finding))
    if problems or settings is None:
        raise SettingsError(with_lines(file, tuple(problems)))
    return settings


def _contradictions(data: dict[str, Any]) -> Iterator[Finding]:
    router = _mapping(data, "router")
    port = router.get("peer_port")
    if port and port == router.get("caller_port"):
        message = f"peer_port and caller_port are both {port}"
        yield "/router/peer_port", message, "give each its own port"
    operators = _mapping(_mapping(data, "admin"), "operators")
    owners: dict[str, str] = {}
    for name, key_sha256 in operators.items():
        owner = owners.setdefault(str(key_sha256), name)
        if owner != name:
            message = f"operator {owner!r} has the same key"
            yield f"/admin/operators/{name}", message, "give each operator a key"


def _plugins(data: dict[str, Any], registry: PluginRegistry) -> Iterator[Finding]:
    for kind in PLUGIN_KINDS:
        section = _mapping(data, kind)
        name = section.get("plugin")
        if not isinstance(name, str):
            continue
        options = _mapping(section, "options")
        for place, message, fix in registry.check(kind, name, options):
            yield f"/{kind}/{place}", message, fix


def _mapping(data: dict[str, Any], key: str) -> dict[str, Any]:
    value = data.get(key)
    return value if isinstance(value, dict) else {}
