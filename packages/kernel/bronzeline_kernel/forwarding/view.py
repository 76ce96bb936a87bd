"""Hold a router's view of the configuration and the upstreams."""

from __future__ import annotations

from bronzeline_kernel.forwarding.change_log import ChangeLog, UpstreamChange
from bronzeline_kernel.forwarding.config import ForwardingConfig
from bronzeline_kernel.forwarding.lease import FreshnessLease, LeaseTerms
from bronzeline_kernel.forwarding.protocols import UpstreamListing
from bronzeline_kernel.forwarding.route_history import RouteHistory
from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.store_contact import StoreContact
from bronzeline_kernel.forwarding.store_position import StorePosition
from bronzeline_kernel.forwarding.stored_config import StoredConfig
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream, UpstreamSet

__all__ = ["ForwardingView"]


class ForwardingView:
    """Hold the newest configuration, the upstreams and the freshness lease.

    An older version of the configuration never replaces a newer one.
    """

    def __init__(self, terms: LeaseTerms) -> None:
        self.lease = FreshnessLease(terms)
        self.upstreams = UpstreamSet()
        self.changes = ChangeLog()
        self.table: RouteTable | None = None
        self.route_history = RouteHistory()
        self.stored_config = StoredConfig()
        self.contact = StoreContact()
        self._read_at_ms = float("-inf")

    @property
    def version(self) -> int:
        """Return the version of the configuration, 0 if there is none."""
        return self.table.config.version if self.table else 0

    def workspace_name(self, key: str) -> str:
        """Return the workspace of a key, empty for an unknown key."""
        workspace = self.table.find_workspace(key) if self.table else None
        return workspace.name if workspace else ""

    def apply_config(self, config: ForwardingConfig, now_ms: float) -> bool:
        """Apply a configuration if it is newer; return whether it was applied."""
        if self.table is not None and config.version <= self.version:
            return False
        former, self.table = self.table, RouteTable(config)
        if former is not None:
            self.route_history.record(former, self.table, now_ms)
        return True

    def store_restored(self, now_ms: float) -> None:
        """Doubt what the store says until what the copy lacks is written again."""
        self.upstreams.store_restored(now_ms)
        self.stored_config.store_restored(now_ms)

    def record_reading(self, sent_at_ms: float) -> str:
        """Record that this router read the configuration, and renew the lease.

        Returns why the reading proves nothing, an empty string if it does.
        """
        self.record_contact(sent_at_ms)
        doubt = self.stored_config.find_doubt(self.version, sent_at_ms)
        if not doubt:
            self.lease.renew(sent_at_ms)
        return doubt

    def record_contact(self, read_at_ms: float) -> None:
        """Record when this router, or the one that it follows, read the store."""
        self._read_at_ms = max(self._read_at_ms, read_at_ms)

    def store_answered(self, now_ms: float) -> float | None:
        """Record an answer of the store, before its content is applied.

        Returns for how long the store may have been away, in milliseconds, None if
        there was no outage.
        """
        return self._end_outage(self.contact.record_answer(now_ms), now_ms)

    def peer_read_store(self, read_at_ms: float, now_ms: float) -> float | None:
        """Record when a peer read the store; returns the same as `store_answered`."""
        return self._end_outage(self.contact.record_peer_reading(read_at_ms), now_ms)

    def expect_peer_changes(self, now_ms: float) -> None:
        """Hold removals that a peer has read while this router can't read the store.

        Its changes may come before the proof that it can read the configuration.
        """
        if self.contact.is_failing(now_ms):
            self.upstreams.store_recovered(now_ms)

    def _end_outage(self, away_ms: float | None, now_ms: float) -> float | None:
        """Hold removals after an outage: entries may have lapsed in it."""
        if away_ms is not None:
            self.upstreams.store_recovered(now_ms)
        self.upstreams.expect_adopted(now_ms)
        return away_ms

    def read_age_ms(self, now_ms: float) -> float:
        """Return the time since the store was read, infinity if it never was."""
        return now_ms - self._read_at_ms

    def apply_listing(self, listing: UpstreamListing, now_ms: float) -> None:
        """Replace the list of upstreams."""
        versions = self.upstreams.versions
        versions.keep_only((item.upstream_id for item in listing.upstreams), now_ms)
        for item in listing.upstreams:
            versions.put(item.upstream_id, item.service, item.version, now_ms)
        self.upstreams.replace_all(listing.upstreams, now_ms)
        self.changes.restart(listing.position)

    def adopt(self, entry: ListedUpstream, now_ms: float) -> bool:
        """Add an upstream that the store can't list now; return whether it is new."""
        is_new = self.upstreams.adopt(entry)
        if is_new:
            self.upstreams.versions.put(
                entry.upstream_id, entry.service, entry.version, now_ms
            )
        return is_new

    def listing(self) -> UpstreamListing:
        """Return the complete list of upstreams, for a peer."""
        return UpstreamListing(self.upstreams.listed(), self.changes.position)

    def apply_peer_listing(self, listing: UpstreamListing, now_ms: float) -> bool:
        """Apply a peer's list if it is newer; return whether it was applied."""
        if listing.position <= self.changes.position:
            return False
        self.apply_listing(listing, now_ms)
        return True

    def apply_changes(
        self,
        changes: tuple[UpstreamChange, ...],
        position: StorePosition,
        now_ms: float,
    ) -> None:
        """Apply changes of upstreams from the store or a peer, unless outdated.

        Those of another era don't continue the list of this one.
        """
        known = self.changes.position
        if position.era != known.era or position < known:
            return
        for change in changes:
            entry = change.entry
            if entry is None:
                self.upstreams.versions.remove(change.upstream_id, now_ms)
                self.upstreams.remove(change.upstream_id, now_ms)
            else:
                self.upstreams.versions.put(
                    entry.upstream_id, entry.service, entry.version, now_ms
                )
                self.upstreams.put(entry)
        self.changes.add(changes, position)

    def is_ready(self, now_ms: float) -> bool:
        """Return whether this router is ready for callers."""
        is_loaded = self.table is not None and self.upstreams.is_loaded
        return is_loaded and self.lease.is_ready(now_ms)
