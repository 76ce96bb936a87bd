"""Dispatch requests round-robin without limits, as a baseline."""

from __future__ import annotations

from collections import Counter
from random import Random

from bronzeline_kernel.fleet import RouterInfo, Upstream
from bronzeline_kernel.routing import Grant, Refusal, Ticket, UpstreamView
from bronzeline_kernel.routing.messages import (
    DispatchAction,
    DispatchMessage,
    TicketRequested,
    UpstreamsRead,
)

__all__ = ["RoundRobinDispatcher"]

RETRY_AFTER_MS = 1_000.0


class RoundRobinDispatcher:
    """Grant each request the next listed upstream in turn; never queue."""

    def __init__(self, own: RouterInfo, random: Random) -> None:
        self.n_waiting = 0
        self._upstreams: tuple[Upstream, ...] = ()
        self._turns: Counter[str] = Counter()
        self._first_turn = random.randrange(1_000)

    def handle(self, message: DispatchMessage, now_ms: float) -> list[DispatchAction]:
        """Apply a listing, or grant or refuse a ticket at once."""
        match message:
            case UpstreamsRead(upstreams):
                self._upstreams = upstreams
            case TicketRequested(ticket):
                return [self._answer(ticket)]
        return []

    def record_tokens(
        self, ticket_id: str, n_tokens: int, elapsed_ms: float, now_ms: float
    ) -> None:
        """Do nothing: the baseline measures no token rates."""

    def is_stalled(self, ticket_id: str, now_ms: float) -> bool:
        """Return False: the baseline detects no stalled streams."""
        return False

    def expected_first_response_ms(self, service: str) -> float:
        """Return 0: the baseline makes no latency estimates."""
        return 0.0

    def describe(self) -> list[UpstreamView]:
        """Return no views: the baseline keeps no state per upstream."""
        return []

    def upstreams_to_poll(self) -> list[Upstream]:
        """Return no upstreams: the baseline reads no load reports."""
        return []

    def upstreams_to_watch(self) -> list[Upstream]:
        """Return no upstreams: the baseline has no back-off."""
        return []

    def _answer(self, ticket: Ticket) -> Grant | Refusal:
        candidates = [
            item
            for item in self._upstreams
            if item.service == ticket.service
            and not item.is_leaving
            and (not ticket.model or item.model == ticket.model)
            and item.upstream_id not in ticket.excluded_ids
        ]
        if not candidates:
            return Refusal(ticket.ticket_id, "no_upstream", RETRY_AFTER_MS)
        self._turns[ticket.service] += 1
        turn = self._first_turn + self._turns[ticket.service]
        return Grant(ticket.ticket_id, candidates[turn % len(candidates)], wait_ms=0.0)
