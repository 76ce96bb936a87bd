"""Choose where a stream goes on; each way asks the binding and the permission."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from bronzeline_kernel.forwarding.messages import CopySource, Fault
from bronzeline_kernel.forwarding.placement import Choice, Placement
from bronzeline_kernel.forwarding.prompt_index import Prompt
from bronzeline_kernel.forwarding.stream_attempt import Attempt
from bronzeline_kernel.forwarding.stream_binding import StreamBinding
from bronzeline_kernel.forwarding.stream_copies import StreamCopies
from bronzeline_kernel.forwarding.upstream_set import Incarnation, ListedUpstream

__all__ = ["StreamChoice"]

MayRun = Callable[[ListedUpstream], bool]


@dataclass(frozen=True)
class StreamChoice:
    """Choose the upstream of a stream's next attempt."""

    binding: StreamBinding
    placement: Placement
    copies: StreamCopies
    service: str
    # The upstreams at which an attempt failed, and those that were tried twice.
    tried: set[Incarnation]
    retried: set[Incarnation]
    # The ids of the upstreams that may get the stream, None for all.
    only: Collection[str] | None = None

    def may_resume_from(self, copy: CopySource, now_ms: float) -> bool:
        """Return whether the stream may go on from a copy that a peer told of."""
        holder = copy.holder
        if not self.placement.may_holder_serve(holder, now_ms):
            return False
        if not self.binding.allows(holder):
            return False
        return self.copies.may_resume_on(holder, now_ms)

    def copy_after_loss(self, attempt: Attempt, now_ms: float) -> CopySource | None:
        """Return the copy of a lost attempt from which the stream may go on."""
        copy = self.copies.to_try(attempt, now_ms)
        if copy is None or not self.binding.allows(copy.holder):
            return None
        return copy if self._is_among(copy.holder) else None

    def may_return(self, attempt: Attempt, now_ms: float) -> bool:
        """Return whether another upstream that the stream has left could take it."""
        if self.only is None:
            return False
        permission = self.placement.permission
        return any(
            item.incarnation != attempt.upstream.incarnation
            and self.may_run(item)
            and permission.has_room_ahead(item, now_ms)
            for item in self.placement.upstreams.usable(self.service, now_ms)
        )

    def may_retry_same(self, attempt: Attempt, fault: Fault, now_ms: float) -> bool:
        """Return whether to retry on the same upstream, which is done once.

        After a broken connection the upstream may be alive and still have the
        prompt cached; if it crashed, it refuses the connection immediately.
        """
        if fault is not Fault.BROKEN or attempt.upstream.incarnation in self.retried:
            return False
        if not self.placement.permission.may_send(attempt.upstream, now_ms):
            return False
        return self.binding.allows(attempt.upstream)

    def choose(
        self,
        now_ms: float,
        *,
        is_resumed: bool,
        upstream_ids: Collection[str] | None = None,
    ) -> Choice | None:
        """Choose an upstream for the prompt; those tried before come last.

        Without `upstream_ids`, all upstreams are compared.
        """
        choice = self._choose(now_ms, is_resumed, upstream_ids)
        if choice is None and self.tried:
            self.tried.clear()
            choice = self._choose(now_ms, is_resumed, upstream_ids)
        return choice

    def has_no_version(self, now_ms: float) -> bool:
        """Return whether no usable upstream may continue the stream."""
        if self.binding.is_open:
            return False
        usable = self.placement.upstreams.usable(self.service, now_ms)
        return not any(self.binding.allows(item) for item in usable)

    def prompt_list_candidates(self, now_ms: float) -> tuple[ListedUpstream, ...]:
        """Return the upstreams to ask whether they keep the prompt."""
        if not self.binding.request.unique_part_id:
            return ()
        return self.placement.prompt_list_candidates(self.service, now_ms)

    def _choose(
        self, now_ms: float, is_resumed: bool, upstream_ids: Collection[str] | None
    ) -> Choice | None:
        request = self.binding.request
        allowed: MayRun | None = None
        if not self.binding.is_open:
            allowed = self.binding.allows
        if self.only is not None:
            allowed = self.may_run
        if upstream_ids is not None:
            allowed = self._among(upstream_ids)

        def place(may_run: MayRun | None) -> Choice | None:
            return self.placement.choose_for_stream(
                self.service,
                now_ms,
                self.tried,
                Prompt(request.unique_part_id, request.n_prompt_tokens),
                is_resumed=is_resumed,
                may_run=_both(allowed, may_run),
                target_ms=self.binding.route.admitted.target_latency_ms,
            )

        versions = self.binding.versions
        if versions is None or not self.binding.is_open:
            return place(None)
        return versions.choose(self.service, place, self._required(now_ms))

    def _among(self, upstream_ids: Collection[str]) -> MayRun:
        """Return a check whether the stream may run at one of some upstreams."""
        return lambda item: item.upstream_id in upstream_ids and self.may_run(item)

    def admission_check(self, now_ms: float) -> MayRun:
        """Return a check at which upstreams the admission may look for room."""
        return _both(self.may_run, self._required(now_ms)) or self.may_run

    def _required(self, now_ms: float) -> MayRun | None:
        """Return where alone a rollout lets the stream begin, None without one."""
        versions, placement = self.binding.versions, self.placement
        if versions is None or not self.binding.is_open:
            return None
        return versions.required(
            self.service,
            (
                item
                for item in placement.upstreams.usable(self.service, now_ms)
                if placement.permission.has_room(item, now_ms)
                and not placement.health.is_avoided(item.incarnation, now_ms)
            ),
        )

    def may_run(self, upstream: ListedUpstream) -> bool:
        """Return whether the stream may go on at an upstream."""
        if not self._is_among(upstream):
            return False
        if not self.binding.is_open:
            return self.binding.allows(upstream)
        versions = self.binding.versions
        return versions is None or versions.may_choose(upstream)

    def _is_among(self, upstream: ListedUpstream) -> bool:
        return self.only is None or upstream.upstream_id in self.only


def _both(first: MayRun | None, second: MayRun | None) -> MayRun | None:
    """Return a check that passes where both do; None passes everywhere."""
    if first is None or second is None:
        return first or second
    return lambda upstream: first(upstream) and second(upstream)
