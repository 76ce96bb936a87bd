"""Query plain services for the outcome of orders."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping
from itertools import count

from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.orders import Outcome
from bronzeline_kernel.protocols import Clock, PlainConnector
from bronzeline_kernel.routing import Grant, Refusal, Ticket, WorkClass

__all__ = ["OrderLookUp"]

TIMEOUT_MS = 1_000.0
FIRST_ERROR_STATUS = 400

HasLookUp = Callable[[str], bool]


class OrderLookUp:
    """Look up orders on upstreams granted by dispatch."""

    def __init__(
        self,
        plain: PlainConnector,
        dispatch: DispatchService,
        clock: Clock,
        has_look_up: HasLookUp,
    ) -> None:
        self._plain = plain
        self._dispatch = dispatch
        self._clock = clock
        self._has_look_up = has_look_up
        self._numbers = count()

    async def find(self, labels: Mapping[str, str]) -> Outcome | None:
        """Return the outcome of an order that ran; None if it remains unknown."""
        service = labels.get("service", "")
        if not self._has_look_up(service):
            return None
        grant = await self._grant(labels.get("workspace", ""), service)
        if grant is None:
            return None
        # The key starts with the workspace, so that no workspace finds another's
        # order under the same idempotency key.
        key = f"{labels.get('workspace', '')}/{labels.get('idempotency_key', '')}"
        try:
            response = await self._plain.look_up(grant.upstream, key, TIMEOUT_MS)
        except UpstreamError:
            return None
        finally:
            self._dispatch.release(grant)
        if response is None or response.status >= FIRST_ERROR_STATUS:
            return None
        return Outcome(response.status, dict(response.headers), response.body)

    async def _grant(self, workspace: str, service: str) -> Grant | None:
        loop = asyncio.get_running_loop()
        granted: asyncio.Future[Grant | Refusal] = loop.create_future()
        ticket = Ticket(
            ticket_id=f"look-up/{next(self._numbers)}",
            workspace=workspace,
            service=service,
            work_class=WorkClass.PLAIN,
            deadline_at_ms=self._clock.now_ms() + TIMEOUT_MS,
        )
        self._dispatch.request(ticket, granted.set_result)
        # Does not cancel the future, so that a grant that comes in the same turn of
        # the event loop as the timeout is still seen.
        await asyncio.wait([granted], timeout=TIMEOUT_MS / 1000.0)
        if not granted.done():
            self._dispatch.withdraw(ticket.ticket_id)
            return None
        result = granted.result()
        return result if isinstance(result, Grant) else None
