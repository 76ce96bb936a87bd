"""Define a configuration that is checked and may be readable only in part."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.config_check.findings import Finding, Location
from bronzeline_kernel.forwarding import (
    CallerLimits,
    Route,
    ServiceInfo,
    WorkspaceKeys,
)

__all__ = ["ConfigDraft"]


@dataclass(frozen=True)
class ConfigDraft:
    """Hold the readable entries of a configuration by position in their list.

    `findings` says what can't be read. `names` has the names of routes, services and
    workspaces, also of those of which only the name can be read. `needs_keys` is as in
    `ForwardingConfig`. `spell` writes a location as the document does.
    """

    spell: Callable[[Location], str]
    names: Mapping[str, frozenset[str]]

    version: int | None = None
    routes: Mapping[int, Route] = field(default_factory=dict)
    services: Mapping[int, ServiceInfo] = field(default_factory=dict)
    workspaces: Mapping[int, WorkspaceKeys] = field(default_factory=dict)
    needs_keys: bool = True
    limits: CallerLimits | None = None
    has_all_routes: bool = True
    has_all_workspaces: bool = True
    findings: tuple[Finding, ...] = ()
