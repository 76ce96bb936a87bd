"""Hold the configuration in force and the deltas from earlier versions."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import replace
from typing import Any

import msgspec

from bronzeline_kernel.config import CONFIG_KEY, FleetConfig, load_config
from bronzeline_kernel.config.client import MAX_RECENT_CHANGES
from bronzeline_kernel.config.diff import config_entries, config_from_entries, digest
from bronzeline_kernel.config.fleet_config import ChangeRecord
from bronzeline_kernel.config_distribution.messages import ConfigDelta, ConfigDocument
from bronzeline_kernel.exceptions import SettingsError

__all__ = ["ConfigHistory"]

N_KEPT_DELTAS = 64


class ConfigHistory:
    """Apply newer versions only and compute the deltas for peers."""

    def __init__(self) -> None:
        self.config = FleetConfig(revision=0)
        self.digest = ""
        self.n_refused_older = 0
        self._entries: dict[str, Any] = {}
        self._deltas: OrderedDict[int, ConfigDelta] = OrderedDict()

    @property
    def version(self) -> int:
        """Return the version in force, or 0 before the first."""
        return self.config.revision

    def apply(self, config: FleetConfig) -> bool:
        """Apply a newer version; return False for any other."""
        if config.revision <= self.version:
            self.n_refused_older += config.revision < self.version
            return False
        entries = config_entries(config)
        old_entries, old_version = self._entries, self.version
        self.config, self._entries, self.digest = config, entries, digest(config)
        if old_version:
            self._deltas[old_version] = self._delta_from(old_version, old_entries)
            while len(self._deltas) > N_KEPT_DELTAS:
                self._deltas.popitem(last=False)
        return True

    def apply_delta(self, delta: ConfigDelta) -> bool:
        """Apply a delta to the version in force; return False if it does not fit."""
        if delta.from_version != self.version:
            return False
        changed = {
            key: msgspec.json.decode(item) for key, item in delta.changed.items()
        }
        entries = {**self._entries, **changed}
        for path in delta.removed:
            entries.pop(path, None)
        try:
            config = self._load_config(entries, delta)
        except (msgspec.DecodeError, msgspec.ValidationError, SettingsError):
            return False
        return digest(config) == delta.digest and self.apply(config)

    def since(self, version: int) -> ConfigDelta | ConfigDocument:
        """Return the delta since a version, or the whole document if it is too old."""
        deltas = []
        reached_version = version
        while reached_version in self._deltas:
            deltas.append(self._deltas[reached_version])
            reached_version = self._deltas[reached_version].to_version
        if reached_version != self.version or not deltas:
            return ConfigDocument(msgspec.json.encode(self.config))
        return self._merge_deltas(version, deltas)

    def _delta_from(self, old_version: int, old: dict[str, Any]) -> ConfigDelta:
        new = self._entries
        changed = {
            path: msgspec.json.encode(item)
            for path, item in new.items()
            if old.get(path) != item
        }
        removed = tuple(path for path in old if path not in new)
        return self._make_delta(old_version, changed, removed)

    def _merge_deltas(self, version: int, deltas: list[ConfigDelta]) -> ConfigDelta:
        changed: dict[str, bytes] = {}
        removed: set[str] = set()
        for delta in deltas:
            changed.update(delta.changed)
            removed = (removed - delta.changed.keys()) | set(delta.removed)
            for path in delta.removed:
                changed.pop(path, None)
        return self._make_delta(version, changed, tuple(sorted(removed)))

    def _make_delta(
        self, version: int, changed: dict[str, bytes], removed: tuple[str, ...]
    ) -> ConfigDelta:
        newer = [item for item in self.config.recent_changes if item.revision > version]
        return ConfigDelta(
            from_version=version,
            to_version=self.version,
            changed=changed,
            removed=removed,
            records=msgspec.json.encode(newer),
            digest=self.digest,
        )

    def _load_config(self, entries: dict[str, Any], delta: ConfigDelta) -> FleetConfig:
        data = config_from_entries(entries)
        config = load_config({"revision": delta.to_version, **data}, CONFIG_KEY)
        newer = msgspec.json.decode(delta.records, type=tuple[ChangeRecord, ...])
        recent = (*self.config.recent_changes, *newer)[-MAX_RECENT_CHANGES:]
        change_id = newer[-1].change_id if newer else ""
        return replace(config, change_id=change_id, recent_changes=recent)
