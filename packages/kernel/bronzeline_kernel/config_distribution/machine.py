"""Implement the state machine that distributes the configuration."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from random import Random

import msgspec

from bronzeline_kernel.config import FleetConfig, decode_config
from bronzeline_kernel.config_distribution.history import ConfigHistory
from bronzeline_kernel.config_distribution.messages import (
    ConfigDelta,
    ConfigDigest,
    ConfigDocument,
    ConfigPull,
    ConfigQuery,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.config_distribution.watchers import is_watcher
from bronzeline_kernel.exceptions import SettingsError
from bronzeline_kernel.fleet import RouterInfo

__all__ = ["ConfigDistributionMachine", "Confirmation"]

PUSH_FANOUT = 4
GOSSIP_FANOUT = 2
POLL_INTERVAL_MS = 2_000.0
REPEAT_INTERVAL_MS = 250.0


@dataclass(frozen=True)
class Confirmation:
    """Hold the version that a router last confirmed, and when."""

    version: int
    confirmed_at_ms: float


class ConfigDistributionMachine:
    """Apply newer versions from the store or from peers and forward them."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.own = own
        self.history = ConfigHistory()
        self.last_contact_ms: float | None = None
        self._random = random
        self._peers: dict[str, RouterInfo] = {}
        self._confirmations: dict[str, Confirmation] = {}
        self._last_sent: dict[str, tuple[int, float]] = {}

    @property
    def is_watcher(self) -> bool:
        """Return whether this router watches the store on behalf of others."""
        return is_watcher(self.own, self._peers.values())

    def poll_interval_ms(self) -> float:
        """Return the delay in ms before the next read of a router without a watch.

        It grows with the fleet, so that all routers together read at a fixed rate.
        """
        n_routers = len(self._peers) + 1
        return POLL_INTERVAL_MS * n_routers * self._random.uniform(0.5, 1.5)

    def update_peers(self, peers: Collection[RouterInfo]) -> None:
        """Set the other routers that are believed to be alive."""
        self._peers = {item.router_id: item for item in peers}

    def confirmations(self) -> dict[str, Confirmation]:
        """Return the last confirmation of each live peer; version 0 if none."""
        unconfirmed = Confirmation(0, 0.0)
        return {
            router_id: self._confirmations.get(router_id, unconfirmed)
            for router_id in self._peers
        }

    def isolated_for_ms(self, now_ms: float) -> float:
        """Return the time in ms since the last contact with the store or a peer.

        Returns 0 before the first contact and for a router without peers.
        """
        if self.last_contact_ms is None or not self._peers:
            return 0.0
        return now_ms - self.last_contact_ms

    def on_store_read(
        self, config: FleetConfig | None, now_ms: float
    ) -> list[SendToPeer]:
        """Process a configuration read from the store, or None if there is none."""
        self.last_contact_ms = now_ms
        if config is None or not self.history.apply(config):
            return []
        return self._push("")

    def on_peer_message(
        self, router_id: str, message: PeerMessage, now_ms: float
    ) -> list[SendToPeer]:
        """Process a peer's message and return the messages to send."""
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
        """Send the version in force to a few random peers."""
        return [
            SendToPeer(router_id, self._digest())
            for router_id in self._sample(GOSSIP_FANOUT)
        ]

    def pull_from_peers(self, n_peers: int) -> list[SendToPeer]:
        """Request newer versions from random peers, as on start."""
        pull = ConfigPull(self.history.version)
        return [SendToPeer(router_id, pull) for router_id in self._sample(n_peers)]

    def query_versions(self) -> list[SendToPeer]:
        """Ask every peer for the version that it has in force."""
        return [SendToPeer(router_id, ConfigQuery()) for router_id in self._peers]

    def _on_digest(
        self, router_id: str, version: int, now_ms: float
    ) -> list[SendToPeer]:
        own_version = self.history.version
        if version > own_version:
            return [SendToPeer(router_id, ConfigPull(own_version))]
        sent_version, sent_at_ms = self._last_sent.get(router_id, (0, 0.0))
        is_in_flight = (
            sent_version == own_version and now_ms - sent_at_ms < REPEAT_INTERVAL_MS
        )
        if version == own_version or is_in_flight:
            return []
        self._last_sent[router_id] = (own_version, now_ms)
        return [SendToPeer(router_id, self.history.since(version))]

    def _on_pull(self, router_id: str, have_version: int) -> list[SendToPeer]:
        if have_version >= self.history.version:
            return [SendToPeer(router_id, self._digest())]
        return [SendToPeer(router_id, self.history.since(have_version))]

    def _on_delta(self, router_id: str, delta: ConfigDelta) -> list[SendToPeer]:
        if delta.to_version <= self.history.version:
            return [SendToPeer(router_id, self._digest())]
        if self.history.apply_delta(delta):
            return self._forward(router_id)
        # If the delta has another base version, request the changes since the
        # version in force. If it has this base but does not fit, request the whole
        # document.
        is_gap = delta.from_version != self.history.version
        have_version = self.history.version if is_gap else 0
        return [SendToPeer(router_id, ConfigPull(have_version))]

    def _on_document(self, router_id: str, document: bytes) -> list[SendToPeer]:
        try:
            config = decode_config(document)
        except (msgspec.DecodeError, SettingsError):
            return []
        if self.history.apply(config):
            return self._forward(router_id)
        return [SendToPeer(router_id, self._digest())]

    def _forward(self, sender_id: str) -> list[SendToPeer]:
        return [SendToPeer(sender_id, self._digest()), *self._push(sender_id)]

    def _push(self, sender_id: str) -> list[SendToPeer]:
        version = self.history.version
        router_ids = [item for item in self._sample(PUSH_FANOUT) if item != sender_id]
        message = self.history.since(version - 1)
        return [SendToPeer(router_id, message) for router_id in router_ids]

    def _sample(self, n_peers: int) -> list[str]:
        router_ids = sorted(self._peers)
        return self._random.sample(router_ids, min(n_peers, len(router_ids)))

    def _digest(self) -> ConfigDigest:
        return ConfigDigest(self.history.version, self.history.digest)
