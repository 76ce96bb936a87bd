"""Compare two configurations entry by entry."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import msgspec

from bronzeline_kernel.config.fleet_config import FleetConfig

__all__ = ["EntryChange", "config_entries", "config_from_entries", "diff", "digest"]

DIGEST_BYTES = 16
SECTIONS = ("services", "workspaces")


@dataclass(frozen=True)
class EntryChange:
    """Represent one changed entry; None stands for an absent entry."""

    path: str
    before: Any
    after: Any

    def __str__(self) -> str:
        return (
            f"{self.path}: {_format_entry(self.before)} -> {_format_entry(self.after)}"
        )


def config_entries(config: FleetConfig) -> dict[str, Any]:
    """Return the defaults, exceptions, services and workspaces by path."""
    data = msgspec.to_builtins(config)
    entries = {f"/defaults/{name}": item for name, item in data["defaults"].items()}
    for rule in data["exceptions"]:
        entries[f"/exceptions/{rule['exception_id']}"] = rule
    for section in SECTIONS:
        for name, item in data[section].items():
            entries[f"/{section}/{name}"] = item
    return entries


def config_from_entries(entries: Mapping[str, Any]) -> dict[str, Any]:
    """Return the sections of a document, built from entries by path."""
    data: dict[str, Any] = {"defaults": {}, "exceptions": []}
    data.update({section: {} for section in SECTIONS})
    for path, item in sorted(entries.items()):
        _, section, name = path.split("/", 2)
        if section == "exceptions":
            data[section].append(item)
        else:
            data[section][name] = item
    return data


def diff(before: FleetConfig, after: FleetConfig) -> tuple[EntryChange, ...]:
    """Return the entries in which two configurations differ, ordered by path."""
    old, new = config_entries(before), config_entries(after)
    return tuple(
        EntryChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    )


def digest(config: FleetConfig) -> str:
    """Return a digest of the revision and entries, independent of their order."""
    rows = sorted(config_entries(config).items())
    encoded = msgspec.json.encode((config.revision, rows))
    return blake2b(encoded, digest_size=DIGEST_BYTES).hexdigest()


def _format_entry(item: Any) -> str:
    return "none" if item is None else msgspec.json.encode(item).decode()
