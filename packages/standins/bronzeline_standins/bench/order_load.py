"""Place orders and compare the responses with what the service ran."""

from __future__ import annotations

import asyncio
import time
from collections import Counter
from dataclasses import dataclass, field
from random import Random

import msgspec

from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_standins.caller import Caller, ServiceResponse
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import workspace_key

__all__ = ["OrderLoad", "OrderRecord", "Verdict"]

ANSWER_TIMEOUT_S = 5.5
RESEND_INTERVAL_S = 0.3
MS_PER_S = 1_000.0
OK = 200


@dataclass
class OrderRecord:
    """Record one order: what was sent and how often each status was received."""

    key: str
    body: str
    workspace: str
    started_at_ms: float
    first_answer_ms: float | None = None
    statuses: Counter[str] = field(default_factory=Counter)
    n_wrong_answers: int = 0
    is_decided: bool = False


@dataclass(frozen=True)
class Verdict:
    """Count violations of the order guarantees, by the service's own records."""

    n_run_twice: int
    n_false_not_run: int
    n_lost_or_crossed: int
    n_undecided: int


class OrderLoad:
    """Send orders to random routers and resend each until its outcome is known."""

    def __init__(
        self, fleet: EmbeddedFleet, seed: int, max_parallel_sends: int = 2
    ) -> None:
        self.records: list[OrderRecord] = []
        self._fleet = fleet
        self._random = Random(f"orders/{seed}")
        self._max_parallel_sends = max_parallel_sends
        self._tasks: set[asyncio.Task[None]] = set()

    async def place_orders(self, duration_s: float, rate_per_s: float) -> None:
        """Place orders at random times for a duration without waiting for responses."""
        until_s = time.monotonic() + duration_s
        while time.monotonic() < until_s:
            await asyncio.sleep(self._random.expovariate(rate_per_s))
            task = asyncio.ensure_future(self._place())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def wait_until_decided(self, limit_s: float) -> None:
        """Wait until the outcome of every order is known, at most `limit_s`."""
        if self._tasks:
            await asyncio.wait(self._tasks, timeout=limit_s)
        for task in list(self._tasks):
            task.cancel()

    def check(self, records: list[OrderRecord]) -> Verdict:
        """Compare the responses to the orders with how often the service ran each."""
        n_runs = self._fleet.order_book.n_runs
        return Verdict(
            n_run_twice=sum(n_runs[item.key] > 1 for item in records),
            n_false_not_run=sum(
                n_runs[item.key] > 0 and item.statuses["not_run"] > 0
                for item in records
            ),
            n_lost_or_crossed=sum(
                item.n_wrong_answers + _is_lost(item, n_runs[item.key])
                for item in records
            ),
            n_undecided=sum(not item.is_decided for item in records),
        )

    async def _place(self) -> None:
        number = len(self.records)
        record = OrderRecord(
            key=f"order-{number}",
            body=f"robe {number}",
            workspace=self._random.choice(self._fleet.topology.workspaces()),
            started_at_ms=_now_ms(),
        )
        self.records.append(record)
        n_sends = 1
        while not record.is_decided:
            sends = [self._send(record) for _ in range(n_sends)]
            await asyncio.gather(*sends)
            n_sends = self._random.randint(1, self._max_parallel_sends)
            if not record.is_decided:
                await asyncio.sleep(RESEND_INTERVAL_S)

    async def _send(self, record: OrderRecord) -> None:
        router = self._random.choice(self._fleet.routers)
        caller = Caller(router.caller_port, workspace_key(record.workspace))
        service = self._fleet.topology.plain_service
        order = caller.order(service, record.key, record.body.encode())
        try:
            answer = await asyncio.wait_for(order, ANSWER_TIMEOUT_S)
        except (TimeoutError, UpstreamError, OSError):
            record.statuses["no_answer"] += 1
            return
        self._record_response(record, answer)

    def _record_response(self, record: OrderRecord, answer: ServiceResponse) -> None:
        status = _status_of(answer)
        record.statuses[status] += 1
        if status == "answered":
            content = msgspec.json.decode(answer.body)
            is_own = (content["order"], content["body"]) == (record.key, record.body)
            record.n_wrong_answers += not is_own
            if record.first_answer_ms is None:
                record.first_answer_ms = _now_ms() - record.started_at_ms
        record.is_decided |= status in ("answered", "not_run")


def _status_of(answer: ServiceResponse) -> str:
    if answer.status == OK:
        return "answered"
    try:
        error = msgspec.json.decode(answer.body)["error"]
    except (msgspec.DecodeError, KeyError):
        return "no_answer"
    return str(error["run_status"])


def _is_lost(record: OrderRecord, n_runs: int) -> bool:
    return n_runs > 0 and not record.statuses["answered"]


def _now_ms() -> float:
    return time.monotonic() * MS_PER_S
