"""Distribute configuration versions between the routers."""

from bronzeline_kernel.config_distribution.history import ConfigHistory
from bronzeline_kernel.config_distribution.machine import ConfigDistributionMachine
from bronzeline_kernel.config_distribution.messages import (
    PEER_MESSAGES,
    ConfigDelta,
    ConfigDigest,
    ConfigDocument,
    ConfigPull,
    ConfigQuery,
    PeerMessage,
    SendToPeer,
)
from bronzeline_kernel.config_distribution.watchers import is_watcher

__all__ = [
    "PEER_MESSAGES",
    "ConfigDelta",
    "ConfigDigest",
    "ConfigDistributionMachine",
    "ConfigDocument",
    "ConfigHistory",
    "ConfigPull",
    "ConfigQuery",
    "PeerMessage",
    "SendToPeer",
    "is_watcher",
]
