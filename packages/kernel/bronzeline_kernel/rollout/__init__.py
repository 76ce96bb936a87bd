"""Distribute configuration versions between the routers."""

from bronzeline_kernel.rollout.history import ConfigHistory
from bronzeline_kernel.rollout.machine import RolloutMachine
from bronzeline_kernel.rollout.messages import (
    PEER_MESSAGES,
    ConfigDelta,
    ConfigDigest,
    ConfigDocument,
    ConfigPull,
    ConfigQuery,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.rollout.watchers import is_watcher

__all__ = [
    "PEER_MESSAGES",
    "ConfigDelta",
    "ConfigDigest",
    "ConfigDocument",
    "ConfigHistory",
    "ConfigPull",
    "ConfigQuery",
    "PeerMessage",
    "RolloutMachine",
    "SendToPeer",
    "is_watcher",
]
