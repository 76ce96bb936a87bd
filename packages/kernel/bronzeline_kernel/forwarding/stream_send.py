"""Start an attempt of a stream at an upstream that was chosen."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.attempt_counts import AttemptCounts
from bronzeline_kernel.forwarding.messages import CopySource, Send
from bronzeline_kernel.forwarding.placement import Choice, Placement
from bronzeline_kernel.forwarding.request_admission import ImmediateAdmission
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_evidence import StreamEvidence
from bronzeline_kernel.forwarding.stream_limits import stream_limits
from bronzeline_kernel.forwarding.stream_load import add_load
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["StreamSender"]


@dataclass(frozen=True)
class StreamSender:
    """Count a stream's next attempt, and say how it is sent."""

    binding: StreamBinding
    placement: Placement
    evidence: StreamEvidence
    admission: ImmediateAdmission
    counts: AttemptCounts
    deadline_ms: float
    last_event: int

    def send(
        self,
        upstream: ListedUpstream,
        now_ms: float,
        copy: CopySource | None,
        choice: Choice | None,
    ) -> tuple[Attempt, Send]:
        """Start an attempt, from a copy or with the prompt."""
        service = self.evidence.service
        route = self.binding.route.admitted
        copy_to = self._choose_copy(upstream, now_ms)
        self.counts.record_sent(upstream.upstream_id)
        number = self.counts.n_sent
        n_prompt_tokens = self.binding.request.n_prompt_tokens
        attempt = Attempt.start(
            number,
            upstream,
            now_ms,
            stream_limits(route, n_prompt_tokens, self.placement.pace(service)),
            is_from_copy=copy is not None,
            copy_to=copy_to,
            n_prompts_ahead=self.evidence.n_prompts_ahead(upstream, now_ms),
        )
        add_load(self.placement, attempt)
        self.admission.sent(
            service, upstream.upstream_id, now_ms, is_from_copy=copy is not None
        )
        send = Send(
            number,
            upstream,
            max(0.0, self.deadline_ms - now_ms),
            self.last_event,
            copy,
            copy_to,
            choice,
            self.admission.urgency(service),
            # A process that has started anew has no copy, and does not run the request.
            verifies_start=copy is None and not self.binding.is_open,
        )
        return attempt, send

    def _choose_copy(
        self, upstream: ListedUpstream, now_ms: float
    ) -> ListedUpstream | None:
        """Return the engine that is to hold a copy of the run, None without one."""
        if not self.binding.route.admitted.is_resumable:
            return None
        holder = self.placement.choose_for_copy(upstream, now_ms)
        service = self.evidence.service
        if holder is None or self.admission.may_copy_to(service, holder, now_ms):
            return holder
        return None
