"""Hold the state of one attempt of a stream."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import CopySource
from bronzeline_kernel.forwarding.stream_limits import StreamLimits
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["Attempt"]


@dataclass
class Attempt:
    """Hold the state of the attempt that may append events to the response."""

    number: int
    upstream: ListedUpstream
    sent_at_ms: float
    progress_at_ms: float
    probed_at_ms: float
    limits: StreamLimits
    is_from_copy: bool = False
    copy_to: ListedUpstream | None = None
    # Prompts of all routers that the upstream was to read before this one.
    n_prompts_ahead: int = 0
    is_late: bool = False
    has_events: bool = False
    # The number and the time of the attempt's first event.
    first_event: int = 0
    first_event_at_ms: float = 0.0
    copy: CopySource | None = None
    copy_due_ms: float = 0.0
    # Whether a copy was requested and the result is not known yet.
    is_copying: bool = False

    @classmethod
    def start(
        cls,
        number: int,
        upstream: ListedUpstream,
        now_ms: float,
        limits: StreamLimits,
        *,
        is_from_copy: bool,
        copy_to: ListedUpstream | None,
        n_prompts_ahead: int,
    ) -> Attempt:
        """Return an attempt that is sent now."""
        return cls(
            number,
            upstream,
            now_ms,
            now_ms,
            now_ms,
            limits,
            is_from_copy,
            copy_to,
            n_prompts_ahead,
        )

    def copies(self, request_id: str) -> list[CopySource]:
        """Return the newest copy and the first one; none before the first event."""
        if not self.has_events:
            return []
        copies = [self.copy] if self.copy is not None else []
        holder = self.copy_to
        if holder is not None:
            copies.append(CopySource(holder, holder, request_id))
        return copies
