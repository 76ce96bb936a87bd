"""Detect failed and slow upstreams from the tokens that routers receive."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from statistics import median

__all__ = ["HealthTable"]

SMOOTHING = 0.25
SLOW_RATIO = 1.5
MAX_RATIO = 20.0
MAX_EVIDENCE_AGE_MS = 4_000.0
PEER_RATIO_AGE_MS = 5_000.0
MEDIAN_INTERVAL_MS = 200.0
FIRST_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 6_400.0
MIN_SILENCE_MS = 400.0
MIN_PEERS = 2


@dataclass
class Evidence:
    """Hold what this router has measured of one upstream."""

    model: str
    gap_ms: float = 0.0
    gap_at_ms: float = float("-inf")
    n_streams: int = 0
    n_failures: int = 0
    down_until_ms: float = 0.0


@dataclass(frozen=True)
class PeerRatio:
    """Hold the slowness ratio that a peer reported for an upstream."""

    ratio: float
    received_at_ms: float


class HealthTable:
    """Track failures and a slowness ratio for each upstream.

    A ratio of 1 means as fast as the median upstream with the same model.
    """

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._peer_ratios: dict[str, dict[str, PeerRatio]] = {}
        self._medians: dict[str, float] = {}
        self._medians_at_ms = float("-inf")
        self.n_failures: Counter[str] = Counter()

    def stream_started(self, upstream_id: str, model: str, now_ms: float) -> None:
        """Record the first token of a stream."""
        evidence = self._evidence_for(upstream_id, model)
        evidence.n_streams += 1
        evidence.n_failures = 0
        evidence.down_until_ms = 0.0
        evidence.gap_at_ms = max(evidence.gap_at_ms, now_ms)

    def stream_ended(self, upstream_id: str) -> None:
        """Record the end of a stream."""
        evidence = self._evidence.get(upstream_id)
        if evidence is not None and evidence.n_streams:
            evidence.n_streams -= 1

    def record_token_gap(
        self, upstream_id: str, model: str, gap_ms: float, now_ms: float
    ) -> None:
        """Add the time between two tokens, in ms, to an upstream's moving average."""
        evidence = self._evidence_for(upstream_id, model)
        old = evidence.gap_ms or gap_ms
        evidence.gap_ms = old + SMOOTHING * (gap_ms - old)
        evidence.gap_at_ms = now_ms

    def record_failure(self, upstream_id: str, model: str, now_ms: float) -> None:
        """Start a back-off that doubles with each failure, unless one is in force."""
        evidence = self._evidence_for(upstream_id, model)
        self.n_failures[upstream_id] += 1
        if now_ms < evidence.down_until_ms:
            return
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**evidence.n_failures)
        evidence.n_failures += 1
        evidence.down_until_ms = now_ms + backoff_ms

    def mark_reachable(self, upstream_id: str) -> None:
        """End the back-off of an upstream that responds again."""
        evidence = self._evidence.get(upstream_id)
        if evidence is not None:
            evidence.down_until_ms = 0.0

    def update_peer_ratios(
        self, router_id: str, ratios: dict[str, float], now_ms: float
    ) -> None:
        """Replace the ratios reported by a peer."""
        for upstream_id, ratios_by_peer in list(self._peer_ratios.items()):
            ratios_by_peer.pop(router_id, None)
            if not ratios_by_peer:
                del self._peer_ratios[upstream_id]
        for upstream_id, ratio in ratios.items():
            peer_ratio = PeerRatio(ratio, now_ms)
            self._peer_ratios.setdefault(upstream_id, {})[router_id] = peer_ratio

    def is_down(self, upstream_id: str, now_ms: float) -> bool:
        """Return whether an upstream is in back-off after failures."""
        evidence = self._evidence.get(upstream_id)
        return evidence is not None and now_ms < evidence.down_until_ms

    def ratio(self, upstream_id: str, now_ms: float) -> float:
        """Return how many times slower than its peers an upstream is.

        Peer reports count only without recent local measurements.
        """
        local = self._local_ratio(upstream_id, now_ms)
        return self._worst_peer_ratio(upstream_id, now_ms) if local is None else local

    def slow_ratios(self, now_ms: float) -> dict[str, float]:
        """Return the ratios of upstreams that are slow by local measurements."""
        ratios = {item: self._local_ratio(item, now_ms) for item in self._evidence}
        return {
            upstream_id: round(ratio, 2)
            for upstream_id, ratio in ratios.items()
            if ratio is not None and ratio >= SLOW_RATIO
        }

    def _local_ratio(self, upstream_id: str, now_ms: float) -> float | None:
        evidence = self._evidence.get(upstream_id)
        if evidence is None or not evidence.gap_ms:
            return None
        silence_ms = now_ms - evidence.gap_at_ms
        if not evidence.n_streams and silence_ms > MAX_EVIDENCE_AGE_MS:
            return None
        gap_ms = evidence.gap_ms
        if evidence.n_streams and silence_ms > MIN_SILENCE_MS:
            gap_ms = max(gap_ms, silence_ms)
        median_ms = self._median_gap_ms(evidence.model, now_ms)
        return min(MAX_RATIO, gap_ms / median_ms) if median_ms else None

    def _median_gap_ms(self, model: str, now_ms: float) -> float:
        if now_ms - self._medians_at_ms >= MEDIAN_INTERVAL_MS:
            self._medians_at_ms = now_ms
            gaps: dict[str, list[float]] = {}
            for item in self._evidence.values():
                if item.gap_ms and now_ms - item.gap_at_ms < 10 * MAX_EVIDENCE_AGE_MS:
                    gaps.setdefault(item.model, []).append(item.gap_ms)
            self._medians = {
                model_name: median(values)
                for model_name, values in gaps.items()
                if len(values) >= MIN_PEERS
            }
        return self._medians.get(model, 0.0)

    def _worst_peer_ratio(self, upstream_id: str, now_ms: float) -> float:
        """Return the worst ratio that a peer reported, discounted by its age."""
        worst = 1.0
        for peer_ratio in self._peer_ratios.get(upstream_id, {}).values():
            freshness = max(
                0.0, 1.0 - (now_ms - peer_ratio.received_at_ms) / PEER_RATIO_AGE_MS
            )
            worst = max(worst, 1.0 + (peer_ratio.ratio - 1.0) * freshness)
        return worst

    def _evidence_for(self, upstream_id: str, model: str) -> Evidence:
        return self._evidence.setdefault(upstream_id, Evidence(model))
