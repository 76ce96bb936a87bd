"""Find and keep up the copies from which a stream can resume."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import CopyRun, CopySource
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["StreamCopies"]


@dataclass(frozen=True)
class StreamCopies:
    """Relate the copies of one stream's attempts to the health of their holders."""

    request_id: str
    placement: Placement
    options: StreamOptions

    def best(self, attempt: Attempt, now_ms: float) -> CopySource | None:
        """Return a copy whose holder seems to be alive, None without one."""
        for copy in attempt.copies(self.request_id):
            if self.placement.is_holder_available(copy.holder, now_ms):
                return copy
        return None

    def to_try(self, attempt: Attempt, now_ms: float) -> CopySource | None:
        """Return the copy to resume from, also one whose holder's zone is suspect.

        A dead holder is noticed soon, and reading the prompt again takes longer.
        """
        placement = self.placement
        copies = [
            copy
            for copy in attempt.copies(self.request_id)
            if placement.may_holder_serve(copy.holder, now_ms)
            and self.may_resume_on(copy.holder, now_ms)
        ]
        for copy in copies:
            if placement.is_holder_available(copy.holder, now_ms):
                return copy
        return copies[0] if copies else None

    def may_resume_on(self, holder: ListedUpstream, now_ms: float) -> bool:
        """Return whether a stream may be sent to a holder now."""
        return self.placement.permission.may_send_ahead(holder, now_ms)

    def record(self, attempt: Attempt, copy: CopySource | None, now_ms: float) -> None:
        """Record the result of a copy request, None if it failed."""
        attempt.is_copying = False
        if copy is None:
            attempt.copy_due_ms = now_ms + self.options.copy_retry_ms
            return
        attempt.copy = copy
        attempt.copy_due_ms = now_ms + self.options.copy_refresh_ms

    def maintain(self, attempt: Attempt, now_ms: float) -> CopyRun | None:
        """Return the request for a new or fresher copy, if one is due.

        The engine itself keeps up the copy at the holder sent with the attempt, until
        that holder is lost.
        """
        if not attempt.has_events or attempt.copy_to is None:
            return None
        if now_ms < attempt.copy_due_ms:
            return None
        is_available = self.placement.is_holder_available
        if attempt.copy is None and is_available(attempt.copy_to, now_ms):
            return None
        holder = attempt.copy.holder if attempt.copy else None
        if holder is None or not is_available(holder, now_ms):
            holder = self.placement.choose_for_copy(attempt.upstream, now_ms)
        may_call = self.placement.permission.may_call
        if holder is None or not may_call(attempt.upstream, now_ms):
            return None
        attempt.copy_due_ms = now_ms + self.options.copy_refresh_ms
        attempt.is_copying = True
        return CopyRun(attempt.number, attempt.upstream, holder)
