"""Time the attempts of one call for what is learned of upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.regions import Distance, Regions
from bronzeline_kernel.forwarding.upstream_capacity import UpstreamCapacity
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["CallTimes"]


@dataclass
class TimedAttempt:
    """Hold where and when an attempt was sent, and whether it counts as late."""

    upstream: ListedUpstream
    sent_at_ms: float
    is_late: bool = False


@dataclass
class CallTimes:
    """Record how long upstreams take for the attempts of a call."""

    capacity: UpstreamCapacity
    regions: Regions
    _attempts: dict[int, TimedAttempt] = field(default_factory=dict)

    def sent(self, number: int, upstream: ListedUpstream, now_ms: float) -> None:
        """Start to time an attempt, unless the path adds to its time."""
        distance = self.regions.distance(upstream.availability_zone)
        if self.capacity.is_active and distance is not Distance.OTHER_REGION:
            self._attempts[number] = TimedAttempt(upstream, now_ms)

    def answered(self, number: int, now_ms: float) -> None:
        """Record the time of a response that is no failure."""
        attempt = self._attempts.pop(number, None)
        if attempt is not None:
            took_ms = now_ms - attempt.sent_at_ms
            self.capacity.record_call(attempt.upstream, took_ms, now_ms)

    def ended(self, number: int) -> None:
        """Forget an attempt without a response."""
        self._attempts.pop(number, None)

    def check_late(self, now_ms: float) -> None:
        """Record once the wait for a response that shows that its upstream is slow."""
        for attempt in self._attempts.values():
            waited_ms = now_ms - attempt.sent_at_ms
            service = attempt.upstream.service
            if attempt.is_late or not self.capacity.is_late(service, waited_ms, now_ms):
                continue
            attempt.is_late = True
            self.capacity.record_call(attempt.upstream, waited_ms, now_ms)
