"""Follow an attempt over one connection after another."""

from __future__ import annotations

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.messages import (
    AttachStream,
    CancelAttempt,
    StartAttempt,
)

__all__ = ["FENCE_RAISE", "Attachment"]

FENCE_RAISE = 16_000
MAX_FENCE_RAISES = 3


class Attachment:
    """Hold the current attempt, its fencing number and its connection."""

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
        self._n_fence_raises = 0

    def start(self, upstream: Upstream, prefix_tokens: tuple[str, ...]) -> StartAttempt:
        """Begin a new attempt."""
        self.fence += 1
        self.attempt = self.fence
        self.upstream = upstream
        self.version = upstream.version
        self.is_accepted = False
        self._restart()
        return StartAttempt(self.attempt, upstream, prefix_tokens, self._connection)

    def adopt(self, attempt: int, upstream: Upstream, from_index: int) -> AttachStream:
        """Go on with an attempt that another router started."""
        self.attempt = attempt
        self.upstream = upstream
        self._restart()
        return self.attach(from_index)

    def attach(self, from_index: int) -> AttachStream:
        """Follow the attempt over a new connection."""
        assert self.upstream is not None
        self._from_index = from_index
        self._connection += 1
        return AttachStream(
            self.attempt, self.upstream, from_index, self.fence, self._connection
        )

    def leave(self) -> CancelAttempt:
        """Give the attempt up."""
        assert self.upstream is not None
        action = CancelAttempt(self.attempt, self.upstream, self.fence)
        self.attempt = 0
        return action

    def on_token(self) -> None:
        """Take in that the current connection works."""
        self.has_progress = True
        self.is_accepted = True
        self.is_broken = False

    def is_current(self, attempt: int, connection: int) -> bool:
        """Say whether a connection is the latest one of the attempt."""
        return attempt == self.attempt and connection == self._connection

    def has_asked_from(self, index: int) -> bool:
        """Say whether the latest connection was opened for this very token."""
        return self._from_index == index

    def raise_fence(self) -> bool:
        """Outbid another router, unless this one had its turn.

        A caller that reconnected twice may have been given a lower number the
        second time. Before its first token, the newest connection wins.
        """
        if self.has_progress or self._n_fence_raises >= MAX_FENCE_RAISES:
            return False
        self._n_fence_raises += 1
        self.fence += FENCE_RAISE
        return True

    def _restart(self) -> None:
        self._connection += 1
        self._from_index = None
        self.is_broken = False
