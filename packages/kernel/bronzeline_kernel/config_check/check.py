"""Apply all rules to a configuration."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Mapping

from bronzeline_kernel.config_check.differences import (
    find_old_version,
    find_opened_routes,
)
from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.effect_rules import EFFECT_RULES
from bronzeline_kernel.config_check.entry_rules import ENTRY_RULES
from bronzeline_kernel.config_check.findings import Finding, Issue, Location, Severity
from bronzeline_kernel.config_check.limit_rules import (
    find_contradictions,
    find_excess_attempts,
    find_long_prompts,
)

__all__ = ["check_config"]


def check_config(
    draft: ConfigDraft,
    current: ConfigDraft | None = None,
    n_upstreams: Mapping[str, int] | None = None,
    prompt_tokens: Mapping[str, int] | None = None,
) -> list[Finding]:
    """Return what can't be read and what the rules find, errors first.

    `current` is the version in force, `n_upstreams` the number of upstreams by service
    and `prompt_tokens` the size of the longest prompt by route, where known.
    """
    errors = [issue for rule in ENTRY_RULES for issue in rule(draft)]
    if current is not None:
        errors += find_old_version(draft, current)
    warnings = [issue for rule in EFFECT_RULES for issue in rule(draft)]
    if current is not None:
        warnings += find_opened_routes(draft, current)
    warnings += find_contradictions(draft)
    if n_upstreams is not None:
        warnings += find_excess_attempts(draft, n_upstreams)
    warnings += find_long_prompts(draft, prompt_tokens or {})
    found = [
        *draft.findings,
        *_spelled(errors, Severity.ERROR, draft.spell),
        *_spelled(warnings, Severity.WARNING, draft.spell),
    ]
    return sorted(found, key=lambda item: item.severity is Severity.WARNING)


def _spelled(
    issues: Iterable[Issue], severity: Severity, spell: Callable[[Location], str]
) -> Iterator[Finding]:
    for issue in issues:
        yield Finding(severity, issue.rule, spell(issue.location), issue.message)
