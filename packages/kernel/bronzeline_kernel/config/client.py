"""Change the fleet's configuration in the store by conditional writes."""

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
MAX_STORE_ATTEMPTS = 20

RETRY_INTERVAL_S = 0.25

Sleep = Callable[[float], Awaitable[None]]
Edit = Callable[[FleetConfig], FleetConfig | dict[str, Any]]


@dataclass(frozen=True)
class ChangeResult:
    """Hold the new configuration, its version and the entries that changed."""

    config: FleetConfig
    version: int
    changes: tuple[EntryChange, ...]


def decode_config(value: bytes) -> FleetConfig:
    """Decode and validate a stored configuration; raises `SettingsError`."""
    return load_config(msgspec.json.decode(value), CONFIG_KEY)


class ConfigClient:
    """Read and change the fleet's configuration document in the object store."""

    def __init__(
        self, store: ObjectStore, random: Random, sleep: Sleep | None = None
    ) -> None:
        self._store = store
        self._random = random
        self._sleep = sleep

    async def read(self) -> FleetConfig | None:
        """Return the stored configuration, or None if there is none."""
        stored = await self._store.get(CONFIG_KEY)
        return None if stored is None else decode_config(stored.value)

    async def change(
        self,
        edit: Edit,
        expected_version: int | None = None,
        base: FleetConfig | None = None,
    ) -> ChangeResult:
        """Apply an edit and write the result as the next version.

        The edit returns a configuration or a document, which is validated here.
        Without an expected version, a conflicting write by another operator
        causes the edit to be applied again to the version that won.

        Raises `SettingsError` if the stored or the new configuration is invalid,
        `ConfigConflictError` with the entries changed since the expected version,
        `StoreUnavailableError` if the change was certainly not made, and
        `ConfigOutcomeUnknownError` if the outcome stays unknown because the store
        fails for too long or has accepted too many changes since.
        """
        change_id = f"{self._random.getrandbits(64):016x}"
        for _ in range(MAX_CONFLICTS):
            stored = await self._read_before_change()
            config = _decode_or_empty(stored)
            if expected_version not in (None, config.revision):
                raise _conflict_error(expected_version or 0, config, base)
            changed = _next_config(config, edit(config), change_id)
            version = 0 if stored is None else stored.version
            if await self._write(changed, version):
                return ChangeResult(changed, changed.revision, diff(config, changed))
        raise _conflict_error(expected_version or 0, config, base)

    async def _read_before_change(self) -> StoredObject | None:
        try:
            return await self._store.get(CONFIG_KEY)
        except StoreError as error:
            raise StoreUnavailableError(f"nothing was changed: {error}") from None

    async def _write(self, changed: FleetConfig, version: int) -> bool:
        may_have_written = False
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                await self._store.put(
                    CONFIG_KEY, msgspec.json.encode(changed), expected_version=version
                )
            except ConflictError:
                return may_have_written and await self._was_applied_earlier(changed)
            except AnswerLostError:
                may_have_written = True
            except StoreUnavailableError:
                if not may_have_written:
                    raise
            else:
                return True
            await self._wait_before_retry()
        raise ConfigOutcomeUnknownError(changed.change_id)

    async def _was_applied_earlier(self, changed: FleetConfig) -> bool:
        # The stored version differs from the expected one, so a delayed copy of the
        # write can no longer succeed.
        for _ in range(MAX_STORE_ATTEMPTS):
            try:
                stored = await self._store.get(CONFIG_KEY)
            except StoreError:
                await self._wait_before_retry()
                continue
            return _contains_change(changed, _decode_or_empty(stored))
        raise ConfigOutcomeUnknownError(changed.change_id)

    async def _wait_before_retry(self) -> None:
        if self._sleep is not None:
            await self._sleep(RETRY_INTERVAL_S)


def _decode_or_empty(stored: StoredObject | None) -> FleetConfig:
    return FleetConfig(revision=0) if stored is None else decode_config(stored.value)


def _contains_change(changed: FleetConfig, found: FleetConfig) -> bool:
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


def _conflict_error(
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
