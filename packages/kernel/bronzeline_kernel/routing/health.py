"""Judge upstreams by the router's own tokens against those of their peers."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from statistics import median

__all__ = ["HealthTable"]

SMOOTHING = 0.25
SLOW_RATIO = 1.5
MAX_RATIO = 20.0
EVIDENCE_AGE_MS = 4_000.0
HINT_AGE_MS = 5_000.0
MEDIAN_INTERVAL_MS = 200.0
FIRST_BACKOFF_MS = 400.0
MAX_BACKOFF_MS = 6_400.0
MIN_SILENCE_MS = 400.0
MIN_PEERS = 2


@dataclass
class Evidence:
    """Hold what one upstream showed this router."""

    model: str
    gap_ms: float = 0.0
    gap_at_ms: float = float("-inf")
    n_streams: int = 0
    n_failures: int = 0
    down_until_ms: float = 0.0


@dataclass(frozen=True)
class Hint:
    """Hold how slow a peer found an upstream."""

    ratio: float
    heard_at_ms: float


class HealthTable:
    """Keep a slowness ratio for each upstream; 1 is as fast as its peers."""

    def __init__(self) -> None:
        self._evidence: dict[str, Evidence] = {}
        self._hints: dict[str, dict[str, Hint]] = {}
        self._medians: dict[str, float] = {}
        self._medians_at_ms = float("-inf")
        self.n_failures: Counter[str] = Counter()

    def stream_began(self, upstream_id: str, model: str, now_ms: float) -> None:
        """Note that a grant's tokens begin to come."""
        evidence = self._of(upstream_id, model)
        evidence.n_streams += 1
        evidence.n_failures = 0
        evidence.down_until_ms = 0.0
        evidence.gap_at_ms = max(evidence.gap_at_ms, now_ms)

    def stream_ended(self, upstream_id: str) -> None:
        """Note that a grant's tokens have ended."""
        evidence = self._evidence.get(upstream_id)
        if evidence is not None and evidence.n_streams:
            evidence.n_streams -= 1

    def saw_gap(
        self, upstream_id: str, model: str, gap_ms: float, now_ms: float
    ) -> None:
        """Take in the time that one token took."""
        evidence = self._of(upstream_id, model)
        old = evidence.gap_ms or gap_ms
        evidence.gap_ms = old + SMOOTHING * (gap_ms - old)
        evidence.gap_at_ms = now_ms

    def record_failure(self, upstream_id: str, model: str, now_ms: float) -> None:
        """Leave an upstream alone for a while, longer each time."""
        evidence = self._of(upstream_id, model)
        self.n_failures[upstream_id] += 1
        if now_ms < evidence.down_until_ms:
            return
        backoff_ms = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS * 2**evidence.n_failures)
        evidence.n_failures += 1
        evidence.down_until_ms = now_ms + backoff_ms

    def saw_reachable(self, upstream_id: str) -> None:
        """Let an upstream that answers get work again."""
        evidence = self._evidence.get(upstream_id)
        if evidence is not None:
            evidence.down_until_ms = 0.0

    def heard_slow(
        self, router_id: str, ratios: dict[str, float], now_ms: float
    ) -> None:
        """Take a peer's hints in place of its last ones."""
        for hints in self._hints.values():
            hints.pop(router_id, None)
        for upstream_id, ratio in ratios.items():
            hint = Hint(ratio, now_ms)
            self._hints.setdefault(upstream_id, {})[router_id] = hint

    def is_down(self, upstream_id: str, now_ms: float) -> bool:
        """Say whether an upstream is left alone after failures."""
        evidence = self._evidence.get(upstream_id)
        return evidence is not None and now_ms < evidence.down_until_ms

    def ratio(self, upstream_id: str, now_ms: float) -> float:
        """Return how many times slower than its peers an upstream is."""
        own = self._own_ratio(upstream_id, now_ms)
        return self._hinted_ratio(upstream_id, now_ms) if own is None else own

    def own_slow(self, now_ms: float) -> dict[str, float]:
        """Return the upstreams that own evidence shows to be slow."""
        ratios = {item: self._own_ratio(item, now_ms) for item in self._evidence}
        return {
            upstream_id: round(ratio, 2)
            for upstream_id, ratio in ratios.items()
            if ratio is not None and ratio >= SLOW_RATIO
        }

    def _own_ratio(self, upstream_id: str, now_ms: float) -> float | None:
        evidence = self._evidence.get(upstream_id)
        if evidence is None or not evidence.gap_ms:
            return None
        silence_ms = now_ms - evidence.gap_at_ms
        if not evidence.n_streams and silence_ms > EVIDENCE_AGE_MS:
            return None
        gap_ms = evidence.gap_ms
        if evidence.n_streams and silence_ms > MIN_SILENCE_MS:
            gap_ms = max(gap_ms, silence_ms)
        usual_ms = self._usual_gap_ms(evidence.model, now_ms)
        return min(MAX_RATIO, gap_ms / usual_ms) if usual_ms else None

    def _usual_gap_ms(self, model: str, now_ms: float) -> float:
        if now_ms - self._medians_at_ms >= MEDIAN_INTERVAL_MS:
            self._medians_at_ms = now_ms
            gaps: dict[str, list[float]] = {}
            for item in self._evidence.values():
                if item.gap_ms and now_ms - item.gap_at_ms < 10 * EVIDENCE_AGE_MS:
                    gaps.setdefault(item.model, []).append(item.gap_ms)
            self._medians = {
                name: median(values)
                for name, values in gaps.items()
                if len(values) >= MIN_PEERS
            }
        return self._medians.get(model, 0.0)

    def _hinted_ratio(self, upstream_id: str, now_ms: float) -> float:
        """Discount what peers say by its age."""
        worst = 1.0
        for hint in self._hints.get(upstream_id, {}).values():
            freshness = max(0.0, 1.0 - (now_ms - hint.heard_at_ms) / HINT_AGE_MS)
            worst = max(worst, 1.0 + (hint.ratio - 1.0) * freshness)
        return worst

    def _of(self, upstream_id: str, model: str) -> Evidence:
        return self._evidence.setdefault(upstream_id, Evidence(model))
