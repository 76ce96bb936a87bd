"""Accept callers' calls to plain services."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from random import Random

from bronzeline_daemon.config_distribution_service import ConfigDistributionService
from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.order_service.claim_store import ClaimStore
from bronzeline_daemon.order_service.claim_sweep import ClaimSweepTask
from bronzeline_daemon.order_service.look_up import OrderLookUp
from bronzeline_daemon.order_service.order_run import OrderRun, RunContext
from bronzeline_daemon.order_service.repeatable_run import RepeatableRun
from bronzeline_kernel.config import ResolvedOption
from bronzeline_kernel.decisions import Decision, DecisionLog
from bronzeline_kernel.membership import Members
from bronzeline_kernel.orders import (
    CLAIM_PREFIX,
    Claim,
    OrderMachine,
    OrderResult,
    OrderSpec,
    claim_key,
    decode_claim,
    request_digest,
)
from bronzeline_kernel.orders.messages import CallerLeft
from bronzeline_kernel.orders.repeatable import (
    LatencyWindow,
    RepeatableCall,
    RepeatBudget,
)
from bronzeline_kernel.orders.sweep import ClaimSweeper, is_in_doubt
from bronzeline_kernel.protocols import (
    Clock,
    ObjectStore,
    PlainConnector,
    PlainRequest,
)
from bronzeline_kernel.routing import Ticket, WorkClass

__all__ = ["OrderService", "PlainCall"]

REPEAT_RATIO = 0.1
WORKSPACE_HEADER = "Bronzeline-Workspace"
KEY_HEADER = "Idempotency-Key"


@dataclass(frozen=True)
class PlainCall:
    """Hold one caller's call to a plain service and the options for it."""

    workspace: str
    service: str
    request: PlainRequest
    deadline: ResolvedOption
    idempotency_key: str = ""
    is_key_from_caller: bool = False
    has_look_up: bool = False
    is_confirmed: bool = False
    refusal_reason: str = ""


class OrderService:
    """Run repeatable calls and orders on plain services; orders at most once."""

    def __init__(
        self,
        store: ObjectStore,
        plain: PlainConnector,
        dispatch: DispatchService,
        clock: Clock,
        decisions: DecisionLog,
        config_distribution: ConfigDistributionService,
        members: Members,
        owner: str,
        random: Random,
        wall_clock_s: Callable[[], float] = time.time,
        has_spare_writes: Callable[[], bool] = lambda: True,
    ) -> None:
        self._store = store
        self._rollout = config_distribution
        order_look_up = OrderLookUp(plain, dispatch, clock, self._has_look_up)
        self._context = RunContext(
            ClaimStore(store, wall_clock_s), plain, dispatch, order_look_up, clock
        )
        sweeper = ClaimSweeper(owner.split("/")[0], random)
        self._sweep = ClaimSweepTask(
            store,
            sweeper,
            members,
            self._retention_ms,
            order_look_up,
            wall_clock_s,
            has_spare_writes,
        )
        self._decisions = decisions
        self._owner = owner
        self._random = random
        self._wall_clock_s = wall_clock_s
        self._runs: set[OrderRun] = set()
        self._n_calls = 0
        self._latencies: dict[str, LatencyWindow] = defaultdict(LatencyWindow)
        self._budgets: dict[str, RepeatBudget] = {}

    @property
    def n_running(self) -> int:
        """Return the number of calls and orders in progress."""
        return self._n_calls + len(self._runs)

    async def run_repeatable(self, call: PlainCall) -> OrderResult:
        """Run a call that may be retried or hedged on another upstream."""
        self._n_calls += 1
        budget = self._budgets.setdefault(call.service, RepeatBudget(REPEAT_RATIO))
        latencies = self._latencies[call.service]
        ticket = self._ticket(call, f"call/{self._random.getrandbits(64):016x}")
        machine = RepeatableCall(
            ticket.deadline_at_ms, latencies.hedge_after_ms(), budget
        )
        run = RepeatableRun(self._context, machine, latencies, ticket, call.request)
        try:
            return await run.run()
        finally:
            self._n_calls -= 1

    async def run_order(self, call: PlainCall) -> OrderResult:
        """Run an order at most once across all routers and resends of its key."""
        run = self._start(call)
        try:
            result = await asyncio.shield(run.result)
        except asyncio.CancelledError:
            run.handle(CallerLeft())
            raise
        self._record(call, result)
        return result

    def make_idempotency_key(self) -> str:
        """Return an idempotency key that is unique across routers and incarnations."""
        return f"{self._owner}/{self._random.getrandbits(64):016x}"

    async def list_in_doubt(self) -> list[Claim]:
        """Return the claims of orders for which it is unknown whether they ran."""
        now_s = self._wall_clock_s()
        stored = await self._store.list_prefix(CLAIM_PREFIX)
        claims = (decode_claim(item.value) for item in stored)
        return [claim for claim in claims if is_in_doubt(claim, now_s)]

    async def run(self) -> None:
        """Delete expired claims and look up those in doubt until cancelled."""
        await self._sweep.run()

    def cancel(self) -> None:
        """Cancel every order abruptly, as when the process crashes."""
        for run in self._runs:
            run.cancel()
        self._runs.clear()

    def _has_look_up(self, service: str) -> bool:
        config = self._rollout.config.services.get(service)
        return config is not None and config.has_look_up

    def _retention_ms(self, workspace: str, service: str) -> float:
        option = self._rollout.resolve(
            "claim_retention_ms", workspace=workspace, service=service
        )
        retention_ms: float = option.value
        return retention_ms

    def _start(self, call: PlainCall) -> OrderRun:
        machine = OrderMachine(self._spec(call))
        key = claim_key(call.workspace, call.service, call.idempotency_key)
        run = OrderRun(
            context=self._context,
            machine=machine,
            key=key,
            ticket=self._ticket(call, f"{_subject(call)}/{machine.spec.nonce}"),
            request=_with_headers(call),
            on_end=self._runs.discard,
        )
        self._runs.add(run)
        run.start()
        return run

    def _spec(self, call: PlainCall) -> OrderSpec:
        request = call.request
        labels = {
            "workspace": call.workspace,
            "service": call.service,
            "idempotency_key": call.idempotency_key,
            "rule": call.deadline.rule,
            "configuration_version": str(call.deadline.version),
        }
        return OrderSpec(
            owner=self._owner,
            nonce=f"{self._owner}/{self._random.getrandbits(64):016x}",
            request_digest=request_digest(request.method, request.path, request.body),
            received_at_ms=self._context.clock.now_ms(),
            deadline_ms=call.deadline.value,
            is_key_from_caller=call.is_key_from_caller,
            has_look_up=call.has_look_up,
            is_confirmed=call.is_confirmed,
            claimed_at_s=self._wall_clock_s(),
            refusal_reason=call.refusal_reason,
            labels=tuple(labels.items()),
        )

    def _ticket(self, call: PlainCall, ticket_id: str) -> Ticket:
        deadline_at_ms = self._context.clock.now_ms() + call.deadline.value
        return Ticket(
            ticket_id=ticket_id,
            workspace=call.workspace,
            service=call.service,
            work_class=WorkClass.PLAIN,
            deadline_at_ms=deadline_at_ms,
        )

    def _record(self, call: PlainCall, result: OrderResult) -> None:
        self._decisions.record(
            Decision(
                at_ms=self._context.clock.now_ms(),
                subject=_subject(call),
                kind="order",
                chosen=result.status,
                reason=result.reason or result.status,
                rule=call.deadline.rule,
                configuration_version=call.deadline.version,
            )
        )


def _subject(call: PlainCall) -> str:
    return f"order/{call.workspace}/{call.service}/{call.idempotency_key}"


def _with_headers(call: PlainCall) -> PlainRequest:
    headers: Mapping[str, str] = {
        **call.request.headers,
        KEY_HEADER: call.idempotency_key,
        WORKSPACE_HEADER: call.workspace,
    }
    return replace(call.request, headers=headers)
