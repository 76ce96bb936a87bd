"""Place orders like a client that resends under the same key until it has a result."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from random import Random

import msgspec

from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_standins.caller import Caller, ServiceResponse

__all__ = ["OrderCall", "OrderCaller"]

NOT_RUN = "not_run"
RESEND_AFTER_S = 0.2
MAX_SENDS = 20

ListPorts = Callable[[], list[int]]


@dataclass
class OrderCall:
    """Record what the caller of one order sent and received."""

    key: str
    body: bytes
    n_sends: int = 0
    answer: ServiceResponse | None = None
    was_told_not_run: bool = False
    statuses: list[int] = field(default_factory=list)

    def is_own_answer(self) -> bool:
        """Return whether the response contains the key and body of this order."""
        if self.answer is None:
            return False
        content: Mapping[str, object] = msgspec.json.decode(self.answer.body)
        is_own_body = content.get("body", self.body.decode()) == self.body.decode()
        return content.get("order") == self.key and is_own_body

    def was_misinformed(self, n_runs: int) -> bool:
        """Return whether the responses contradict the number of executions."""
        if self.answer is not None:
            return n_runs != 1 or not self.is_own_answer()
        return self.was_told_not_run and n_runs > 0


class OrderCaller:
    """Send orders to random routers until each is answered or reported as not run."""

    def __init__(
        self, service: str, api_key: str, ports: ListPorts, random: Random
    ) -> None:
        self._service = service
        self._api_key = api_key
        self._ports = ports
        self._random = random

    async def run(self, call: OrderCall) -> None:
        """Send the order and resend it while its outcome is unknown, up to 20 times."""
        while call.n_sends < MAX_SENDS:
            call.n_sends += 1
            if await self._send(call):
                return
            await asyncio.sleep(RESEND_AFTER_S)

    async def _send(self, call: OrderCall) -> bool:
        caller = Caller(self._random.choice(self._ports()), self._api_key)
        try:
            answer = await caller.order(self._service, call.key, call.body)
        except UpstreamError:
            return False
        call.statuses.append(answer.status)
        if answer.status == 200:
            call.answer = answer
            return True
        error = msgspec.json.decode(answer.body).get("error", {})
        call.was_told_not_run = error.get("run_status") == NOT_RUN
        return call.was_told_not_run
