"""Send one attempt of a request to an upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from bronzeline_daemon.forwarding.connection_pool import Connection, ConnectionPool
from bronzeline_daemon.forwarding.exchange import Exchange, OutgoingRequest
from bronzeline_kernel.exceptions import (
    StreamBrokenError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from bronzeline_kernel.forwarding import (
    CallerRequest,
    EngineClient,
    Fault,
    ListedUpstream,
    ResponseHead,
    Send,
    WireFormat,
    WorkspaceKeys,
)

__all__ = ["Attempt", "AttemptListener"]

# Grace time: an upstream stops work when the budget ends. Its response is accepted
# for this long afterwards, so that the outcome of a non-idempotent request is
# logged.
OUTCOME_GRACE_MS = 1_000.0
# The body of a rejection is read to its end, so that the connection can be reused,
# unless it is longer than this or the exchange takes longer after the head.
MAX_UNUSED_BYTES = 64 * 1024
MAX_UNUSED_MS = 100.0
# The head of the response proves that the request did not run.
NOT_RUN_FAULTS = frozenset({Fault.REPLACED, Fault.FULL})


@dataclass(frozen=True)
class AttemptListener:
    """Hold the callbacks for the events of an attempt."""

    on_head: Callable[[int, ResponseHead], None]
    on_data: Callable[[int, bytes], Awaitable[None] | None]
    on_complete: Callable[[int], None]
    on_lost: Callable[[int, Fault], None]
    # Called for the head of a response that belongs to another request.
    on_skipped: Callable[[int, ResponseHead], None]
    # Called for each response of the upstream, also one that rejects the request.
    on_response: Callable[[ListedUpstream, ResponseHead], None]


@dataclass
class Attempt:
    """Send a request to one upstream and report its response to a listener."""

    send: Send
    request: CallerRequest
    workspace: WorkspaceKeys | None
    connection_pool: ConnectionPool
    wire: WireFormat
    engines: EngineClient
    listener: AttemptListener
    started_at_ms: float
    head: ResponseHead | None = None
    _connection: Connection | None = None
    _task: asyncio.Task[None] | None = field(default=None)
    _is_abandoned: bool = False
    _is_lost: bool = False
    _n_unused_bytes: int = 0
    _unused_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start in the background; abandon the attempt at the end of the grace time."""
        self._task = asyncio.create_task(self._run())
        limit_s = (self.send.budget_ms + OUTCOME_GRACE_MS) / 1000.0
        timer = asyncio.get_running_loop().call_later(limit_s, self.abandon)
        self._task.add_done_callback(lambda task: self._end(timer))

    def abandon(self) -> None:
        """Close the connection at once and report no further events."""
        self._is_abandoned = True
        if self._connection is not None:
            self._connection.close()
        if self._task is not None:
            self._task.cancel()

    @property
    def task(self) -> asyncio.Task[None] | None:
        """Return the task that runs the attempt, None before the start."""
        return self._task

    def _end(self, timer: asyncio.TimerHandle) -> None:
        """Drop the body, which no one needs any more."""
        timer.cancel()
        self.request = self.request.with_body(b"")

    @property
    def n_earlier_requests(self) -> int:
        """Return how many requests the attempt's connection has carried before."""
        return self._connection.n_requests - 1 if self._connection else 0

    async def _run(self) -> None:
        number = self.send.number
        fault = await self._exchange()
        if self._is_abandoned or self._is_lost:
            return
        if fault is None:
            self.listener.on_complete(number)
        else:
            self.listener.on_lost(number, fault)

    async def _verify_start(self) -> Fault | None:
        """Ask the upstream for its start; return why nothing is sent, if so."""
        try:
            has_started_anew = not await self.engines.has_listed_start(
                self.send.upstream
            )
        except UpstreamRefusedError:
            return Fault.FULL
        except UpstreamError:
            return Fault.UNREACHABLE
        return Fault.REPLACED if has_started_anew else None

    async def _exchange(self) -> Fault | None:
        if self.send.verifies_start:
            fault = await self._verify_start()
            if fault is not None:
                return fault
        address = self.send.upstream.address
        try:
            connection = await self.connection_pool.acquire(
                address, request_id=self.request.request_id
            )
        except UpstreamUnreachableError:
            return Fault.UNREACHABLE
        self._connection = connection
        exchange = Exchange(connection, self._on_head, self._on_data)
        try:
            await exchange.run(self._outgoing_request())
        except StreamBrokenError:
            connection.close()
            return self._head_fault() or Fault.BROKEN
        finally:
            if self._unused_timer is not None:
                self._unused_timer.cancel()
        if exchange.is_reusable and self.head is not None:
            self.connection_pool.release(address, connection, self.head.keep_alive_ms)
        else:
            connection.close()
        return self._head_fault()

    def _outgoing_request(self) -> OutgoingRequest:
        request = self.request
        headers = self.wire.upstream_headers(request, self.send, self.workspace)
        return OutgoingRequest(
            request.method, request.target, tuple(headers), request.body
        )

    def _on_head(self, status: int, headers: list[tuple[str, str]]) -> bool:
        head = self.wire.read_response(self.request, status, headers)
        if not head.is_own:
            self.listener.on_skipped(self.send.number, head)
            return False
        self.head = head
        if not head.is_other_process:
            self.listener.on_response(self.send.upstream, head)
        if not self._is_abandoned:
            self._report_head(head)
        return True

    def _report_head(self, head: ResponseHead) -> None:
        fault = self._head_fault()
        if fault is None:
            self.listener.on_head(self.send.number, head)
        elif fault in NOT_RUN_FAULTS:
            self._lose_at_head(fault)

    def _lose_at_head(self, fault: Fault) -> None:
        """Report the fault before the exchange ends, and limit the time until then."""
        self._is_lost = True
        assert self._connection is not None
        self._unused_timer = asyncio.get_running_loop().call_later(
            MAX_UNUSED_MS / 1000.0, self._connection.close
        )
        self.listener.on_lost(self.send.number, fault)

    def _on_data(self, chunk: bytes) -> Awaitable[None] | None:
        if self._is_abandoned:
            return None
        if self._head_fault() is None:
            return self.listener.on_data(self.send.number, chunk)
        self._n_unused_bytes += len(chunk)
        if self._n_unused_bytes > MAX_UNUSED_BYTES and self._connection is not None:
            self._connection.close()
        return None

    def _head_fault(self) -> Fault | None:
        """Return the fault that the response's head shows, or None."""
        head = self.head
        if head is None:
            return None
        if head.is_other_process:
            return Fault.REPLACED
        if head.is_rejected:
            return Fault.FULL
        if head.is_unproven_refusal:
            return Fault.UNPROVEN_REFUSAL
        if head.is_encoded or (head.is_success and not head.has_receipt):
            return Fault.GARBLED
        return None
