"""Track the upstream that an order has requested or was granted."""

from __future__ import annotations

from bronzeline_kernel.orders.messages import (
    Action,
    CancelUpstreamRequest,
    ReleaseUpstream,
    RequestUpstream,
)

__all__ = ["UpstreamReservation"]

MAX_UPSTREAMS_TRIED = 3


class UpstreamReservation:
    """Request one upstream at a time and release each exactly once."""

    def __init__(self) -> None:
        self.has_attempts_left = True
        self._is_waiting = False
        self._granted_id = ""
        self._tried_ids: tuple[str, ...] = ()

    def request(self, deadline_at_ms: float) -> list[Action]:
        """Request an upstream that was not tried before."""
        self._is_waiting = True
        return [RequestUpstream(deadline_at_ms, self._tried_ids)]

    def grant(self, upstream_id: str) -> None:
        """Record the upstream that was granted."""
        self._is_waiting = False
        self._granted_id = upstream_id

    def refuse(self) -> None:
        """Record that the request was refused."""
        self._is_waiting = False

    def exclude(self) -> list[Action]:
        """Release the upstream and exclude it from further requests."""
        self._tried_ids = (*self._tried_ids, self._granted_id)
        self.has_attempts_left = len(self._tried_ids) < MAX_UPSTREAMS_TRIED
        return self.release()

    def release(self) -> list[Action]:
        """Release the granted upstream or cancel the pending request."""
        actions: list[Action] = []
        if self._is_waiting:
            actions.append(CancelUpstreamRequest())
        if self._granted_id:
            actions.append(ReleaseUpstream())
        self._is_waiting = False
        self._granted_id = ""
        return actions
