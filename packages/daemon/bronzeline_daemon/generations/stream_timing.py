"""Measure one generation's token times for dispatch and metrics."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_daemon.dispatch_service import DispatchService
from bronzeline_daemon.metrics import Metrics
from bronzeline_kernel.generation import GenerationSpec
from bronzeline_kernel.routing import Grant, WorkClass

__all__ = ["ResumeGap", "StreamTiming"]

CHARACTERS_PER_TOKEN = 4
REPORT_INTERVAL_MS = 200.0


@dataclass(frozen=True)
class ResumeGap:
    """Break down the gap in the output that one resume caused."""

    cause: str
    detection_ms: float
    choice_ms: float
    first_token_ms: float
    n_tokens_held: int
    is_attached: bool

    @property
    def total_ms(self) -> float:
        """Return the whole gap in milliseconds."""
        return self.detection_ms + self.choice_ms + self.first_token_ms


class StreamTiming:
    """Measure the token times of one generation across its attempts."""

    def __init__(
        self, spec: GenerationSpec, dispatch: DispatchService, metrics: Metrics
    ) -> None:
        self._spec = spec
        self._dispatch = dispatch
        self._metrics = metrics
        self._started_at_ms = 0.0
        self._attempt_started_at_ms = 0.0
        self._reported_at_ms = 0.0
        self._last_token_at_ms = 0.0
        self._lost_at_ms: float | None = None
        self._requested_at_ms = 0.0
        self._n_unreported = 0
        self._has_token = False
        self._is_attached = False
        self._cause = ""
        self._work_class = str(WorkClass.SHORT)

    def on_start(self, now_ms: float) -> None:
        """Record the time at which the request was accepted."""
        self._started_at_ms = now_ms
        self._last_token_at_ms = now_ms

    def on_stream_lost(self, cause: str, now_ms: float) -> None:
        """Start a gap when a stream is found lost; keep the first loss of a gap."""
        if self._lost_at_ms is None:
            self._lost_at_ms = now_ms
            self._cause = cause

    def on_stream_requested(self, now_ms: float, *, is_attached: bool) -> None:
        """Record the time at which a new or attached stream is requested."""
        self._requested_at_ms = now_ms
        self._is_attached = is_attached
        if not is_attached:
            self._attempt_started_at_ms = now_ms
            self._has_token = False

    def on_token(
        self, grant: Grant | None, n_tokens: int, now_ms: float
    ) -> ResumeGap | None:
        """Record a token's times; return the gap that it closes, if any."""
        gap = self._close_gap(n_tokens, now_ms)
        if not self._has_token:
            self._has_token = True
            self._reported_at_ms = now_ms
            # Tokens of an earlier attempt came from another upstream.
            self._n_unreported = 0
            self._on_first_token(grant, n_tokens, now_ms)
        elif gap is None:
            gap_ms = now_ms - self._last_token_at_ms
            workspace = self._spec.workspace
            self._metrics.inter_token(workspace, self._work_class, gap_ms)
        self._last_token_at_ms = now_ms
        self._n_unreported += 1
        if grant and now_ms - self._reported_at_ms >= REPORT_INTERVAL_MS:
            elapsed_ms = now_ms - self._reported_at_ms
            self._dispatch.record_tokens(grant, self._n_unreported, elapsed_ms)
            self._reported_at_ms = now_ms
            self._n_unreported = 0
        return gap

    def _on_first_token(
        self, grant: Grant | None, n_tokens: int, now_ms: float
    ) -> None:
        if grant is not None:
            n_prompt = len(self._spec.prompt) // CHARACTERS_PER_TOKEN + n_tokens
            elapsed_ms = now_ms - self._attempt_started_at_ms
            self._dispatch.record_first_token(grant, elapsed_ms, n_prompt)
        if n_tokens <= 1:
            wait_ms = now_ms - self._started_at_ms
            workspace = self._spec.workspace
            self._metrics.first_token(workspace, self._work_class, wait_ms)

    def _close_gap(self, n_tokens: int, now_ms: float) -> ResumeGap | None:
        if self._lost_at_ms is None:
            return None
        gap = ResumeGap(
            self._cause,
            self._lost_at_ms - self._last_token_at_ms,
            self._requested_at_ms - self._lost_at_ms,
            now_ms - self._requested_at_ms,
            n_tokens - 1,
            self._is_attached,
        )
        self._lost_at_ms = None
        workspace = self._spec.workspace
        self._metrics.resumed(workspace, self._work_class, gap.cause, gap.total_ms)
        return gap
