"""Hold the state that the parts of a dispatcher share."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.admission.budget import ByteBudget
from bronzeline_kernel.admission.queue import (
    AdmissionQueue,
    QueueKey,
    Waiter,
    WaiterOrder,
)
from bronzeline_kernel.admission.release_rate import ReleaseRate
from bronzeline_kernel.admission.usage import WorkspaceUsage
from bronzeline_kernel.decisions import Decision
from bronzeline_kernel.routing.demand import DemandTable
from bronzeline_kernel.routing.dispatch import Grant, Ticket, WorkClass
from bronzeline_kernel.routing.health import HealthTable
from bronzeline_kernel.routing.messages import DispatchAction, DispatchOptions
from bronzeline_kernel.routing.slots import SlotLedger
from bronzeline_kernel.routing.upstreams import UpstreamTable

__all__ = ["DispatchState", "RunningGrant"]

LONG_PROMOTION_MS = 2_000.0
RANKS = {
    WorkClass.RESUME: 0,
    WorkClass.PLAIN: 1,
    WorkClass.SHORT: 1,
    WorkClass.LONG: 2,
}


@dataclass
class RunningGrant:
    """Track a grant whose work has not ended."""

    grant: Grant
    ticket: Ticket
    granted_at_ms: float
    last_token_at_ms: float | None = None
    is_streaming: bool = False


class DispatchState:
    """Hold a router's tickets, slots and evidence, and collect the actions."""

    def __init__(self) -> None:
        self.now_ms = 0.0
        self.options = DispatchOptions()
        self.upstreams = UpstreamTable()
        self.health = HealthTable()
        self.usage = WorkspaceUsage()
        self.rate = ReleaseRate()
        self.peer_rates: dict[str, float] = {}
        self.queue = AdmissionQueue(self.queue_order)
        self.demand = DemandTable(self._order_of)
        self.cross_region_budget = ByteBudget(self.options.cross_region_bytes_per_s)
        self.ledger = SlotLedger()
        self.running: dict[str, RunningGrant] = {}
        self.n_slots: dict[str, int] = {}
        self._actions: list[DispatchAction] = []

    def begin(self, now_ms: float) -> None:
        """Set the time, and start to collect the actions of a message."""
        self.now_ms = now_ms
        self._actions = []

    def emit(self, action: DispatchAction) -> None:
        """Add an action to the results of the current message."""
        self._actions.append(action)

    @property
    def actions(self) -> list[DispatchAction]:
        """Return the actions of the current message."""
        return self._actions

    def record(
        self,
        subject: str,
        kind: str,
        chosen: str,
        reason: str,
        against: tuple[str, ...] = (),
        details: dict[str, str] | None = None,
    ) -> None:
        """Emit a decision with the current time and configuration version."""
        self.emit(
            Decision(
                at_ms=self.now_ms,
                subject=subject,
                kind=kind,
                chosen=chosen,
                reason=reason,
                against=against,
                configuration_version=self.options.version,
                details=details or {},
            )
        )

    def is_usable(self, upstream_id: str) -> bool:
        """Return whether an upstream may get new work."""
        is_leaving = self.upstreams.is_leaving(upstream_id)
        return not is_leaving and not self.health.is_down(upstream_id, self.now_ms)

    def queue_order(self, key: QueueKey, waiter: Waiter) -> WaiterOrder:
        """Return the order of a local waiter; over budget, it ranks as long work."""
        order = self._order_of(key, waiter.enqueued_at_ms)
        if waiter.is_over_budget:
            return WaiterOrder(RANKS[WorkClass.LONG], order.usage, order.enqueued_at_ms)
        return order

    def _order_of(self, key: QueueKey, enqueued_at_ms: float) -> WaiterOrder:
        rank = RANKS[key.work_class]
        is_promoted = self.now_ms - enqueued_at_ms > LONG_PROMOTION_MS
        if key.work_class is WorkClass.LONG and is_promoted:
            rank = RANKS[WorkClass.SHORT]
        usage = self.usage.running_per_weight(key.workspace)
        return WaiterOrder(rank, usage, enqueued_at_ms)
