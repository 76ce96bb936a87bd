"""Describe how a configuration differs from the version in force."""

from __future__ import annotations

from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum, StrEnum
from typing import Any

from bronzeline_kernel.config_check.draft import ConfigDraft
from bronzeline_kernel.config_check.entry_rules import shorten_key
from bronzeline_kernel.config_check.findings import Issue
from bronzeline_kernel.forwarding import (
    EngineInfo,
    Route,
    ServiceInfo,
    ServiceShare,
    WorkspaceKeys,
)

__all__ = [
    "ChangeKind",
    "Difference",
    "find_differences",
    "find_old_version",
    "find_opened_routes",
]

NONE = "none"
# What operators call a field, and its unit.
LABELS = {
    "bytes_per_token": ("memory of a token", "bytes"),
    "has_backups": ("backups of streams", ""),
    "has_moves": ("moves of streams", ""),
    "header_timeout_ms": ("timeout for headers", "ms"),
    "health_path": ("path of the health check", ""),
    "host": ("host", ""),
    "idle_timeout_ms": ("idle timeout", "ms"),
    "is_public": ("public", ""),
    "is_resumable": ("resumable", ""),
    "kind": ("kind", ""),
    "link_mbps": ("bandwidth of an engine's link", "Mbit/s"),
    "max_attempts": ("attempts", ""),
    "max_body_bytes": ("size of a body", "bytes"),
    "max_connections": ("connections to an upstream", ""),
    "max_gap_ms": ("target for gaps", "ms"),
    "max_header_bytes": ("size of headers", "bytes"),
    "memory_tokens": ("memory of an engine", "tokens"),
    "n_slots": ("slots of an engine", ""),
    "path_prefix": ("path prefix", ""),
    "priority": ("priority", ""),
    "shares": ("services", ""),
    "target_latency_ms": ("target latency", "ms"),
    "timeout_ms": ("timeout", "ms"),
}
# Compared by themselves: names identify entries, and keys are not shown in full.
UNLABELED = frozenset({"name", "keys", "engine"})

Entry = Route | ServiceInfo | WorkspaceKeys


class ChangeKind(StrEnum):
    """Tell what became of an entry, a field or a key."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True)
class Difference:
    """Hold what was added, removed or changed, in plain language.

    An entry as a whole has no `field`.
    """

    change: ChangeKind
    part: str
    name: str
    field: str = ""
    before: str = ""
    after: str = ""

    def __str__(self) -> str:
        subject = f"{self.part} {self.name!r}" if self.name else self.part
        if not self.field:
            return f"{subject}: {self.change}"
        if self.change is not ChangeKind.CHANGED:
            value = self.before or self.after
            return f"{subject}: {self.field} {value} {self.change}"
        return f"{subject}: {self.field} changed from {self.before} to {self.after}"


def find_old_version(draft: ConfigDraft, current: ConfigDraft) -> Iterator[Issue]:
    """Yield a version that isn't higher than the one in force."""
    if draft.version is None or current.version is None:
        return
    if draft.version <= current.version:
        message = (
            f"version {draft.version} is not higher than version {current.version}, "
            "which is in force"
        )
        yield Issue("version_not_higher", ("version",), message)


def find_opened_routes(draft: ConfigDraft, current: ConfigDraft) -> Iterator[Issue]:
    """Yield a missing section of workspaces, without which routes need no key."""
    if draft.needs_keys or not current.needs_keys:
        return
    if not all(route.is_public for route in draft.routes.values()):
        message = (
            "without this field, which the version in force has, requests on all "
            "routes are admitted without a key; an empty list refuses them"
        )
        yield Issue("keys_not_needed", ("workspaces",), message)


def find_differences(draft: ConfigDraft, current: ConfigDraft) -> Iterator[Difference]:
    """Yield how the readable entries of a draft differ from those in force."""
    yield from _compare_entries("route", current, draft)
    yield from _compare_entries("service", current, draft)
    yield from _compare_entries("workspace", current, draft)
    if draft.needs_keys != current.needs_keys:
        before, after = _text(current.needs_keys), _text(draft.needs_keys)
        yield Difference(
            ChangeKind.CHANGED, "workspaces", "", "need for keys", before, after
        )
    if draft.limits is not None and current.limits is not None:
        yield from _compare_fields("limits", "", [current.limits], [draft.limits])


def _compare_entries(
    part: str, current: ConfigDraft, draft: ConfigDraft
) -> Iterator[Difference]:
    before, after = _by_name(part, current), _by_name(part, draft)
    for name, entries in before.items():
        if name in after:
            yield from _compare_fields(part, name, entries, after[name])
            yield from _compare_keys(name, entries, after[name])
        elif name not in draft.names[part]:
            yield Difference(ChangeKind.REMOVED, part, name)
    for name in after:
        if name not in current.names[part]:
            yield Difference(ChangeKind.ADDED, part, name)


def _by_name(part: str, draft: ConfigDraft) -> dict[str, list[Entry]]:
    entries: Mapping[str, Mapping[int, Entry]] = {
        "route": draft.routes,
        "service": draft.services,
        "workspace": draft.workspaces,
    }
    found: dict[str, list[Entry]] = {}
    for entry in entries[part].values():
        found.setdefault(entry.name, []).append(entry)
    return found


def _compare_fields(
    part: str, name: str, before: Iterable[Any], after: Iterable[Any]
) -> Iterator[Difference]:
    """Compare the fields of entries with one name, of which the last one counts."""
    texts_before, texts_after = _describe(*before), _describe(*after)
    for label in texts_before | texts_after:
        found = texts_before.get(label, NONE), texts_after.get(label, NONE)
        if found[0] != found[1]:
            yield Difference(ChangeKind.CHANGED, part, name, label, *found)


def _compare_keys(
    name: str, before: Iterable[Entry], after: Iterable[Entry]
) -> Iterator[Difference]:
    """Compare keys, which count for a workspace also where its name is repeated."""
    keys_before, keys_after = _keys(before), _keys(after)
    for key in keys_before:
        if key not in keys_after:
            shown = shorten_key(key)
            yield Difference(ChangeKind.REMOVED, "workspace", name, "key", before=shown)
    for key in keys_after:
        if key not in keys_before:
            shown = shorten_key(key)
            yield Difference(ChangeKind.ADDED, "workspace", name, "key", after=shown)


def _keys(entries: Iterable[Entry]) -> Collection[str]:
    holders = [item for item in entries if isinstance(item, WorkspaceKeys)]
    return dict.fromkeys(key for item in holders for key in item.keys)


def _describe(*entries: Any) -> dict[str, str]:
    """Return the values of an entry's fields as texts, by label."""
    entry = entries[-1]
    texts = {}
    for name in [item.name for item in fields(entry) if item.name not in UNLABELED]:
        label, unit = LABELS[name]
        texts[label] = " ".join(filter(None, (_text(getattr(entry, name)), unit)))
    engine = getattr(entry, "engine", None)
    if isinstance(engine, EngineInfo):
        texts |= _describe(engine)
    return texts


def _text(value: Any) -> str:
    if value is None or value in ("", ()):
        return NONE
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, Enum):
        return str(value.value)
    if isinstance(value, float) and value.is_integer():
        return str(int(value))
    if isinstance(value, tuple):
        return _describe_shares(value)
    text = str(value)
    return text if text.isprintable() else repr(text)


def _describe_shares(shares: tuple[ServiceShare, ...]) -> str:
    if len(shares) == 1:
        return shares[0].service
    return ", ".join(f"{item.service} ({_text(item.weight)})" for item in shares)
