"""Resolve the value of an option from exceptions and defaults."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from bronzeline_kernel.config.fleet_config import ExceptionRule, FleetConfig

__all__ = ["DEFAULT_RULE", "SCOPE_KINDS", "ResolvedOption", "resolve"]

DEFAULT_RULE = "default"
# Ordered from the narrowest scope to the widest.
SCOPE_KINDS = ("workspace", "service", "model")


@dataclass(frozen=True)
class ResolvedOption:
    """Hold an option's value, the rule that set it and the configuration version."""

    value: Any
    rule: str
    version: int


def resolve(
    config: FleetConfig,
    version: int,
    option: str,
    *,
    workspace: str = "",
    service: str = "",
    model: str = "",
    now_s: float,
) -> ResolvedOption:
    """Return the value of the narrowest active exception, or the default."""
    default = getattr(config.defaults, option)
    names = {
        "workspace": workspace,
        "service": service,
        "model": model,
    }
    ranks = {f"{kind}:{names[kind]}": n for n, kind in enumerate(SCOPE_KINDS)}
    matching = [
        rule
        for rule in config.exceptions
        if rule.option == option and rule.scope in ranks and _is_active(rule, now_s)
    ]
    if not matching:
        return ResolvedOption(default, DEFAULT_RULE, version)
    chosen = min(matching, key=lambda rule: (ranks[rule.scope], rule.exception_id))
    value = float(chosen.value) if isinstance(default, float) else chosen.value
    return ResolvedOption(value, chosen.exception_id, version)


def _is_active(rule: ExceptionRule, now_s: float) -> bool:
    return rule.expires_at_s is None or now_s < rule.expires_at_s
