"""Detect engines that were replaced while the store was unreachable."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.upstream_set import Address, ListedUpstream

__all__ = ["AdoptionGuard", "UpstreamIdentity"]

# While the store is reachable, proofs are at most 1,400 ms old. With an older proof
# the router does not wait for the store to list a new engine.
STORE_UNREACHABLE_AGE_MS = 2_000.0
# Interval between identification requests to an engine that is not ready yet.
IDENTIFY_INTERVAL_MS = 1_000.0


@dataclass(frozen=True)
class UpstreamIdentity:
    """Hold the identity that a process reports; a start time of 0 is unknown."""

    upstream_id: str
    is_engine: bool
    started_at_ms: int = 0


@dataclass
class AdoptionGuard:
    """Decide which processes to identify, and which of them to adopt.

    An address may have been reassigned to another service. An engine found there
    is sure to belong to the former upstream's service only if no other service
    of the configuration has engines.
    """

    _identified_at_ms: dict[Address, float] = field(default_factory=dict)

    def is_store_unreachable(self, proof_age_ms: float) -> bool:
        """Return whether the store must be considered unreachable."""
        return proof_age_ms >= STORE_UNREACHABLE_AGE_MS

    def should_identify(
        self,
        upstream: ListedUpstream,
        table: RouteTable | None,
        proof_age_ms: float,
        now_ms: float,
    ) -> bool:
        """Return whether to identify an address's process; if so, record the time."""
        if table is None or not self.is_store_unreachable(proof_age_ms):
            return False
        engine_services = [item.name for item in table.config.services if item.engine]
        if engine_services != [upstream.service]:
            return False
        identified_at_ms = self._identified_at_ms.get(upstream.address, float("-inf"))
        if now_ms - identified_at_ms < IDENTIFY_INTERVAL_MS:
            return False
        self._identified_at_ms[upstream.address] = now_ms
        return True

    def replacement_entry(
        self, former: ListedUpstream, identity: UpstreamIdentity
    ) -> ListedUpstream | None:
        """Return the entry of an engine that replaced `former`, None if none did."""
        if not identity.is_engine or identity.upstream_id == former.upstream_id:
            return None
        started_at_ms = max(former.started_at_ms + 1, identity.started_at_ms)
        return replace(
            former,
            upstream_id=identity.upstream_id,
            started_at_ms=started_at_ms,
            is_leaving=False,
            # It may run other software than the former one.
            version="",
        )
