"""Change the fleet's configuration by conditional updates."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import msgspec

from bronzeline_kernel.config.check import load_config
from bronzeline_kernel.config.diff import EntryChange, diff
from bronzeline_kernel.config.fleet_config import ChangeRecord, FleetConfig
from bronzeline_kernel.exceptions import (
    AnswerLostError,
    ConfigConflictError,
    ConfigOutcomeUnknownError,
    ConflictError,
    StoreError,
    StoreUnavailableError,
)
from bronzeline_kernel.protocols import ObjectStore, StoredObject

__all__ = ["CONFIG_KEY", "ChangeResult", "ConfigClient", "decode_config"]

CONFIG_KEY = "config/fleet"
MAX_RECENT_CHANGES = 64
MAX_CONFLICTS = 10
MAX_SETTLE_TRIES = 20

SETTLE_INTERVAL_S = 0.25

Sleep = Callable[[float], Awaitable[None]]
Edit = Callable[[FleetConfig], FleetConfig | dict[str, Any]]


@dataclass(frozen=True)
class ChangeResult:
    """Say which version a change made, and in which entries it differs."""

    config: FleetConfig
    version: int
    changes: tuple[EntryChange, ...]


def decode_config(value: bytes) -> FleetConfig:
    """Decode and check a stored configuration; raises `SettingsError`."""
    return load_config(msgspec.json.decode(value), CONFIG_KEY)


class ConfigClient:
    """Read and change the one configuration document."""

    def __init__(
        self, store: ObjectStore, random: Random, sleep: Sleep | None = None
    ) -> None:
        self._store = store
        self._random = random
        self._sleep = sleep

    async def read(self) -> FleetConfig | None:
        """Return the stored configuration, or None where there is none."""
        stored = await self._store.get(CONFIG_KEY)
        return None if stored is None else decode_config(stored.value)

    async def change(
        self,
        edit: Edit,
        expected_version: int | None = None,
        base: FleetConfig | None = None,
    ) -> ChangeResult:
        """Apply an edit as the next version.

        The edit returns a configuration or a document that is checked here.
        Without an expected version the edit is applied again to whatever
        another operator has put in force meanwhile. Raises `SettingsError`,
        `ConfigConflictError` with what changed since, `StoreUnavailableError`
        when the change is certainly not made, and `ConfigUndecidedError` when
        the store fails for so long that this can't be told.
        """
        change_id = f"{self._random.getrandbits(64):016x}"
        for _ in range(MAX_CONFLICTS):
            stored = await self._read_before_change()
            config = _config_of(stored)
            if expected_version not in (None, config.revision):
                raise _conflict(expected_version or 0, config, base)
            changed = _next_config(config, edit(config), change_id)
            version = 0 if stored is None else stored.version
            if await self._write(changed, version):
                return ChangeResult(changed, changed.revision, diff(config, changed))
        raise _conflict(expected_version or 0, config, base)

    async def _read_before_change(self) -> StoredObject | None:
        try:
            return await self._store.get(CONFIG_KEY)
        except StoreError as error:
            raise StoreUnavailableError(f"nothing was changed: {error}") from None

    async def _write(self, changed: FleetConfig, version: int) -> bool:
        may_have_run = False
        for _ in range(MAX_SETTLE_TRIES):
            try:
                await self._store.put(
                    CONFIG_KEY, msgspec.json.encode(changed), expected_version=version
                )
            except ConflictError:
                return may_have_run and await self._is_made(changed)
            except AnswerLostError:
                may_have_run = True
            except StoreUnavailableError:
                if not may_have_run:
                    raise
            else:
                return True
            await self._pause()
        raise ConfigOutcomeUnknownError(changed.change_id)

    async def _is_made(self, changed: FleetConfig) -> bool:
        # The object has left the expected version: no late copy can succeed.
        for _ in range(MAX_SETTLE_TRIES):
            try:
                stored = await self._store.get(CONFIG_KEY)
            except StoreError:
                await self._pause()
                continue
            return _was_made(changed, _config_of(stored))
        raise ConfigOutcomeUnknownError(changed.change_id)

    async def _pause(self) -> None:
        if self._sleep is not None:
            await self._sleep(SETTLE_INTERVAL_S)


def _config_of(stored: StoredObject | None) -> FleetConfig:
    return FleetConfig(revision=0) if stored is None else decode_config(stored.value)


def _was_made(changed: FleetConfig, found: FleetConfig) -> bool:
    recent = found.recent_changes
    if recent and recent[0].revision > changed.revision:
        raise ConfigOutcomeUnknownError(changed.change_id)
    return changed.change_id in {item.change_id for item in recent}


def _next_config(
    config: FleetConfig, edited: FleetConfig | dict[str, Any], change_id: str
) -> FleetConfig:
    revision = config.revision + 1
    data = {**msgspec.to_builtins(edited), "revision": revision}
    checked = load_config(data, CONFIG_KEY)
    paths = tuple(item.path for item in diff(config, checked))
    record = ChangeRecord(change_id, revision, paths)
    recent = (*config.recent_changes, record)[-MAX_RECENT_CHANGES:]
    return replace(checked, change_id=change_id, recent_changes=recent)


def _conflict(
    expected: int, found: FleetConfig, base: FleetConfig | None
) -> ConfigConflictError:
    if base is not None:
        changes = tuple(str(item) for item in diff(base, found))
    else:
        changes = tuple(
            f"{path} (version {record.revision})"
            for record in found.recent_changes
            if record.revision > expected
            for path in record.paths
        )
    return ConfigConflictError(expected, found.revision, changes)
