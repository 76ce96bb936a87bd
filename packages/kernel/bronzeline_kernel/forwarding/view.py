"""Hold what a router knows of configuration and upstreams."""

from __future__ import annotations

from bronzeline_kernel.forwarding.config import ForwardingConfig
from bronzeline_kernel.forwarding.lease import FreshnessLease, LeaseTerms
from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.upstream_set import UpstreamSet

__all__ = ["ForwardingView"]


class ForwardingView:
    """Follow the configuration by version, never back, and the upstreams."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.lease = FreshnessLease(terms)
        self.upstreams = UpstreamSet()
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 where there is none."""
        return self.table.config.version if self.table else 0

    def take_config(self, config: ForwardingConfig) -> bool:
        """Put a configuration in force unless a newer one is."""
        if self.table is not None and config.version <= self.version:
            return False
        self.table = RouteTable(config)
        return True

    def is_ready(self, now_ms: float) -> bool:
        """Say whether callers may be sent here."""
        is_loaded = self.table is not None and self.upstreams.is_loaded
        return is_loaded and self.lease.is_ready(now_ms)
