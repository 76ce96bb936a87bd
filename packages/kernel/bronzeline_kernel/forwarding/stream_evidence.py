"""Learn from the times of a stream, and estimate them."""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.prompt_index import Prompt
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["StreamEvidence"]


@dataclass(frozen=True)
class StreamEvidence:
    """Relate one stream's times to the pace and the health of engines."""

    request: CallerRequest
    service: str
    placement: Placement
    options: StreamOptions

    def record_event(self, attempt: Attempt, event_id: int, now_ms: float) -> None:
        """Record an event of an attempt, its first one or a later one."""
        gap_ms = now_ms - attempt.progress_at_ms
        attempt.progress_at_ms = now_ms
        if attempt.has_events:
            self.placement.pace(self.service).record_gap(gap_ms)
        else:
            attempt.has_events = True
            attempt.first_event, attempt.first_event_at_ms = event_id, now_ms
            self.record_first_event(attempt, now_ms)
            self.placement.load(attempt.upstream.upstream_id).n_prompts -= 1
        self.placement.health.record_success(attempt.upstream.incarnation, now_ms)

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
        self.placement.capacity.record_prompt(
            attempt.upstream, took_ms, n_unread_tokens, attempt.n_prompts_ahead, now_ms
        )

    def n_prompts_ahead(self, upstream: ListedUpstream, now_ms: float) -> int:
        """Return how many prompts are ahead of one that is sent, where that matters."""
        if not self.placement.capacity.is_active:
            return 0
        return self.placement.n_prompts(upstream, now_ms)

    def check_late(self, attempt: Attempt, now_ms: float) -> None:
        """Record once the wait for a first event that shows that an engine is slow."""
        capacity = self.placement.capacity
        if not capacity.is_active or attempt.is_late or attempt.is_from_copy:
            return
        n_tokens = self._n_unread_tokens(attempt.upstream, attempt.sent_at_ms)
        work = n_tokens * (1 + attempt.n_prompts_ahead)
        if attempt.has_events or n_tokens < self.request.n_prompt_tokens or not work:
            return
        waited_ms = now_ms - attempt.sent_at_ms
        if capacity.is_late(self.service, waited_ms / work, now_ms, is_prompt=True):
            attempt.is_late = True
            capacity.record_prompt(
                attempt.upstream, waited_ms, n_tokens, attempt.n_prompts_ahead, now_ms
            )

    def record_answer(self, attempt: Attempt, last_event: int) -> None:
        """Record the length of a complete answer, and how fast its events came."""
        n_timed_events = last_event - attempt.first_event
        took_ms = attempt.progress_at_ms - attempt.first_event_at_ms
        answers = self.placement.pace(self.service).answers
        answers.record(last_event, n_timed_events, took_ms)

    def shortest_rest_ms(self, after_event: int) -> float:
        """Return how long the events after this one take at least."""
        return self.placement.pace(self.service).answers.shortest_rest_ms(after_event)

    def fastest_read_ms(self, upstream: ListedUpstream, now_ms: float) -> float:
        """Return how long an upstream takes at least to read the prompt."""
        n_unread_tokens = self._n_unread_tokens(upstream, now_ms)
        return self.placement.pace(self.service).fastest_prompt_ms(n_unread_tokens)

    def is_too_late(
        self, read_ms: float, deadline_ms: float, last_event: int, now_ms: float
    ) -> bool:
        """Return whether the deadline passes before a prompt and its answer can end."""
        rest_ms = self.shortest_rest_ms(last_event)
        return now_ms + read_ms + rest_ms >= deadline_ms

    def least_times_ms(self, after_event: int) -> tuple[float, float]:
        """Return how long the whole prompt and the rest of the answer take at least."""
        pace = self.placement.pace(self.service)
        read_ms = pace.fastest_prompt_ms(self.request.n_prompt_tokens)
        return read_ms, self.shortest_rest_ms(after_event)

    def is_resent(self, route: Route, deadline_ms: float, now_ms: float) -> bool:
        """Return whether the request was sent before, to a router that is not known.

        Its prompt was read recently; reading it again may use up the time that
        is left.
        """
        if not route.is_resumable:
            return False
        is_late = (
            deadline_ms - now_ms < self.options.resent_time_share * route.timeout_ms
        )
        return self.request.after_event > 0 or is_late

    def _n_unread_tokens(self, upstream: ListedUpstream, now_ms: float) -> int:
        """Return how many tokens of the prompt an upstream has not cached."""
        request = self.request
        prompt = Prompt(request.unique_part_id, request.n_prompt_tokens)
        index = self.placement.prompts
        cached_share = index.cached_share(upstream.incarnation, prompt, now_ms)
        return round((1.0 - cached_share) * prompt.n_tokens)
