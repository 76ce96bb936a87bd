"""Choose an upstream for a waiting ticket."""

from __future__ import annotations

from collections import Counter
from random import Random

from bronzeline_kernel.admission.queue import Waiter
from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.routing.choice import PrefixTable, UpstreamChoice
from bronzeline_kernel.routing.dispatch import Ticket
from bronzeline_kernel.routing.dispatch_state import DispatchState
from bronzeline_kernel.routing.slot_exchange import SlotExchange
from bronzeline_kernel.routing.slow_delay import slow_delay_ms

__all__ = ["Placement"]

LONG_RUNNING_MS = 10_000.0


class Placement:
    """Choose upstreams by occupancy, health, region, running work and prompt."""

    def __init__(
        self,
        state: DispatchState,
        slots: SlotExchange,
        own: RouterInfo,
        random: Random,
    ) -> None:
        self._state = state
        self._slots = slots
        self._own = own
        self._choice = UpstreamChoice(own.region, own.availability_zone, random)
        self._prefixes = PrefixTable()
        self._n_long_running: Counter[str] = Counter()

    def record_grant(self, ticket: Ticket, upstream: Upstream) -> None:
        """Remember which upstream received a ticket's prompt."""
        self._prefixes.record(ticket.prompt_hash, upstream.upstream_id)

    def count_long_running(self) -> None:
        """Count the long-running and resumed generations of each upstream."""
        state = self._state
        long_running_since_ms = state.now_ms - LONG_RUNNING_MS
        self._n_long_running = Counter(
            item.grant.upstream.upstream_id
            for item in state.running.values()
            if item.granted_at_ms < long_running_since_ms or item.ticket.n_tokens_held
        )

    def choose(self, waiter: Waiter) -> Upstream | None:
        """Return the upstream that a waiter should get now, or None."""
        state = self._state
        ticket = waiter.ticket
        if state.usage.is_at_limit(ticket.workspace):
            return None
        waited_ms = state.now_ms - waiter.enqueued_at_ms
        candidates = [
            item
            for item in state.upstreams.matching(
                ticket.service, ticket.model, ticket.version
            )
            if item.upstream_id not in ticket.excluded_ids
            and self._can_accept(item, waited_ms)
        ]
        if not candidates:
            return None
        preferred = self._prefixes.find(ticket.prompt_hash)
        sample = self._choice.sample(candidates, preferred)
        return min(sample, key=lambda item: self._cost_ms(item, preferred))

    def _can_accept(self, upstream: Upstream, waited_ms: float) -> bool:
        state = self._state
        upstream_id = upstream.upstream_id
        if not state.is_usable(upstream_id):
            return False
        if not self._slots.may_send(upstream):
            return False
        is_near = upstream.region == self._own.region
        if not is_near and not state.cross_region_budget.has_any(state.now_ms):
            return False
        return waited_ms >= self._slow_delay_ms(upstream_id)

    def _slow_delay_ms(self, upstream_id: str) -> float:
        may_probe = self._slots.may_probe(upstream_id)
        return slow_delay_ms(self._state, upstream_id, may_probe=may_probe)

    def _cost_ms(self, upstream: Upstream, preferred: str) -> float:
        upstream_id = upstream.upstream_id
        state = self._state
        n_slots = state.n_slots.get(upstream_id, 0)
        n_used = state.ledger.n_used(upstream_id)
        return self._choice.cost_ms(
            upstream,
            occupancy=n_used / n_slots if n_slots else float(n_used),
            n_long_running=self._n_long_running[upstream_id],
            slow_ms=self._slow_delay_ms(upstream_id),
            is_preferred=upstream_id == preferred,
        )
