"""Send the requests of a workload on schedule and record the outcome of each."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from itertools import pairwise

from hdrh.histogram import HdrHistogram

from bronzeline_kernel.exceptions import BronzelineError
from bronzeline_standins.bench.workload import Arrival, RequestKind
from bronzeline_standins.caller import Caller, StreamedCompletion
from bronzeline_standins.token_chain import engine_request, reference_tokens
from bronzeline_standins.topology import Topology, workspace_key

__all__ = [
    "Balancer",
    "LoadRun",
    "Outcome",
    "RequestRecord",
    "expected_tokens",
    "percentile",
]

PROGRESS_INTERVAL_S = 5.0
HISTOGRAM_MIN_US = 1
HISTOGRAM_MAX_US = 3_600_000_000
HISTOGRAM_DIGITS = 3
REFUSED_STATUSES = frozenset({"429", "503"})
SPARE_TOKENS = 8

Balancer = Callable[[Arrival], int]


class Outcome(StrEnum):
    """Name how a request ended for its caller."""

    WHOLE = "whole"
    REFUSED = "refused"
    FAILED = "failed"
    CUT = "cut"
    BROKEN = "broken"


@dataclass
class RequestRecord:
    """Record the timings and the outcome of one request as seen by its caller."""

    arrival: Arrival
    started_at_ms: float
    ended_at_ms: float = 0.0
    token_times_ms: list[float] = field(default_factory=list)
    outcome: Outcome = Outcome.CUT
    detail: str = ""

    @property
    def first_token_ms(self) -> float:
        """Return the milliseconds from the request to its first token."""
        return self.token_times_ms[0] - self.started_at_ms

    @property
    def gaps_ms(self) -> list[float]:
        """Return the milliseconds between successive tokens."""
        times = self.token_times_ms
        return [later - time for time, later in pairwise(times)]

    @property
    def duration_ms(self) -> float:
        """Return the milliseconds from the request to its end."""
        return self.ended_at_ms - self.started_at_ms


class TimedCompletion(StreamedCompletion):
    """Record the arrival time of each token."""

    def __init__(self, record: RequestRecord) -> None:
        super().__init__()
        self._record = record

    def add_event(self, data: bytes) -> None:
        """Process the data of one event and record the arrival time of its token."""
        n_before = len(self.tokens)
        super().add_event(data)
        if len(self.tokens) > n_before:
            self._record.token_times_ms.append(_now_ms())


class LoadRun:
    """Send requests in an open loop, so that a slow fleet does not slow the load."""

    def __init__(
        self,
        topology: Topology,
        arrivals: Sequence[Arrival],
        balancer: Balancer,
        report: Callable[[str], None] = lambda line: None,
    ) -> None:
        self.records: list[RequestRecord] = []
        self._topology = topology
        self._arrivals = arrivals
        self._balancer = balancer
        self._report = report
        self._callers: dict[tuple[int, str], Caller] = {}

    async def run(self, drain_ms: float = 10_000.0) -> list[RequestRecord]:
        """Send every request; one that outlasts the drain keeps the outcome `CUT`."""
        started_ms = _now_ms()
        progress = asyncio.ensure_future(self._show_progress())
        requests = []
        for arrival in self._arrivals:
            wait_ms = started_ms + arrival.at_ms - _now_ms()
            await asyncio.sleep(max(0.0, wait_ms / 1000.0))
            requests.append(asyncio.ensure_future(self._send(arrival)))
        if requests:
            await asyncio.wait(requests, timeout=drain_ms / 1000.0)
        for request in (*requests, progress):
            request.cancel()
        return self.records

    async def _send(self, arrival: Arrival) -> None:
        record = RequestRecord(arrival, _now_ms())
        self.records.append(record)
        caller = self._caller(self._balancer(arrival), arrival.workspace)
        try:
            if arrival.kind is RequestKind.GENERATION:
                await self._generate(caller, record)
            else:
                await self._call_plain(caller, record)
        except (BronzelineError, OSError) as error:
            record.detail = str(error)
        record.ended_at_ms = _now_ms()

    async def _generate(self, caller: Caller, record: RequestRecord) -> None:
        arrival = record.arrival
        answer = TimedCompletion(record)
        await caller.stream(
            self._topology.model,
            arrival.prompt,
            arrival.n_tokens + SPARE_TOKENS,
            answer=answer,
        )
        record.outcome = self._classify(arrival, answer)
        record.detail = str(answer.error.get("code", ""))

    def _classify(self, arrival: Arrival, answer: StreamedCompletion) -> Outcome:
        expected = expected_tokens(self._topology.model, arrival)
        if answer.tokens != expected[: len(answer.tokens)]:
            return Outcome.BROKEN
        if answer.error:
            is_refused = str(answer.error.get("code")) in REFUSED_STATUSES
            return Outcome.REFUSED if is_refused else Outcome.FAILED
        is_whole = answer.is_done and len(answer.tokens) == len(expected)
        return Outcome.WHOLE if is_whole else Outcome.CUT

    async def _call_plain(self, caller: Caller, record: RequestRecord) -> None:
        service = self._topology.plain_service
        arrival = record.arrival
        if arrival.kind is RequestKind.ORDER:
            answer = await caller.order(service, arrival.request_id, b"an order")
        else:
            answer = await caller.status(service, arrival.request_id)
        if answer.status == 200:
            record.outcome = Outcome.WHOLE
            return
        is_refused = str(answer.status) in REFUSED_STATUSES
        record.outcome = Outcome.REFUSED if is_refused else Outcome.FAILED
        record.detail = str(answer.status)

    def _caller(self, port: int, workspace: str) -> Caller:
        if (port, workspace) not in self._callers:
            self._callers[port, workspace] = Caller(port, workspace_key(workspace))
        return self._callers[port, workspace]

    async def _show_progress(self) -> None:
        while True:
            await asyncio.sleep(PROGRESS_INTERVAL_S)
            n_ended = sum(1 for record in self.records if record.ended_at_ms)
            self._report(
                f"{len(self.records)} of {len(self._arrivals)} sent, {n_ended} ended"
            )


def percentile(values_ms: Iterable[float], percent: float) -> float:
    """Return a percentile of times in milliseconds, or 0 if there are none."""
    histogram = HdrHistogram(HISTOGRAM_MIN_US, HISTOGRAM_MAX_US, HISTOGRAM_DIGITS)
    for value_ms in values_ms:
        histogram.record_value(max(HISTOGRAM_MIN_US, round(value_ms * 1000.0)))
    value_us: float = histogram.get_value_at_percentile(percent)
    return value_us / 1000.0


def expected_tokens(model: str, arrival: Arrival, version: str = "1") -> list[str]:
    """Return the tokens that a generation without faults delivers for this arrival."""
    n_tokens = arrival.n_tokens + SPARE_TOKENS
    request = engine_request(model, arrival.prompt, n_tokens, version=version)
    return list(reference_tokens(request))


def _now_ms() -> float:
    return time.monotonic() * 1000.0
