"""Distribute the fleet's configuration and put it in force."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from random import Random

import msgspec

from bronzeline_daemon.logs import log_event
from bronzeline_daemon.peers import PeerIdentity, PeerNetwork
from bronzeline_kernel.config import (
    CONFIG_KEY,
    FleetConfig,
    ResolvedOption,
    decode_config,
    resolve,
)
from bronzeline_kernel.config_distribution import (
    PEER_MESSAGES,
    ConfigDistributionMachine,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.exceptions import SettingsError, StoreError
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership import Members
from bronzeline_kernel.protocols import Clock, ObjectStore, StoredObject

__all__ = ["CONFIG_KEY", "ConfigDistributionService"]

WATCH_TIMEOUT_MS = 10_000.0
RETRY_INTERVAL_S = 0.5
GOSSIP_INTERVAL_S = 0.5
START_WAIT_MS = 1_500.0
START_POLL_S = 0.02
N_ASKED_ON_START = 3
QUERY_INTERVAL_MS = 250.0


class ConfigDistributionService:
    """Read newer configurations from the store, and exchange them with peers."""

    def __init__(
        self,
        store: ObjectStore,
        clock: Clock,
        peers: PeerNetwork,
        members: Members,
        own: RouterInfo,
        random: Random,
        wall_clock_s: Callable[[], float] = time.time,
    ) -> None:
        self.machine = ConfigDistributionMachine(own, random)
        self._store = store
        self._clock = clock
        self._peers = peers
        self._members = members
        self._wall_clock_s = wall_clock_s
        self._store_version = 0
        self._queried_at_ms = 0.0
        for message_type in PEER_MESSAGES:
            peers.on(message_type, self._on_peer_message)

    @property
    def config(self) -> FleetConfig:
        """Return the configuration in force."""
        return self.machine.history.config

    @property
    def version(self) -> int:
        """Return the version in force; 0 before the first is loaded."""
        return self.machine.history.version

    @property
    def is_loaded(self) -> bool:
        """Return whether a configuration is in force."""
        return self.version > 0

    @property
    def is_isolated(self) -> bool:
        """Return whether this router has been cut off from changes for too long."""
        limit_ms: float = self.resolve("isolation_limit_ms").value
        return self.machine.isolated_for_ms(self._clock.now_ms()) > limit_ms

    def resolve(
        self,
        option: str,
        *,
        workspace: str = "",
        service: str = "",
        model: str = "",
    ) -> ResolvedOption:
        """Return an option's current value for a scope, and what decided it."""
        return resolve(
            self.config,
            self.version,
            option,
            workspace=workspace,
            service=service,
            model=model,
            now_s=self._wall_clock_s(),
        )

    def confirmations(self) -> dict[str, int]:
        """Return the version that each live router confirmed, by router id.

        This router is included; routers that never answered have 0. Queries the
        peers again, at most every 250 ms.
        """
        now_ms = self._clock.now_ms()
        self.machine.update_peers(self._members.alive())
        if now_ms - self._queried_at_ms >= QUERY_INTERVAL_MS:
            self._queried_at_ms = now_ms
            self._send(self.machine.query_versions())
        confirmed = {
            name: item.version for name, item in self.machine.confirmations().items()
        }
        return {self.machine.own.router_id: self.version, **confirmed}

    async def refresh(self) -> None:
        """Read the newest version from the store, or wait for peers to send it."""
        self.machine.update_peers(self._members.alive())
        self._send(self.machine.pull_from_peers(N_ASKED_ON_START))
        if not await self._read_store():
            await self._wait_for_peers()

    async def run(self) -> None:
        """Watch or poll the store, and gossip with peers, until cancelled."""
        gossip = asyncio.create_task(self._gossip())
        try:
            while True:
                await self._follow_store()
        finally:
            gossip.cancel()

    async def _follow_store(self) -> None:
        if self.machine.is_watcher:
            await self._watch_store()
            return
        await asyncio.sleep(self.machine.poll_interval_ms() / 1000.0)
        if not self.machine.is_watcher:
            await self._read_store()

    async def _watch_store(self) -> None:
        try:
            changed = await self._store.watch(
                CONFIG_KEY, self._store_version, WATCH_TIMEOUT_MS
            )
        except StoreError:
            await asyncio.sleep(RETRY_INTERVAL_S)
            return
        newest = max(changed, key=lambda item: item.version, default=None)
        self._apply(newest)

    async def _read_store(self) -> bool:
        try:
            stored = await self._store.get(CONFIG_KEY)
        except StoreError as error:
            log_event("configuration_unavailable", error=error)
            return False
        self._apply(stored)
        return stored is not None

    def _apply(self, stored: StoredObject | None) -> None:
        config: FleetConfig | None = None
        if stored is not None:
            self._store_version = max(self._store_version, stored.version)
            config = self._decode(stored)
        previous_version = self.version
        self._send(self.machine.on_store_read(config, self._clock.now_ms()))
        self._log_change(previous_version, "store")
        if config is not None and config.revision < previous_version:
            log_event(
                "configuration_older",
                version=config.revision,
                in_force=previous_version,
            )

    def _decode(self, stored: StoredObject) -> FleetConfig | None:
        try:
            return decode_config(stored.value)
        except (msgspec.DecodeError, SettingsError) as error:
            log_event("configuration_refused", error=error)
            return None

    async def _wait_for_peers(self) -> None:
        until_ms = self._clock.now_ms() + START_WAIT_MS
        while self._clock.now_ms() < until_ms and self._members.alive():
            await asyncio.sleep(START_POLL_S)

    async def _gossip(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_INTERVAL_S)
            self.machine.update_peers(self._members.alive())
            if self.is_loaded:
                self._send(self.machine.on_tick())
            else:
                self._send(self.machine.pull_from_peers(N_ASKED_ON_START))

    def _on_peer_message(self, identity: PeerIdentity, message: PeerMessage) -> None:
        previous_version = self.version
        now_ms = self._clock.now_ms()
        self._send(self.machine.on_peer_message(identity.router_id, message, now_ms))
        self._log_change(previous_version, identity.router_id)

    def _send(self, actions: list[SendToPeer]) -> None:
        for action in actions:
            self._peers.send(action.router_id, action.message)

    def _log_change(self, previous_version: int, source: str) -> None:
        if self.version != previous_version:
            log_event("configuration_applied", version=self.version, source=source)
