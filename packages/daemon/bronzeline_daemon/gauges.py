"""Define the gauges of a router's state and control traffic."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzeline_daemon.daemon import Daemon

__all__ = ["add_gauges"]


def add_gauges(daemon: Daemon) -> None:
    """Add gauges that read the daemon's state at each scrape."""
    gauge = daemon.metrics.gauge
    gauge(
        "running_generations",
        "Generations that have not ended.",
        lambda: daemon.generations.n_running,
    )
    gauge(
        "running_calls",
        "Calls on plain services that have not ended.",
        lambda: daemon.orders.n_running,
    )
    gauge(
        "configuration_version",
        "Version of the configuration in force.",
        lambda: daemon.rollout.version,
    )
    gauge("ready", "1 while new work is accepted.", lambda: float(daemon.is_ready))
    gauge("peers", "Routers considered alive.", lambda: len(daemon.members.alive()))
    _add_peer_gauges(daemon)


def _add_peer_gauges(daemon: Daemon) -> None:
    gauge = daemon.metrics.gauge
    gauge(
        "peer_sent_bytes",
        "Bytes sent to peers since the start.",
        lambda: daemon.peers.n_bytes_sent,
    )
    gauge(
        "peer_received_bytes",
        "Bytes received from peers since the start.",
        lambda: daemon.peers.n_bytes_received,
    )
    gauge(
        "peer_dropped_messages",
        "Messages to peers that were dropped since the start.",
        lambda: daemon.peers.n_dropped_messages,
    )
    gauge(
        "kept_decisions",
        "Decisions kept for explanations, of this router and its peers.",
        lambda: len(daemon.decisions) + len(daemon.stories.archive),
    )
