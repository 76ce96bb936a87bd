"""Follow the search for an earlier run of a request, and when it ends."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_options import StreamOptions

__all__ = ["EarlierRunSearch"]


@dataclass
class EarlierRunSearch:
    """Hold until when to await answers and a newer list of upstreams.

    Without a copy or a cached prompt a stream can run anywhere, so these are awaited
    for a short time. Without a proof of its version it ends, so a proof is awaited
    until all have answered: engines under load list their prompts late.
    """

    options: StreamOptions
    _deadline_ms: float | None = None
    _proof_deadline_ms: float = 0.0
    _is_answered: bool = False

    @property
    def is_open(self) -> bool:
        """Return whether the search goes on."""
        return self._deadline_ms is not None

    def begin(self, now_ms: float) -> None:
        """Start the search."""
        self._deadline_ms = now_ms + self.options.search_timeout_ms
        self._proof_deadline_ms = now_ms + self.options.proof_timeout_ms
        self._is_answered = False

    def record_answers(self) -> None:
        """Record that peers and engines have answered, failed or timed out."""
        self._is_answered = True

    def end(self) -> None:
        """End the search."""
        self._deadline_ms = None

    def has_answers(self, now_ms: float) -> bool:
        """Return whether no more answers are awaited, even for a proof."""
        return self._is_answered or now_ms >= self._proof_deadline_ms

    def awaits_proof(self, binding: StreamBinding, now_ms: float) -> bool:
        """Return whether to wait until the next tick for a proof of the version."""
        if now_ms >= self._proof_deadline_ms:
            return False
        if self.has_answers(now_ms) and not binding.awaits_list(now_ms):
            return False
        self._deadline_ms = now_ms
        return True

    def is_due(self, now_ms: float) -> bool:
        """Return whether to go on without more answers."""
        return self._deadline_ms is not None and now_ms >= self._deadline_ms

    def process_paused(self, now_ms: float) -> None:
        """Measure the search's time anew after a pause of this process."""
        if self._deadline_ms is not None:
            self._deadline_ms = now_ms + self.options.search_timeout_ms
