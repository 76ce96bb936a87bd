"""Hold what a router knows of configuration and upstreams."""

from __future__ import annotations

from bronzeline_kernel.forwarding.change_log import ChangeLog, UpstreamChange
from bronzeline_kernel.forwarding.config import ForwardingConfig
from bronzeline_kernel.forwarding.lease import FreshnessLease, LeaseTerms
from bronzeline_kernel.forwarding.protocols import UpstreamListing
from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.upstream_set import UpstreamSet

__all__ = ["ForwardingView"]


class ForwardingView:
    """Follow the configuration by version, never back, and the upstreams."""

    def __init__(self, terms: LeaseTerms) -> None:
        self.lease = FreshnessLease(terms)
        self.upstreams = UpstreamSet()
        self.changes = ChangeLog()
        self.table: RouteTable | None = None

    @property
    def version(self) -> int:
        """Return the version in force, 0 where there is none."""
        return self.table.config.version if self.table else 0

    def apply_config(self, config: ForwardingConfig) -> bool:
        """Put a configuration in force unless a newer one is."""
        if self.table is not None and config.version <= self.version:
            return False
        self.table = RouteTable(config)
        return True

    def apply_listing(self, listing: UpstreamListing, now_ms: float) -> None:
        """Take a whole list of upstreams."""
        self.upstreams.replace_all(listing.upstreams, now_ms)
        self.changes.restart(listing.revision)

    def listing(self) -> UpstreamListing:
        """Return the whole list of upstreams, for a peer."""
        return UpstreamListing(self.upstreams.listed(), self.changes.revision)

    def apply_peer_listing(self, listing: UpstreamListing, now_ms: float) -> bool:
        """Take a peer's list unless what is known here is as new."""
        if listing.revision <= self.changes.revision:
            return False
        self.apply_listing(listing, now_ms)
        return True

    def apply_changes(
        self, changes: tuple[UpstreamChange, ...], revision: int, now_ms: float
    ) -> None:
        """Take changes of upstreams, from the store or from a peer."""
        if revision < self.changes.revision:
            return
        for change in changes:
            if change.entry is None:
                self.upstreams.remove(change.upstream_id, now_ms)
            else:
                self.upstreams.put(change.entry)
        self.changes.add(changes, revision)

    def is_ready(self, now_ms: float) -> bool:
        """Say whether callers may be sent here."""
        is_loaded = self.table is not None and self.upstreams.is_loaded
        return is_loaded and self.lease.is_ready(now_ms)
