"""Track the current attempt and the connection that reads its tokens."""

from __future__ import annotations

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.messages import (
    AttachStream,
    CancelAttempt,
    StartAttempt,
)

__all__ = ["FENCE_INCREMENT", "AttemptStream"]

FENCE_INCREMENT = 16_000
MAX_FENCE_INCREMENTS = 3


class AttemptStream:
    """Hold the current attempt, its fencing number and its connection number."""

    def __init__(self, fence: int, version: str) -> None:
        self.attempt = 0
        self.fence = fence
        self.version = version
        self.upstream: Upstream | None = None
        self.has_progress = False
        self.is_accepted = True
        self.is_broken = False
        self._connection = 0
        self._from_index: int | None = None
        self._n_fence_increments = 0

    def start(self, upstream: Upstream, prefix_tokens: tuple[str, ...]) -> StartAttempt:
        """Start a new attempt on an upstream, with the next fencing number."""
        self.fence += 1
        self.attempt = self.fence
        self.upstream = upstream
        self.version = upstream.version
        self.is_accepted = False
        self._reset_connection()
        return StartAttempt(self.attempt, upstream, prefix_tokens, self._connection)

    def take_over(
        self, attempt: int, upstream: Upstream, from_index: int
    ) -> AttachStream:
        """Continue an attempt that another router started, over a new connection."""
        self.attempt = attempt
        self.upstream = upstream
        self._reset_connection()
        return self.attach(from_index)

    def attach(self, from_index: int) -> AttachStream:
        """Attach to the running attempt over a new connection."""
        assert self.upstream is not None
        self._from_index = from_index
        self._connection += 1
        return AttachStream(
            self.attempt, self.upstream, from_index, self.fence, self._connection
        )

    def cancel(self) -> CancelAttempt:
        """Cancel the attempt; the attempt number becomes 0."""
        assert self.upstream is not None
        action = CancelAttempt(self.attempt, self.upstream, self.fence)
        self.attempt = 0
        return action

    def on_token(self) -> None:
        """Record that a token arrived on the current connection."""
        self.has_progress = True
        self.is_accepted = True
        self.is_broken = False

    def is_current(self, attempt: int, connection: int) -> bool:
        """Return whether a connection is the latest one of the current attempt."""
        return attempt == self.attempt and connection == self._connection

    def was_opened_at(self, index: int) -> bool:
        """Return whether the latest connection was opened to read from this token."""
        return self._from_index == index

    def increment_fence(self) -> bool:
        """Raise the fencing number above another router's, if still allowed.

        A caller that reconnects twice may get a lower fencing number the second
        time, but its latest connection takes precedence. Returns False once a token
        has arrived, or after `MAX_FENCE_INCREMENTS` increments.
        """
        if self.has_progress or self._n_fence_increments >= MAX_FENCE_INCREMENTS:
            return False
        self._n_fence_increments += 1
        self.fence += FENCE_INCREMENT
        return True

    def _reset_connection(self) -> None:
        self._connection += 1
        self._from_index = None
        self.is_broken = False
