"""Count the outcome of a request's attempts for the rollout of a version."""

from __future__ import annotations

from bronzeline_daemon.forwarding.relay_context import RelayContext
from bronzeline_kernel.forwarding import (
    Fault,
    ResponseHead,
    Route,
    Sample,
    Send,
    WorkKind,
)

__all__ = ["RolloutSamples"]

# The connection ended or was silent, as in a zone crash.
CUT_OFF_FAULTS = frozenset({Fault.UNREACHABLE, Fault.BROKEN, Fault.SILENT})
# The upstream did not run the request for a reason that says nothing of its version.
UNCOUNTED_FAULTS = frozenset({Fault.FULL, Fault.REPLACED})


class RolloutSamples:
    """Record what became of each attempt; without a rollout there is nothing to do."""

    def __init__(self, context: RelayContext) -> None:
        self._context = context
        self._samples: dict[int, Sample] = {}
        self._is_stream = False

    def begin(self, send: Send, route: Route) -> None:
        """Count an attempt if a rollout of its service runs."""
        self._is_stream = route.kind is WorkKind.STREAM
        sample = self._context.begin_sample(send.upstream, route)
        if sample is not None:
            self._samples[send.number] = sample

    def record_response(self, number: int) -> None:
        """Record an event of a stream, or a complete response."""
        sample = self._samples.get(number)
        if sample is not None:
            sample.record_event(self._context.clock.now_ms())

    def record_head(self, number: int, head: ResponseHead) -> None:
        """Record the head of a response that is no success."""
        if head.is_failure:
            self.record_fault(number, Fault.FAILED)
        else:
            self.record_response(number)

    def restart_gaps(self) -> None:
        """Exclude a time from gaps in which this process did not read."""
        now_ms = self._context.clock.now_ms()
        for sample in self._samples.values():
            sample.restart_gap(now_ms)

    def record_fault(self, number: int, fault: Fault) -> None:
        """Record why an attempt failed."""
        sample = self._samples.pop(number, None)
        if sample is None:
            return
        if fault not in UNCOUNTED_FAULTS:
            sample.record_failure(is_cut_off=fault in CUT_OFF_FAULTS)
        sample.end()

    def record_abandoned(self, number: int) -> None:
        """Record that an attempt was overtaken or given up as silent.

        The later one of two attempts has had too little time to tell anything.
        """
        is_first = number == min(self._samples, default=0)
        sample = self._samples.pop(number, None)
        if sample is None:
            return
        if is_first or self._is_stream:
            sample.record_failure(is_cut_off=True)
        sample.end()

    def record_moved(self, number: int) -> None:
        """Stop to count an attempt whose run goes on at another upstream."""
        sample = self._samples.pop(number, None)
        if sample is not None:
            sample.end()

    def record_timeout(self) -> None:
        """Record for attempts without a response how long they had been waited for."""
        now_ms = self._context.clock.now_ms()
        for sample in self._samples.values():
            if sample.first_at_ms is None:
                sample.record_event(now_ms)

    def end(self) -> None:
        """Stop to count the attempts as running."""
        for sample in self._samples.values():
            sample.end()
        self._samples.clear()
