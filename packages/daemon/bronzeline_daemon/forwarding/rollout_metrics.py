"""Expose how far rollouts are, as this router knows it at the time of the scrape."""

from __future__ import annotations

from collections.abc import Iterable

from prometheus_client.core import GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from bronzeline_daemon.forwarding.rollout_directory import RolloutDirectory
from bronzeline_daemon.forwarding.rollout_exchange import RolloutExchange
from bronzeline_kernel.forwarding import RolloutAnnouncement, Stage
from bronzeline_kernel.forwarding.rollout import VersionCounts
from bronzeline_kernel.protocols import Clock

__all__ = ["RolloutCollector"]

# The store's state for a router that follows, and so does not read it.
RUNNING_STATE = "running"


class RolloutCollector(Collector):
    """Collect the stage, shares and counts of each service's latest rollout."""

    def __init__(
        self, exchange: RolloutExchange, directory: RolloutDirectory, clock: Clock
    ) -> None:
        self._exchange = exchange
        self._directory = directory
        self._clock = clock

    def collect(self) -> Iterable[Metric]:
        """Return the gauges with their current values."""
        now_ms = self._clock.now_ms()
        ages = GaugeMetricFamily(
            "bronzeline_rollout_age_ms",
            "Time since the order was read, with what is known of the rollout.",
            labels=["service", "version", "state", "stage", "decider", "reason"],
        )
        shares = GaugeMetricFamily(
            "bronzeline_rollout_share",
            "Share of a route's requests that goes to the candidate.",
            labels=["service", "route"],
        )
        counts = GaugeMetricFamily(
            "bronzeline_rollout_count",
            "Attempts by outcome, as the routers have reported.",
            labels=["service", "version", "route", "outcome"],
        )
        count_ages = GaugeMetricFamily(
            "bronzeline_rollout_count_age_ms",
            "Age of the newest report with a version and route.",
            labels=["service", "version", "route"],
        )
        for known in self._exchange.traffic.all_announced():
            announced = self._exchange.traffic.announced(known.service, now_ms) or known
            ages.add_metric(self._describe(announced), max(0.0, announced.age_ms))
            for route, share in _shares(announced, self._exchange):
                shares.add_metric([announced.service, route], share)
            fleet = self._exchange.fleet(announced.service)
            key_ages = fleet.ages_ms(now_ms)
            for key, item in fleet.totals().items():
                count_ages.add_metric([announced.service, *key], key_ages[key])
                for outcome, count in _outcomes(item):
                    counts.add_metric([announced.service, *key, outcome], count)
        yield from (ages, shares, counts, count_ages)

    def _describe(self, announced: RolloutAnnouncement) -> list[str]:
        stages = self._directory.stages(announced.service)
        state = RUNNING_STATE
        if announced.stage is Stage.WAITING:
            state = ""
        elif announced.stage.is_final:
            state = announced.stage.value
        reason = ""
        if stages is not None:
            state = stages.order.state.value if stages.order.state else ""
            reason = stages.reason
        return [
            announced.service,
            announced.version,
            state,
            announced.stage.value,
            announced.decider,
            reason,
        ]


def _shares(
    announced: RolloutAnnouncement, exchange: RolloutExchange
) -> Iterable[tuple[str, float]]:
    """Return the candidate's share of each route."""
    if announced.stage is Stage.CANARY:
        yield from announced.shares
        return
    is_in_use = announced.stage.is_shifted or announced.stage is Stage.COMPLETED
    for route in sorted(exchange.targets_ms(announced.service)):
        yield route, float(is_in_use)


def _outcomes(item: VersionCounts) -> Iterable[tuple[str, int]]:
    yield "sent", item.n_sent
    yield "running", item.n_running
    yield "answered", item.n_answered
    yield "failed", item.n_failed
    yield "lost", item.n_lost
