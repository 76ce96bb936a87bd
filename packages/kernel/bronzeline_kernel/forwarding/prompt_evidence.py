"""Learn from the time to a stream's first event, and estimate it."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.prompt_index import Prompt
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["PromptEvidence"]


@dataclass(frozen=True)
class PromptEvidence:
    """Relate one request's prompt to the pace and the health of engines."""

    request: CallerRequest
    service: str
    placement: Placement
    options: StreamOptions

    def record_first_event(self, attempt: Attempt, now_ms: float) -> None:
        """Record how long the prompt or the resume took, also as evidence of health."""
        pace = self.placement.pace(self.service)
        took_ms = now_ms - attempt.sent_at_ms
        if attempt.is_from_copy:
            pace.record_resume(took_ms)
            return
        n_unread_tokens = self._n_unread_tokens(attempt.upstream, attempt.sent_at_ms)
        if n_unread_tokens < self.request.n_prompt_tokens or not n_unread_tokens:
            # A cached prompt says nothing about the time to read one.
            return
        usual_ms = self.options.slow_prompt_ratio * pace.prompt_ms(n_unread_tokens)
        incarnation = attempt.upstream.incarnation
        self.placement.health.record_prompt_time(incarnation, took_ms, usual_ms, now_ms)
        pace.record_prompt(n_unread_tokens, took_ms)

    def fastest_read_ms(self, upstream: ListedUpstream, now_ms: float) -> float:
        """Return how long an upstream takes at least to read the prompt."""
        n_unread_tokens = self._n_unread_tokens(upstream, now_ms)
        return self.placement.pace(self.service).fastest_prompt_ms(n_unread_tokens)

    def _n_unread_tokens(self, upstream: ListedUpstream, now_ms: float) -> int:
        """Return how many tokens of the prompt an upstream has not cached."""
        request = self.request
        prompt = Prompt(request.unique_part_id, request.n_prompt_tokens)
        index = self.placement.prompts
        cached_share = index.cached_share(upstream.incarnation, prompt, now_ms)
        return round((1.0 - cached_share) * prompt.n_tokens)
