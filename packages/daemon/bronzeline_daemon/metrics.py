"""Define the metrics of a router, by workspace and class of work."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)

from bronzeline_kernel.decisions import Decision

__all__ = ["Metrics"]

LABELS = ("workspace", "work_class")
OTHER = "other"
MAX_WORKSPACES = 200
MAX_REASONS = 200
MS_PER_S = 1_000.0
LONG_BUCKETS_S = (0.01, 0.05, 0.1, 0.25, 0.5, 0.91, 2.0, 4.0, 10.0, 60.0, 600.0)
TOKEN_BUCKETS_S = (0.005, 0.01, 0.02, 0.047, 0.1, 0.25, 1.0, 4.0)


class LabelLimiter:
    """Limit the number of distinct values of a label."""

    def __init__(self, n_values: int) -> None:
        self._n_values = n_values
        self._seen: set[str] = set()

    def limit(self, value: str) -> str:
        """Return the value, or `other` once the limit is reached."""
        if value in self._seen:
            return value
        if len(self._seen) >= self._n_values:
            return OTHER
        self._seen.add(value)
        return value


class LabeledTimer:
    """Record durations by label, and cache the histogram's children."""

    def __init__(self, histogram: Histogram, workspaces: LabelLimiter) -> None:
        self._histogram = histogram
        self._workspaces = workspaces
        self._children: dict[tuple[str, ...], Histogram] = {}

    def observe(self, duration_ms: float, workspace: str, *labels: str) -> None:
        """Record a duration in milliseconds under its labels."""
        key = (workspace, *labels)
        child = self._children.get(key)
        if child is None:
            child = self._child(key)
        child.observe(duration_ms / MS_PER_S)

    def _child(self, key: tuple[str, ...]) -> Histogram:
        workspace, *labels = key
        limited = self._workspaces.limit(workspace)
        child: Histogram = self._histogram.labels(limited, *labels)
        if limited == workspace:
            self._children[key] = child
        return child


class Metrics:
    """Hold one router's metrics in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._workspaces = LabelLimiter(MAX_WORKSPACES)
        self._reasons = LabelLimiter(MAX_REASONS)
        self._requests = self._timer("request", LONG_BUCKETS_S, "outcome")
        self._queue = self._timer("queue", LONG_BUCKETS_S)
        self._first_token = self._timer("first_token", LONG_BUCKETS_S)
        self._inter_token = self._timer("inter_token", TOKEN_BUCKETS_S)
        self._resume = self._timer("resume", LONG_BUCKETS_S, "cause")
        self._decisions = Counter(
            "bronzeline_decisions",
            "Decisions by kind and reason.",
            ("kind", "reason"),
            registry=self.registry,
        )
        ProcessCollector(registry=self.registry)

    def request_ended(
        self, workspace: str, work_class: str, outcome: str, duration_ms: float
    ) -> None:
        """Record the duration of a request."""
        self._requests.observe(duration_ms, workspace, work_class, outcome)

    def queued(self, workspace: str, work_class: str, wait_ms: float) -> None:
        """Record the time that work waited for an upstream."""
        self._queue.observe(wait_ms, workspace, work_class)

    def first_token(self, workspace: str, work_class: str, wait_ms: float) -> None:
        """Record the time to the first token."""
        self._first_token.observe(wait_ms, workspace, work_class)

    def inter_token(self, workspace: str, work_class: str, gap_ms: float) -> None:
        """Record the time between two tokens."""
        self._inter_token.observe(gap_ms, workspace, work_class)

    def resumed(
        self, workspace: str, work_class: str, cause: str, duration_ms: float
    ) -> None:
        """Record the gap in the output that a resume caused."""
        limited_cause = self._reasons.limit(cause)
        self._resume.observe(duration_ms, workspace, work_class, limited_cause)

    def count_decision(self, decision: Decision) -> None:
        """Count a decision by kind and reason."""
        reason = self._reasons.limit(decision.reason)
        self._decisions.labels(decision.kind, reason).inc()

    def gauge(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"bronzeline_{name}", documentation, registry=self.registry)
        gauge.set_function(read)

    def process_value(self, name: str) -> float:
        """Return a metric of this process; 0 if the system has none."""
        return self.registry.get_sample_value(f"process_{name}") or 0.0

    def expose(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def _timer(
        self, name: str, buckets_s: tuple[float, ...], *labels: str
    ) -> LabeledTimer:
        histogram = Histogram(
            f"bronzeline_{name}_seconds",
            f"Time of {name.replace('_', ' ')} in seconds.",
            (*LABELS, *labels),
            registry=self.registry,
            buckets=buckets_s,
        )
        return LabeledTimer(histogram, self._workspaces)
