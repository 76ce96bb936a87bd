"""Decide whether a stream is sent now, waits in this router, or is refused.

Load: a peak of 2.5 times the usual demand for some seconds, during which engines are
lost. A stream that is sent to an engine without memory for it waits there, is
preempted, and has an effect long after the peak.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.admission_decision import (
    AdmissionReport,
    AdmissionVerdict,
    StreamNeeds,
    StreamVerdict,
)
from bronzeline_kernel.forwarding.engine_room import (
    EngineRoom,
    EngineUse,
    HeldStream,
    expected_tokens,
)
from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.peer_reports import Load
from bronzeline_kernel.forwarding.placement import Placement
from bronzeline_kernel.forwarding.return_times import MIN_RETURN_MS, useful_return_ms
from bronzeline_kernel.forwarding.stream_queue import StreamQueue
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream
from bronzeline_kernel.forwarding.urgency import UrgencyTerms

__all__ = ["StreamAdmission"]

# An urgent stream that has waited for this share of the time in which it must begin is
# sent to an engine whose memory less urgent streams hold. The engine preempts the
# newest of these.
PREEMPT_AFTER_SHARE = 0.3
# The least urgent streams leave this share of a usual stream's memory free: for what
# peers sent since their last reports, and for urgent streams.
RESERVE_SHARE = 0.5
# An engine takes a copy if at most this share of its memory is in use then. Copies that
# fill engines are kept for streams that crash rarely, and cause others to be preempted
# at each peak and after each loss of engines.
COPY_MEMORY_SHARE = 0.5
# A large stream lets smaller ones pass for this share of the time that it can wait.
YIELD_SHARE = 0.5
# A configuration that does not give the slots is read as this number of them.
UNKNOWN_SLOTS = 1


@dataclass
class StreamAdmission:
    """Hold the free capacity and the waiting streams of one router."""

    placement: Placement
    room: EngineRoom = field(default_factory=EngineRoom)
    on_decision: Callable[[AdmissionReport], None] = lambda report: None
    # A router that stops holds no stream: it would be cut at the exit, while another
    # router can complete it.
    is_stopping: bool = False
    queues: defaultdict[str, StreamQueue] = field(
        default_factory=lambda: defaultdict(StreamQueue)
    )

    def decide(
        self, key: object, needs: StreamNeeds, terms: UrgencyTerms, now_ms: float
    ) -> StreamVerdict:
        """Decide on a stream that has not run."""
        queue = self.queues[needs.service]
        is_new = not queue.holds(key)
        n_tokens = expected_tokens(needs.request)
        allowed_ms = needs.begin_by_ms - needs.started_at_ms
        waiting = queue.join(
            key,
            needs.workspace,
            n_tokens,
            terms.priority,
            needs.used_ms,
            needs.started_at_ms + YIELD_SHARE * allowed_ms,
        )
        n_ahead = queue.n_ahead(key)
        # Streams that must wait don't compare engines, and the queue keeps its order
        # until it changes: both bound the cost of a long queue on each tick.
        may_go = not queue.must_wait(key, now_ms)
        engines = self._usable(needs, now_ms) if may_go else []
        verdict = self._decide(needs, terms, engines, n_ahead, may_go, now_ms)
        is_admitted = verdict.verdict is AdmissionVerdict.SEND
        is_end = (
            verdict.verdict is not AdmissionVerdict.WAIT and not waiting.is_admitted
        )
        if is_new or is_end:
            self._report(needs, terms, verdict, len(engines), now_ms)
        waiting.is_admitted = is_admitted
        if verdict.verdict is AdmissionVerdict.REFUSE:
            queue.leave(key)
        return verdict

    def sent(self, key: object, service: str, now_ms: float) -> None:
        """Remove a stream from the queue; one that can't be sent keeps its place."""
        self.queues[service].serve(key, now_ms)

    def leave(self, key: object) -> None:
        """Remove a stream that no longer waits."""
        for queue in self.queues.values():
            queue.leave(key)

    def _decide(
        self,
        needs: StreamNeeds,
        terms: UrgencyTerms,
        engines: Sequence[ListedUpstream],
        n_ahead: int,
        may_go: bool,
        now_ms: float,
    ) -> StreamVerdict:
        if may_go and not engines:
            # Without an engine that may be sent anything, the closure says when to
            # come back.
            return StreamVerdict(AdmissionVerdict.SEND, "no engine to compare")
        if needs.request.n_prompt_tokens >= terms.memory_tokens:
            return self._refuse("larger than an engine's memory", needs, 0.0, now_ms)
        if now_ms > needs.begin_by_ms:
            wait_ms = self.queues[needs.service].wait_ms(n_ahead, now_ms)
            return self._refuse("too late to begin", needs, wait_ms, now_ms)
        if may_go:
            found = self._with_room(needs, terms, engines, now_ms)
            if found:
                return StreamVerdict(AdmissionVerdict.SEND, "room", found)
            if self._may_preempt(needs, terms, now_ms):
                found = self._with_urgent_room(needs, terms, engines, now_ms)
                if found:
                    return StreamVerdict(
                        AdmissionVerdict.SEND, "room once preempted", found
                    )
        wait_ms = self.queues[needs.service].wait_ms(n_ahead, now_ms)
        if self.is_stopping:
            return self._refuse("stopping", needs, 0.0, now_ms)
        if now_ms + wait_ms > needs.begin_by_ms:
            return self._refuse("too many wait", needs, wait_ms, now_ms)
        return StreamVerdict(
            AdmissionVerdict.WAIT, "no room" if may_go else "others wait"
        )

    def _usable(self, needs: StreamNeeds, now_ms: float) -> list[ListedUpstream]:
        placement = self.placement
        permission = placement.permission
        usable = [
            item
            for item in placement.upstreams.usable(needs.service, now_ms)
            if permission.has_room(item, now_ms) and needs.may_run(item)
        ]
        healthy = [
            item
            for item in usable
            if not placement.health.is_avoided(item.incarnation, now_ms)
        ]
        return healthy or usable

    def _may_preempt(
        self, needs: StreamNeeds, terms: UrgencyTerms, now_ms: float
    ) -> bool:
        waited_ms = now_ms - needs.started_at_ms
        allowed_ms = needs.begin_by_ms - needs.started_at_ms
        has_waited = waited_ms >= PREEMPT_AFTER_SHARE * allowed_ms
        return terms.has_less_urgent and has_waited

    def _with_room(
        self,
        needs: StreamNeeds,
        terms: UrgencyTerms,
        engines: Sequence[ListedUpstream],
        now_ms: float,
    ) -> frozenset[str]:
        """Return the engines with memory for a stream that read its prompt in time."""
        peers = self.placement.peer_loads(now_ms).by_upstream
        n_silent = self.placement.n_silent_peers(now_ms)
        found = set()
        for item in engines:
            use = self._use(item.upstream_id, peers, n_silent, len(engines))
            unread = use.n_unread_tokens
            if terms.has_less_urgent:
                # The engine reads prompts in the order of their urgency.
                urgent = self.room.urgent_use(item.upstream_id, terms.urgency)
                unread = urgent.n_unread_tokens
            if self._fits(needs, terms, use, unread, now_ms):
                found.add(item.upstream_id)
        return frozenset(found)

    def _with_urgent_room(
        self,
        needs: StreamNeeds,
        terms: UrgencyTerms,
        engines: Sequence[ListedUpstream],
        now_ms: float,
    ) -> frozenset[str]:
        """Return the engine that has to preempt least to have memory for a stream."""
        peers = self.placement.peer_loads(now_ms).by_upstream
        found = {}
        for item in engines:
            upstream_id = item.upstream_id
            use = self.room.urgent_use(upstream_id, terms.urgency)
            if self._fits(needs, terms, use, use.n_unread_tokens, now_ms):
                total = self._use(upstream_id, peers, 0, len(engines))
                found[upstream_id] = total.n_tokens
        least = min(found.values(), default=0.0)
        return frozenset(key for key, value in found.items() if value <= least)

    def has_room_for_copy(
        self,
        holder: ListedUpstream,
        request: CallerRequest,
        terms: UrgencyTerms,
        now_ms: float,
    ) -> bool:
        """Return whether an engine can hold a copy and still takes new streams."""
        placement = self.placement
        peers = placement.peer_loads(now_ms).by_upstream
        n_silent = placement.n_silent_peers(now_ms)
        n_engines = len(placement.upstreams.usable(holder.service, now_ms))
        use = self._use(holder.upstream_id, peers, n_silent, n_engines)
        n_tokens = use.n_tokens + expected_tokens(request)
        return n_tokens <= COPY_MEMORY_SHARE * terms.memory_tokens

    def _use(
        self,
        upstream_id: str,
        peers: Mapping[str, Load],
        n_silent_peers: int,
        n_engines: int,
    ) -> EngineUse:
        n_own_copies = self.placement.load(upstream_id).n_copies
        return self.room.use(
            upstream_id, peers, n_silent_peers, n_engines, n_own_copies
        )

    def _fits(
        self,
        needs: StreamNeeds,
        terms: UrgencyTerms,
        use: EngineUse,
        n_unread_tokens: float,
        now_ms: float,
    ) -> bool:
        n_tokens: float = expected_tokens(needs.request)
        if not terms.has_less_urgent:
            n_tokens += RESERVE_SHARE * self.room.usual_tokens
        n_tokens = min(n_tokens, terms.memory_tokens)
        # What silent peers are assumed to have would keep the largest streams from
        # every engine for as long as one peer is silent.
        has_memory = use.n_tokens + n_tokens <= terms.memory_tokens or use.is_idle
        if not has_memory:
            return False
        if terms.n_slots > UNKNOWN_SLOTS and use.n_streams + 1 > terms.n_slots:
            return False
        pace = self.placement.pace(needs.service)
        return now_ms + pace.fastest_prompt_ms(n_unread_tokens) <= needs.begin_by_ms

    def _refuse(
        self, reason: str, needs: StreamNeeds, wait_ms: float, now_ms: float
    ) -> StreamVerdict:
        """Refuse a stream; whoever waits now is served before it comes back."""
        left_ms = max(0.0, needs.deadline_ms - now_ms)
        return_ms = useful_return_ms(max(MIN_RETURN_MS, wait_ms), left_ms)
        return_ms = max(MIN_RETURN_MS, return_ms)
        return StreamVerdict(AdmissionVerdict.REFUSE, reason, retry_after_ms=return_ms)

    def _report(
        self,
        needs: StreamNeeds,
        terms: UrgencyTerms,
        verdict: StreamVerdict,
        n_engines: int,
        now_ms: float,
    ) -> None:
        self.on_decision(
            AdmissionReport(
                needs.request.request_id,
                needs.service,
                needs.route,
                verdict,
                terms.priority,
                terms.urgency,
                expected_tokens(needs.request),
                n_engines,
                len(self.queues[needs.service]),
                now_ms - needs.started_at_ms,
                needs.deadline_ms - now_ms,
                self.placement.peer_loads(now_ms).age_ms,
            )
        )

    def hold(
        self,
        upstream_id: str,
        key: object,
        request: CallerRequest,
        urgency: int,
        *,
        is_read: bool,
    ) -> None:
        """Record a stream that is sent to an engine."""
        n_unread = 0 if is_read else request.n_prompt_tokens
        stream = HeldStream(expected_tokens(request), n_unread, urgency)
        self.room.hold(upstream_id, key, stream)
