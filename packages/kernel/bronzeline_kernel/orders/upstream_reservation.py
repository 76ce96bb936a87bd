"""Hold the upstream that an order waits for or was granted."""

from __future__ import annotations

from bronzeline_kernel.orders.messages import (
    Action,
    CancelUpstreamRequest,
    ReleaseUpstream,
    RequestUpstream,
)

__all__ = ["UpstreamSlot"]

MAX_UPSTREAMS_TRIED = 3


class UpstreamSlot:
    """Ask for one upstream at a time and give each back once."""

    def __init__(self) -> None:
        self.can_try_another = True
        self._is_waiting = False
        self._granted_id = ""
        self._tried_ids: tuple[str, ...] = ()

    def request(self, deadline_at_ms: float) -> list[Action]:
        """Ask for an upstream that was not tried before."""
        self._is_waiting = True
        return [RequestUpstream(deadline_at_ms, self._tried_ids)]

    def take(self, upstream_id: str) -> None:
        """Take the upstream that was granted."""
        self._is_waiting = False
        self._granted_id = upstream_id

    def refuse(self) -> None:
        """Take in that none was granted."""
        self._is_waiting = False

    def exclude(self) -> list[Action]:
        """Give the upstream back and never ask for it again."""
        self._tried_ids = (*self._tried_ids, self._granted_id)
        self.can_try_another = len(self._tried_ids) < MAX_UPSTREAMS_TRIED
        return self.leave()

    def leave(self) -> list[Action]:
        """Give back what was granted, and wait no more."""
        actions: list[Action] = []
        if self._is_waiting:
            actions.append(CancelUpstreamRequest())
        if self._granted_id:
            actions.append(ReleaseUpstream())
        self._is_waiting = False
        self._granted_id = ""
        return actions
