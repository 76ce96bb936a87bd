"""Learn how fast each upstream works in comparison to the others of its service.

Addresses upstreams of one service that differ in speed, slow down long before they are
full, are slow for some seconds or have just started. A router sends a few requests a
second to each, too few to find a concurrency limit, so routers share the times that
they see, and choose by the expected delay of one more request.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from statistics import median_low

from bronzeline_kernel.forwarding.learned_time import LearnedTime
from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = [
    "CapacityChange",
    "CapacityOptions",
    "CapacityReport",
    "CapacitySample",
    "UpstreamCapacity",
]

# Reports of more upstreams are split, so that each fits into one IP packet.
MAX_REPORTED = 24
# A report may not make up more samples than a router can have seen in between.
MAX_REPORTED_SAMPLES = 1_000
# Limits the mean logarithm of a report, as times beyond a day can't be seen and the
# exponential of a larger one overflows.
MAX_MEAN_LOG = math.log(86_400_000.0)


@dataclass(frozen=True)
class CapacityOptions:
    """Set how fast a learned time follows what is seen, and what counts as even."""

    # Without new samples, evidence halves in this time, so that an upstream that was
    # slow gets another try. It is some tens of calls, or some prompts.
    call_half_life_ms: float = 1_000.0
    prompt_half_life_ms: float = 20_000.0
    # Limits the weight of former samples, so that a change is followed within as many.
    max_weight: float = 8.0
    # A peer's sample of a call counts less than this router's own. If all routers
    # trusted them fully, they would all leave an upstream at once, and fill the others.
    # Prompts are too few for that.
    call_peer_share: float = 0.25
    # Weight of the service's median: one sample counts half.
    prior_weight: float = 1.0
    # An upstream with less evidence does not count for the median: its times are old.
    min_median_weight: float = 0.1
    # Upstreams whose times differ by less are even, and chosen by their load alone. The
    # time of a prompt also varies with prompts of peers that are not reported yet.
    even_call_ratio: float = 1.3
    even_prompt_ratio: float = 2.0
    max_ratio: float = 20.0
    # A call without a response counts as slow after so many times the median.
    late_ratio: float = 3.0
    refresh_ms: float = 100.0


@dataclass(frozen=True)
class CapacityChange:
    """Report that an upstream became faster or slower than others, or even again."""

    upstream_id: str
    ratio: float
    weight: float


@dataclass(frozen=True)
class CapacitySample:
    """Hold the number of new times, and the sum of their logarithms."""

    started_at_ms: int
    is_prompt: bool
    n_seen: int
    log_sum: float


@dataclass(frozen=True)
class CapacityReport:
    """Report the times that a router has seen since its last report, by upstream id."""

    samples: dict[str, CapacitySample]


@dataclass(frozen=True)
class Median:
    """Hold the median of a service's mean logarithms, and when it was taken."""

    value: float | None
    at_ms: float


@dataclass
class UpstreamCapacity:
    """Hold the learned times of all upstreams; without `is_active` all are even."""

    is_active: bool = False
    options: CapacityOptions = field(default_factory=CapacityOptions)
    on_change: Callable[[CapacityChange], None] = lambda change: None
    # By whether they are times of prompts: a call and a token can't be compared.
    _learned: dict[tuple[Incarnation, bool], LearnedTime] = field(default_factory=dict)
    _medians: dict[tuple[str, bool], Median] = field(default_factory=dict)

    def record_call(
        self, upstream: ListedUpstream, took_ms: float, now_ms: float
    ) -> None:
        """Record the time from sending a call to its response."""
        self._record(upstream, took_ms, now_ms, is_prompt=False)

    def record_prompt(
        self,
        upstream: ListedUpstream,
        took_ms: float,
        n_tokens: int,
        n_ahead: int,
        now_ms: float,
    ) -> None:
        """Record the time to the first event of a prompt that waited for others.

        Time for each token tells a slow engine from a long prompt, and the number of
        prompts ahead tells it from a loaded engine.
        """
        per_token_ms = took_ms / (max(1, n_tokens) * (1 + n_ahead))
        self._record(upstream, per_token_ms, now_ms, is_prompt=True)

    def ratio(
        self, upstream: ListedUpstream, now_ms: float, *, is_prompt: bool = False
    ) -> float:
        """Return how long calls or prompts take, as a multiple of the median.

        The result is exactly 1 for an upstream that is even with others.
        """
        learned = self._learned.get((upstream.incarnation, is_prompt))
        if not self.is_active or learned is None:
            return 1.0
        median = self._median(upstream.service, is_prompt, now_ms)
        return 1.0 if median is None else self._ratio(learned, median, now_ms)

    def usual_ms(
        self, service: str, now_ms: float, *, is_prompt: bool = False
    ) -> float | None:
        """Return a service's median time, None before there is one.

        It is the time of a call, or of a token of a prompt.
        """
        median = self._median(service, is_prompt, now_ms)
        return None if median is None else math.exp(median)

    def call_delay_ms(
        self, upstream: ListedUpstream, n_calls_ms: float, now_ms: float
    ) -> float:
        """Return the expected delay of one more call beyond that of an idle, even one.

        `n_calls_ms` is the delay by this router's calls that run at the upstream.
        """
        ratio = self.ratio(upstream, now_ms)
        if ratio == 1.0:
            return n_calls_ms
        usual_ms = self.usual_ms(upstream.service, now_ms) or 0.0
        return ratio * n_calls_ms + (ratio - 1.0) * usual_ms

    def prompt_delay_share(
        self,
        upstream: ListedUpstream,
        n_prompts: int,
        streams_share: float,
        slowness: float,
        now_ms: float,
    ) -> float:
        """Return the expected delay of one more prompt as a share of a usual one.

        `n_prompts` and `streams_share` are the delay by other work at usual speed,
        `slowness` the share by which this router's recent prompts took longer.
        """
        ratio = self.ratio(upstream, now_ms, is_prompt=True)
        if ratio == 1.0:
            # In this order, costs without learned capacity are bit for bit the same.
            return slowness + n_prompts + streams_share
        return max(slowness, ratio - 1.0) + ratio * (n_prompts + streams_share)

    def is_late(
        self, service: str, waited_ms: float, now_ms: float, *, is_prompt: bool = False
    ) -> bool:
        """Return whether a request without response shows that its upstream is slow.

        For a prompt, `waited_ms` is the time for each token.
        """
        if not self.is_active:
            return False
        usual_ms = self.usual_ms(service, now_ms, is_prompt=is_prompt)
        return usual_ms is not None and waited_ms > self.options.late_ratio * usual_ms

    def reports(self) -> list[CapacityReport]:
        """Return what was seen since the last reports, which peers have not."""
        # A report has one sample of an id: another incarnation, or the prompts of an
        # upstream that gets calls too, are in the next one.
        reports: list[dict[str, CapacitySample]] = []
        for ((upstream_id, started_at_ms), _), item in self._learned.items():
            if item.n_unreported:
                samples = next(
                    (
                        x
                        for x in reports
                        if len(x) < MAX_REPORTED and upstream_id not in x
                    ),
                    None,
                )
                if samples is None:
                    samples = {}
                    reports.append(samples)
                samples[upstream_id] = CapacitySample(
                    started_at_ms,
                    item.is_prompt,
                    item.n_unreported,
                    item.unreported_log_sum,
                )
                item.n_unreported, item.unreported_log_sum = 0, 0.0
        return [CapacityReport(samples) for samples in reports]

    def receive(
        self,
        report: CapacityReport,
        find: Callable[[str], ListedUpstream | None],
        now_ms: float,
    ) -> None:
        """Add what a peer has seen of upstreams that this router lists as the same."""
        if not self.is_active:
            return
        for upstream_id, sample in report.samples.items():
            upstream = find(upstream_id)
            if upstream is None or upstream.started_at_ms != sample.started_at_ms:
                continue
            is_valid = 0 < sample.n_seen <= MAX_REPORTED_SAMPLES
            if is_valid and math.isfinite(sample.log_sum):
                mean_log = sample.log_sum / sample.n_seen
                mean_log = max(-MAX_MEAN_LOG, min(MAX_MEAN_LOG, mean_log))
                max_weight = self.options.max_weight
                learned = self._get(upstream, sample.is_prompt)
                share = 1.0 if sample.is_prompt else self.options.call_peer_share
                weight = share * sample.n_seen
                learned.add(weight, mean_log, max_weight, now_ms)

    def ratios(self, now_ms: float) -> Mapping[str, float]:
        """Return the ratio of each upstream of which times are known, by its id.

        Of calls and prompts, the one that differs more from the median counts.
        """
        found: dict[str, float] = {}
        for ((upstream_id, _), _), item in self._learned.items():
            median = self._median(item.service, item.is_prompt, now_ms)
            ratio = 1.0 if median is None else self._ratio(item, median, now_ms)
            known = found.get(upstream_id, 1.0)
            is_farther = abs(math.log(ratio)) > abs(math.log(known))
            found[upstream_id] = ratio if is_farther else known
        return found

    def keep_only(self, incarnations: set[Incarnation]) -> None:
        """Drop upstreams that are not listed."""
        for key in [x for x in self._learned if x[0] not in incarnations]:
            del self._learned[key]
        services = {(x.service, x.is_prompt) for x in self._learned.values()}
        for service in self._medians.keys() - services:
            del self._medians[service]

    def detect_changes(self, now_ms: float) -> None:
        """Report which upstreams have become even or uneven with others."""
        for ((upstream_id, _), _), item in self._learned.items():
            median = self._median(item.service, item.is_prompt, now_ms)
            ratio = 1.0 if median is None else self._ratio(item, median, now_ms)
            if (ratio == 1.0) != item.is_even:
                item.is_even = ratio == 1.0
                weight = item.weight_at(now_ms)
                self.on_change(CapacityChange(upstream_id, ratio, weight))

    def _record(
        self,
        upstream: ListedUpstream,
        took_ms: float,
        now_ms: float,
        *,
        is_prompt: bool,
    ) -> None:
        if not self.is_active or took_ms <= 0.0:
            return
        learned, log_ms = self._get(upstream, is_prompt), math.log(took_ms)
        learned.add(1.0, log_ms, self.options.max_weight, now_ms)
        learned.n_unreported += 1
        learned.unreported_log_sum += log_ms

    def _get(self, upstream: ListedUpstream, is_prompt: bool) -> LearnedTime:
        key = upstream.incarnation, is_prompt
        learned = self._learned.get(key)
        if learned is None:
            options = self.options
            half_life_ms = options.call_half_life_ms
            if is_prompt:
                half_life_ms = options.prompt_half_life_ms
            learned = LearnedTime(upstream.service, is_prompt, half_life_ms)
            self._learned[key] = learned
        return learned

    def _ratio(self, learned: LearnedTime, median: float, now_ms: float) -> float:
        options = self.options
        weight = learned.weight_at(now_ms)
        trust = weight / (weight + options.prior_weight)
        log_ratio = (learned.mean_log - median) * trust
        even_ratio = options.even_call_ratio
        if learned.is_prompt:
            even_ratio = options.even_prompt_ratio
        if abs(log_ratio) < math.log(even_ratio):
            return 1.0
        return math.exp(min(log_ratio, math.log(options.max_ratio)))

    def _median(self, service: str, is_prompt: bool, now_ms: float) -> float | None:
        """Return the median of the recent mean logarithms, at most 100 ms old."""
        known = self._medians.get((service, is_prompt))
        if known is not None and 0.0 <= now_ms - known.at_ms < self.options.refresh_ms:
            return known.value
        values = [
            item.mean_log
            for item in self._learned.values()
            if (item.service, item.is_prompt) == (service, is_prompt)
            and item.weight_at(now_ms) >= self.options.min_median_weight
        ]
        # The lower one of two, so that the slower of two upstreams is known as slow.
        value = median_low(values) if values else None
        self._medians[service, is_prompt] = Median(value, now_ms)
        return value
