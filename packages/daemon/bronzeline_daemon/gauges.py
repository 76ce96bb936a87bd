"""Define the gauges of a router's state and control traffic."""

from __future__ import annotations

from bronzeline_daemon.router_services import RouterServices

__all__ = ["add_gauges"]


def add_gauges(services: RouterServices) -> None:
    """Add gauges that read the router's state at each scrape."""
    gauge = services.metrics.gauge
    gauge(
        "running_generations",
        "Generations that have not ended.",
        lambda: services.generations.n_running,
    )
    gauge(
        "running_calls",
        "Calls on plain services that have not ended.",
        lambda: services.orders.n_running,
    )
    gauge(
        "configuration_version",
        "Version of the configuration in force.",
        lambda: services.config_distribution.version,
    )
    gauge(
        "ready",
        "1 while new work is accepted.",
        lambda: float(services.lifecycle.is_ready),
    )
    gauge("peers", "Routers considered alive.", lambda: len(services.members.alive()))
    _add_peer_gauges(services)


def _add_peer_gauges(services: RouterServices) -> None:
    gauge = services.metrics.gauge
    gauge(
        "peer_sent_bytes",
        "Bytes sent to peers since the start.",
        lambda: services.peers.n_bytes_sent,
    )
    gauge(
        "peer_received_bytes",
        "Bytes received from peers since the start.",
        lambda: services.peers.n_bytes_received,
    )
    gauge(
        "peer_dropped_messages",
        "Messages to peers that were dropped since the start.",
        lambda: services.peers.n_dropped_messages,
    )
    gauge(
        "kept_decisions",
        "Decisions kept for explanations, of this router and its peers.",
        lambda: len(services.decisions) + len(services.stories.archive),
    )
