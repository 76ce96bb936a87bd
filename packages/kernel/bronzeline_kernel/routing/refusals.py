"""Refuse tickets that would wait too long."""

from __future__ import annotations

import math
from random import Random

from bronzeline_kernel.admission.queue import Waiter, key_of
from bronzeline_kernel.routing.dispatch import Refusal, Ticket, WorkClass
from bronzeline_kernel.routing.dispatch_state import DispatchState

__all__ = ["RefusalPolicy"]

DEFAULT_FIRST_RESPONSE_MS = 150.0
SMOOTHING = 0.1
MIN_WAIT_LIMIT_MS = 100.0
MIN_RETRY_MS = 250.0
RETRY_SPREAD_MS = 2_000.0
CHECK_INTERVAL_MS = 100.0
MIN_RATE_PER_S = 4.0


class RefusalPolicy:
    """Limit the wait of each ticket and choose a retry time for refused ones."""

    def __init__(self, state: DispatchState, random: Random) -> None:
        self._state = state
        self._random = random
        self._first_response_ms: dict[str, float] = {}
        self._next_check_ms = 0.0

    def record_first_token(self, service: str, elapsed_ms: float) -> None:
        """Record the time from a grant to its first response."""
        old = self._first_response_ms.get(service, elapsed_ms)
        self._first_response_ms[service] = old + SMOOTHING * (elapsed_ms - old)

    def expected_first_response_ms(self, service: str) -> float:
        """Return the moving average of a service's time to first response, in ms."""
        return self._first_response_ms.get(service, DEFAULT_FIRST_RESPONSE_MS)

    def wait_limit_ms(self, ticket: Ticket) -> float:
        """Return how long a ticket may wait for an upstream."""
        options = self._state.options
        if ticket.n_tokens_held:
            # The caller already has a part of the response, so a late resume is
            # better than a refusal.
            return math.inf
        if ticket.work_class is WorkClass.RESUME:
            return options.resume_wait_limit_ms
        if ticket.work_class is WorkClass.LONG:
            return options.long_wait_limit_ms
        first_response_ms = self.expected_first_response_ms(ticket.service)
        return max(MIN_WAIT_LIMIT_MS, options.first_token_target_ms - first_response_ms)

    def expire(self) -> None:
        """Refuse tickets that have waited too long or are expected to."""
        state = self._state
        is_check_due = state.now_ms >= self._next_check_ms
        if is_check_due:
            self._next_check_ms = state.now_ms + CHECK_INTERVAL_MS
        for waiter in state.queue.waiters():
            if state.now_ms >= waiter.expires_at_ms:
                state.queue.remove(waiter.ticket.ticket_id)
                self.refuse(waiter.ticket, self._code(waiter.ticket))
            elif is_check_due:
                self._refuse_if_late(waiter)

    def refuse_if_late(self, ticket_id: str) -> None:
        """Refuse a ticket at once if its expected wait is too long."""
        state = self._state
        waiter = next(
            item for item in state.queue.waiters() if item.ticket.ticket_id == ticket_id
        )
        self._refuse_if_late(waiter)

    def _refuse_if_late(self, waiter: Waiter) -> None:
        state = self._state
        if waiter.ticket.work_class is WorkClass.RESUME:
            return
        wait_ms = self.estimated_wait_ms(waiter)
        if wait_ms is None:
            return
        remaining_ms = waiter.expires_at_ms - state.now_ms
        if wait_ms > remaining_ms:
            state.queue.remove(waiter.ticket.ticket_id)
            self.refuse(waiter.ticket, self._code(waiter.ticket), wait_ms)

    def estimated_wait_ms(self, waiter: Waiter) -> float | None:
        """Return the expected wait until all work ahead is served, in milliseconds.

        Returns None if slots are released too rarely for an estimate.
        """
        state = self._state
        now_ms = state.now_ms
        rate = state.rate.per_s(now_ms) + sum(state.peer_rates.values())
        if rate < MIN_RATE_PER_S:
            return None
        key = key_of(waiter.ticket)
        order = state.queue_order(key, waiter)
        n_ahead = state.queue.n_ahead(order)
        n_ahead += state.demand.n_ahead(order, key, now_ms)
        return (n_ahead + 1) * 1000.0 / rate

    def refuse(self, ticket: Ticket, code: str, wait_ms: float = 0.0) -> None:
        """Refuse a ticket that has not run, with a randomised retry time."""
        spread_ms = self._random.uniform(0.0, max(RETRY_SPREAD_MS, wait_ms))
        retry_after_ms = MIN_RETRY_MS + wait_ms + spread_ms
        self._state.emit(Refusal(ticket.ticket_id, code, retry_after_ms))
        self._state.record(ticket.ticket_id, "refuse", "", code, ticket.excluded_ids)

    def _code(self, ticket: Ticket) -> str:
        if self._state.usage.is_at_limit(ticket.workspace):
            return "workspace_limit"
        return "overloaded"
