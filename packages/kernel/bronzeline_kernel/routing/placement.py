"""Choose an upstream for a waiting ticket."""

from __future__ import annotations

from collections import Counter
from random import Random
from typing import TYPE_CHECKING

from bronzeline_kernel.admission.queue import Waiter
from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.routing.choice import PrefixTable, UpstreamChoice
from bronzeline_kernel.routing.dispatch import Ticket
from bronzeline_kernel.routing.health import SLOW_RATIO

if TYPE_CHECKING:
    from bronzeline_kernel.routing.dispatcher import Dispatcher

__all__ = ["Placement"]

LONG_RUNNING_MS = 10_000.0
SLOW_DELAY_MS = 150.0
MAX_SLOW_DELAY_RATIO = 0.6


class Placement:
    """Choose upstreams by occupancy, health, region, running work and prompt."""

    def __init__(self, dispatcher: Dispatcher, own: RouterInfo, random: Random) -> None:
        self._dispatcher = dispatcher
        self._own = own
        self._choice = UpstreamChoice(own.region, own.availability_zone, random)
        self._prefixes = PrefixTable()
        self._n_long_running: Counter[str] = Counter()

    def record_grant(self, ticket: Ticket, upstream: Upstream) -> None:
        """Remember which upstream received a ticket's prompt."""
        self._prefixes.record(ticket.prompt_hash, upstream.upstream_id)

    def count_long_running(self) -> None:
        """Count the long-running and resumed generations of each upstream."""
        dispatcher = self._dispatcher
        long_running_since_ms = dispatcher.now_ms - LONG_RUNNING_MS
        self._n_long_running = Counter(
            item.grant.upstream.upstream_id
            for item in dispatcher.running.values()
            if item.granted_at_ms < long_running_since_ms or item.ticket.n_tokens_held
        )

    def choose(self, waiter: Waiter) -> Upstream | None:
        """Return the upstream that a waiter should get now, or None."""
        dispatcher = self._dispatcher
        ticket = waiter.ticket
        if dispatcher.usage.is_at_limit(ticket.workspace):
            return None
        waited_ms = dispatcher.now_ms - waiter.enqueued_at_ms
        candidates = [
            item
            for item in dispatcher.upstreams.matching(
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
        dispatcher = self._dispatcher
        upstream_id = upstream.upstream_id
        if not dispatcher.is_usable(upstream_id):
            return False
        if not dispatcher.slots.may_send(upstream):
            return False
        is_near = upstream.region == self._own.region
        if not is_near and not dispatcher.cross_region_budget.has_any(
            dispatcher.now_ms
        ):
            return False
        return waited_ms >= self.slow_delay_ms(upstream_id)

    def slow_delay_ms(self, upstream_id: str) -> float:
        """Return the delay in ms after which waiting work may use a slow upstream.

        Returns 0 for an upstream that is not slow or is due for a probe.
        """
        dispatcher = self._dispatcher
        ratio = dispatcher.health.ratio(upstream_id, dispatcher.now_ms)
        if ratio < SLOW_RATIO or dispatcher.slots.may_probe(upstream_id):
            return 0.0
        max_delay_ms = MAX_SLOW_DELAY_RATIO * dispatcher.options.first_token_target_ms
        return min(max_delay_ms, (ratio - 1.0) * SLOW_DELAY_MS)

    def _cost_ms(self, upstream: Upstream, preferred: str) -> float:
        upstream_id = upstream.upstream_id
        dispatcher = self._dispatcher
        n_slots = dispatcher.n_slots.get(upstream_id, 0)
        n_used = dispatcher.slots.ledger.n_used(upstream_id)
        return self._choice.cost_ms(
            upstream,
            occupancy=n_used / n_slots if n_slots else float(n_used),
            n_long_running=self._n_long_running[upstream_id],
            slow_ms=self.slow_delay_ms(upstream_id),
            is_preferred=upstream_id == preferred,
        )
