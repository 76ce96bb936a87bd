"""Decide how one router learns of the configuration and passes it on."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

import msgspec

from bronzeline_kernel.config import FleetConfig, decode_config
from bronzeline_kernel.exceptions import SettingsError
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.rollout.history import ConfigHistory
from bronzeline_kernel.rollout.messages import (
    ConfigDelta,
    ConfigDigest,
    ConfigDocument,
    ConfigPull,
    ConfigQuery,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.rollout.watchers import is_watcher

__all__ = ["Confirmation", "RolloutMachine"]

PUSH_FANOUT = 4
GOSSIP_FANOUT = 2
POLL_INTERVAL_MS = 2_000.0
REPEAT_INTERVAL_MS = 250.0


@dataclass(frozen=True)
class Confirmation:
    """Say which version a router last confirmed, and when."""

    version: int
    confirmed_at_ms: float


class RolloutMachine:
    """Apply what is newer, from the store or from peers, and pass it on."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.own = own
        self.history = ConfigHistory()
        self.last_contact_ms: float | None = None
        self._random = random
        self._peers: dict[str, RouterInfo] = {}
        self._confirmations: dict[str, Confirmation] = {}
        self._sent: dict[str, tuple[int, float]] = {}

    @property
    def is_watcher(self) -> bool:
        """Say whether this router watches the store for the others."""
        return is_watcher(self.own, self._peers.values())

    def poll_interval_ms(self) -> float:
        """Return the time between reads of a router that does not watch.

        All such routers together read once in a fixed interval.
        """
        n_routers = len(self._peers) + 1
        return POLL_INTERVAL_MS * n_routers * self._random.uniform(0.5, 1.5)

    def update_peers(self, peers: Collection[RouterInfo]) -> None:
        """Take in the other routers taken to be alive."""
        self._peers = {item.router_id: item for item in peers}

    def confirmations(self) -> dict[str, Confirmation]:
        """Return what each peer taken to be alive confirmed last."""
        nothing = Confirmation(0, 0.0)
        return {name: self._confirmations.get(name, nothing) for name in self._peers}

    def isolated_for_ms(self, now_ms: float) -> float:
        """Return for how long neither the store nor a peer was heard."""
        if self.last_contact_ms is None or not self._peers:
            return 0.0
        return now_ms - self.last_contact_ms

    def on_store_read(
        self, config: FleetConfig | None, now_ms: float
    ) -> list[SendToPeer]:
        """Take in what the store answered."""
        self.last_contact_ms = now_ms
        if config is None or not self.history.apply(config):
            return []
        return self._push("")

    def on_peer_message(
        self, router_id: str, message: PeerMessage, now_ms: float
    ) -> list[SendToPeer]:
        """Take in what a peer sent."""
        self.last_contact_ms = now_ms
        match message:
            case ConfigDigest(version):
                self._confirmations[router_id] = Confirmation(version, now_ms)
                return self._on_digest(router_id, version, now_ms)
            case ConfigQuery():
                return [SendToPeer(router_id, self._digest())]
            case ConfigPull(have_version):
                return self._on_pull(router_id, have_version)
            case ConfigDelta():
                return self._on_delta(router_id, message)
            case ConfigDocument(document):
                return self._on_document(router_id, document)

    def on_tick(self) -> list[SendToPeer]:
        """Tell a few peers which version is in force here."""
        return [
            SendToPeer(name, self._digest()) for name in self._sample(GOSSIP_FANOUT)
        ]

    def pull_from_peers(self, n_peers: int) -> list[SendToPeer]:
        """Ask some peers for what is newer, as on start."""
        pull = ConfigPull(self.history.version)
        return [SendToPeer(name, pull) for name in self._sample(n_peers)]

    def query_versions(self) -> list[SendToPeer]:
        """Ask every peer which version it has in force."""
        return [SendToPeer(name, ConfigQuery()) for name in self._peers]

    def _on_digest(
        self, router_id: str, version: int, now_ms: float
    ) -> list[SendToPeer]:
        own_version = self.history.version
        if version > own_version:
            return [SendToPeer(router_id, ConfigPull(own_version))]
        sent_version, sent_at_ms = self._sent.get(router_id, (0, 0.0))
        is_on_its_way = (
            sent_version == own_version and now_ms - sent_at_ms < REPEAT_INTERVAL_MS
        )
        if version == own_version or is_on_its_way:
            return []
        self._sent[router_id] = (own_version, now_ms)
        return [SendToPeer(router_id, self.history.since(version))]

    def _on_pull(self, router_id: str, have_version: int) -> list[SendToPeer]:
        if have_version >= self.history.version:
            return [SendToPeer(router_id, self._digest())]
        return [SendToPeer(router_id, self.history.since(have_version))]

    def _on_delta(self, router_id: str, delta: ConfigDelta) -> list[SendToPeer]:
        if delta.to_version <= self.history.version:
            return [SendToPeer(router_id, self._digest())]
        if self.history.apply_delta(delta):
            return self._pass_on(router_id)
        # Another base, or a digest that does not fit: only the whole will do.
        is_gap = delta.from_version != self.history.version
        have_version = self.history.version if is_gap else 0
        return [SendToPeer(router_id, ConfigPull(have_version))]

    def _on_document(self, router_id: str, document: bytes) -> list[SendToPeer]:
        try:
            config = decode_config(document)
        except (msgspec.DecodeError, SettingsError):
            return []
        if self.history.apply(config):
            return self._pass_on(router_id)
        return [SendToPeer(router_id, self._digest())]

    def _pass_on(self, sender_id: str) -> list[SendToPeer]:
        return [SendToPeer(sender_id, self._digest()), *self._push(sender_id)]

    def _push(self, sender_id: str) -> list[SendToPeer]:
        version = self.history.version
        names = [name for name in self._sample(PUSH_FANOUT) if name != sender_id]
        message = self.history.since(version - 1)
        return [SendToPeer(name, message) for name in names]

    def _sample(self, n_peers: int) -> list[str]:
        names = sorted(self._peers)
        return self._random.sample(names, min(n_peers, len(names)))

    def _digest(self) -> ConfigDigest:
        return ConfigDigest(self.history.version, self.history.digest)
