"""Declare the fleet's defaults, exceptions, services and workspaces."""

from __future__ import annotations

from typing import Annotated, Literal

from pydantic import Field
from pydantic.dataclasses import dataclass

from bronzeline_kernel.config.option_types import (
    STRICT,
    ByteRate,
    Count,
    DurationMs,
    KeyHash,
    Name,
    PathPrefix,
    Rate,
    Ratio,
    Scope,
    Weight,
)

__all__ = [
    "ChangeRecord",
    "ExceptionRule",
    "FleetConfig",
    "FleetDefaults",
    "Route",
    "ServiceConfig",
    "WorkspaceConfig",
]


@dataclass(frozen=True, config=STRICT)
class FleetDefaults:
    """Hold the fleet-wide defaults that operators change."""

    generation_deadline_ms: DurationMs = 600_000.0
    plain_deadline_ms: DurationMs = 4_000.0
    reconnect_grace_ms: DurationMs = 10_000.0
    stall_timeout_ms: DurationMs = 1_500.0
    max_tokens_limit: Count = 32_768
    resume_budget_ratio: Ratio = 0.1
    claim_retention_ms: DurationMs = 86_400_000.0
    quarantine_ms: DurationMs = 600_000.0
    confirm_claims: bool = False
    isolation_limit_ms: DurationMs = 60_000.0
    store_reads_per_s: Rate = 1_600.0
    store_writes_per_s: Rate = 320.0
    first_token_target_ms: DurationMs = 910.0
    long_wait_limit_ms: DurationMs = 4_000.0
    resume_wait_limit_ms: DurationMs = 4_000.0
    cross_region_bytes_per_s: ByteRate = 500_000.0


@dataclass(frozen=True, config=STRICT)
class ExceptionRule:
    """Override one default for one scope, for a written reason."""

    exception_id: Name
    scope: Scope
    option: Name
    value: float | int | str | bool
    reason: Name
    expires_at_s: float | None = None


@dataclass(frozen=True, config=STRICT)
class Route:
    """Say which calls of a plain service may be repeated."""

    method: Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]
    path_prefix: PathPrefix
    is_repeatable: bool


@dataclass(frozen=True, config=STRICT)
class ServiceConfig:
    """Describe one service behind the routers."""

    kind: Literal["engine", "plain"]
    models: tuple[Name, ...] = ()
    routes: tuple[Route, ...] = ()
    has_look_up: bool = False


@dataclass(frozen=True, config=STRICT)
class WorkspaceConfig:
    """Describe one workspace: its key's hash, weight and limits."""

    key_sha256: KeyHash
    weight: Weight = 1.0
    max_running: Count = 10_000


@dataclass(frozen=True, config=STRICT)
class ChangeRecord:
    """Say which entries one accepted change touched."""

    change_id: Name
    revision: Annotated[int, Field(ge=0)]
    paths: tuple[str, ...] = ()


@dataclass(frozen=True, config=STRICT)
class FleetConfig:
    """Hold the whole configuration that is in force everywhere."""

    revision: Annotated[int, Field(ge=0)]
    defaults: FleetDefaults = Field(default_factory=FleetDefaults)
    exceptions: tuple[ExceptionRule, ...] = ()
    services: dict[str, ServiceConfig] = Field(default_factory=dict)
    workspaces: dict[str, WorkspaceConfig] = Field(default_factory=dict)
    change_id: str = ""
    recent_changes: tuple[ChangeRecord, ...] = ()
