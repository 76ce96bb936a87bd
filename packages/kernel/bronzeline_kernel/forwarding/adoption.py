"""Know engines that started anew while the store could not tell."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.upstream_set import Address, ListedUpstream

__all__ = ["AdoptionGuard", "UpstreamIdentity"]

# Routers in touch with the store have a proof of 1,400 ms at most; with an
# older one its word on a new engine is not to be waited for.
AWAY_AGE_MS = 2_000.0
# An engine that is not ready yet is asked again after this.
ASK_AGAIN_MS = 1_000.0


@dataclass(frozen=True)
class UpstreamIdentity:
    """Hold what a process says of itself; a start of 0 is not known."""

    upstream_id: str
    is_engine: bool
    started_at_ms: int = 0


@dataclass
class AdoptionGuard:
    """Decide whom to ask, and what follows from the answer.

    An address may have gone to another service. Only the engines of a
    configuration's one service with engines are known by being engines.
    """

    _asked_at_ms: dict[Address, float] = field(default_factory=dict)

    def is_store_unreachable(self, proof_age_ms: float) -> bool:
        """Say whether the store can't be waited for."""
        return proof_age_ms >= AWAY_AGE_MS

    def should_identify(
        self,
        upstream: ListedUpstream,
        table: RouteTable | None,
        proof_age_ms: float,
        now_ms: float,
    ) -> bool:
        """Say whether to ask who took an upstream's place, and note that."""
        if table is None or not self.is_store_unreachable(proof_age_ms):
            return False
        with_engines = [item.name for item in table.config.services if item.engine]
        if with_engines != [upstream.service]:
            return False
        asked_at_ms = self._asked_at_ms.get(upstream.address, float("-inf"))
        if now_ms - asked_at_ms < ASK_AGAIN_MS:
            return False
        self._asked_at_ms[upstream.address] = now_ms
        return True

    def replacement_entry(
        self, former: ListedUpstream, identity: UpstreamIdentity
    ) -> ListedUpstream | None:
        """Return the entry of the engine in a former one's place, if it is one."""
        if not identity.is_engine or identity.upstream_id == former.upstream_id:
            return None
        started_at_ms = max(former.started_at_ms + 1, identity.started_at_ms)
        return replace(
            former,
            upstream_id=identity.upstream_id,
            started_at_ms=started_at_ms,
            is_leaving=False,
        )
