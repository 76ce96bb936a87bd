"""Define the metrics of a forwarding router."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector
from tornado.httputil import HTTPServerRequest

from bronzeline_daemon.forwarding.bounded_server import PlainServer
from bronzeline_daemon.forwarding.plain_response import send_plain_response

__all__ = ["ForwardingMetrics", "MetricsServer"]

MS_PER_S = 1_000.0
DURATION_BUCKETS_S = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.5, 10.0, 25.0)
GAP_BUCKETS_S = (0.05, 0.1, 0.2, 0.35, 0.5, 0.7, 1.0, 2.0, 5.0)


class ForwardingMetrics:
    """Hold one router's metrics; all labels have a small set of values."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._requests = self._histogram(
            "request", "Duration of a request.", DURATION_BUCKETS_S, "kind", "outcome"
        )
        self._first_event = self._histogram(
            "first_event", "Time to a stream's first event.", DURATION_BUCKETS_S
        )
        self._longest_gap = self._histogram(
            "longest_gap", "The longest gap of a stream.", GAP_BUCKETS_S
        )
        self._refused = self._counter("refused", "Requests refused.", "refusal")
        self._lost = self._counter("attempts_lost", "Attempts that failed.", "fault")
        self._sent = self._counter("attempts", "Attempts sent.", "way")
        self._placed = self._counter(
            "attempts_placed",
            "Attempts by the distance of the upstream and its cause.",
            "distance",
            "cause",
        )
        self._admissions = self._counter(
            "stream_admissions",
            "Decisions to send, hold or refuse a stream.",
            "route",
            "urgency",
            "verdict",
        )
        self._admission_wait = self._histogram(
            "stream_wait",
            "Time in the router until a stream was sent or refused.",
            DURATION_BUCKETS_S,
            "route",
            "urgency",
        )
        self._notices = self._counter(
            "notices",
            "Upstreams that said that they leave or rest.",
            "notice",
            "source",
        )
        self._moves = self._counter(
            "moves", "Moves of live streams off leaving upstreams.", "outcome"
        )
        self._store_calls = self._counter(
            "store_calls", "Calls to the store.", "kind", "outcome"
        )
        self._version_sent = self._counter(
            "rollout_attempts",
            "Attempts sent while a rollout of their service ran.",
            "service",
            "version",
        )
        self._rollout_stages = self._counter(
            "rollout_stages", "Stages of rollouts learned.", "service", "stage"
        )
        self._turned_away = self._counter(
            "turned_away",
            "Refused for lack of room.",
            "reason",
        )
        ProcessCollector(registry=self.registry)

    def request_ended(self, kind: str, outcome: str, duration_ms: float) -> None:
        """Record the duration of a request by its kind of work and outcome."""
        self._requests.labels(kind, outcome).observe(duration_ms / MS_PER_S)

    def stream_ended(self, first_event_ms: float, longest_gap_ms: float) -> None:
        """Record time to first event and longest gap of a stream that had events."""
        self._first_event.observe(first_event_ms / MS_PER_S)
        self._longest_gap.observe(longest_gap_ms / MS_PER_S)

    def request_refused(self, refusal: str) -> None:
        """Count a refused request."""
        self._refused.labels(refusal).inc()

    def attempt_sent(self, origin: str) -> None:
        """Count an attempt by origin: first, retry from the prompt, or from a copy."""
        self._sent.labels(origin).inc()

    def attempt_placed(self, distance: str, cause: str) -> None:
        """Count an attempt by the distance of its upstream, and by the cause."""
        self._placed.labels(distance, cause).inc()

    def attempt_lost(self, fault: str) -> None:
        """Count a failed attempt by fault."""
        self._lost.labels(fault).inc()

    def stream_decided(
        self, route: str, urgency: int, verdict: str, waited_ms: float
    ) -> None:
        """Count a decision on a stream, and how long it waited for the final one."""
        self._admissions.labels(route, str(urgency), verdict).inc()
        if verdict != "wait":
            self._admission_wait.labels(route, str(urgency)).observe(
                waited_ms / MS_PER_S
            )

    def notice_learned(self, notice: str, source: str) -> None:
        """Count an upstream's notice by kind and source, own or peer."""
        self._notices.labels(notice, source).inc()

    def move_ended(self, outcome: str) -> None:
        """Count a move of a live stream by its outcome."""
        self._moves.labels(outcome).inc()

    def store_called(self, kind: str, outcome: str) -> None:
        """Count a call to the store by kind and outcome."""
        self._store_calls.labels(kind, outcome).inc()

    def version_sent(self, service: str, version: str) -> None:
        """Count an attempt by software version while a rollout runs."""
        self._version_sent.labels(service, version).inc()

    def rollout_stage(self, service: str, stage: str) -> None:
        """Count a stage of a rollout that this router learned of."""
        self._rollout_stages.labels(service, stage).inc()

    def turned_away(self, reason: str) -> None:
        """Count a connection or request that was turned away for lack of room."""
        self._turned_away.labels(reason).inc()

    def gauge(self, name: str, documentation: str, read: Callable[[], float]) -> None:
        """Add a gauge whose value is read at each scrape."""
        gauge = Gauge(f"bronzeline_{name}", documentation, registry=self.registry)
        gauge.set_function(read)

    def gauge_by_upstream(
        self, name: str, documentation: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        """Add a gauge with a value for each upstream, read at each scrape."""
        self.registry.register(UpstreamGauge(f"bronzeline_{name}", documentation, read))

    def expose(self) -> bytes:
        """Return all metrics in Prometheus' text format."""
        return generate_latest(self.registry)

    def _histogram(
        self, name: str, text: str, buckets_s: tuple[float, ...], *labels: str
    ) -> Histogram:
        return Histogram(
            f"bronzeline_{name}_seconds",
            text,
            labels,
            registry=self.registry,
            buckets=buckets_s,
        )

    def _counter(self, name: str, text: str, *labels: str) -> Counter:
        return Counter(f"bronzeline_{name}", text, labels, registry=self.registry)


class UpstreamGauge(Collector):
    """Collect the value of each upstream that has one at the time of the scrape."""

    def __init__(
        self, name: str, documentation: str, read: Callable[[], Mapping[str, float]]
    ) -> None:
        self._name = name
        self._documentation = documentation
        self._read = read

    def collect(self) -> Iterable[Metric]:
        """Return the gauge with its current values."""
        family = GaugeMetricFamily(
            self._name, self._documentation, labels=["upstream_id"]
        )
        for upstream_id, value in self._read().items():
            family.add_metric([upstream_id], value)
        yield family


class MetricsServer(PlainServer):
    """Serve the metrics at every path."""

    def initialize(self, metrics: ForwardingMetrics) -> None:  # type: ignore[override]
        """Set the metrics to serve; tornado calls this from the constructor."""
        self._metrics = metrics
        super().initialize(self._respond)

    def _respond(self, request: HTTPServerRequest) -> None:
        headers = {"Content-Type": "text/plain; version=0.0.4"}
        send_plain_response(request, 200, self._metrics.expose(), headers)
