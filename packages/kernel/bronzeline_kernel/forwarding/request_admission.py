"""Connect one stream with the admission of its router."""

from __future__ import annotations

from collections.abc import Callable

from bronzeline_kernel.forwarding.admission_decision import (
    AdmissionVerdict,
    StreamNeeds,
    StreamVerdict,
)
from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.stream_admission import StreamAdmission
from bronzeline_kernel.forwarding.stream_options import StreamOptions
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream
from bronzeline_kernel.forwarding.urgency import UrgencyTerms

__all__ = ["ImmediateAdmission", "RequestAdmission"]

# Callers that come for the first time have a larger share of the time-out left.
RETURN_SHARE = StreamOptions().resent_time_share
SEND_ANYWHERE = StreamVerdict(AdmissionVerdict.SEND)


class ImmediateAdmission:
    """Admit every stream at once, and leave its urgency to the upstream."""

    started_at_ms = 0.0
    is_waiting = False

    def start(self, now_ms: float) -> None:
        """Record when the stream came."""
        self.started_at_ms = now_ms

    def decide(
        self,
        service: str,
        deadline_ms: float,
        least_times_ms: tuple[float, float],
        may_run: Callable[[ListedUpstream], bool],
        now_ms: float,
        *,
        may_have_run: bool,
    ) -> StreamVerdict:
        """Decide whether the stream is sent now, waits or is refused."""
        return SEND_ANYWHERE

    def urgency(self, service: str) -> int | None:
        """Return the urgency of a send, None to leave it to the upstream."""
        return None

    def wait(self) -> None:
        """Have an admitted stream decided on anew, as no engine could be chosen."""

    def may_copy_to(self, service: str, holder: ListedUpstream, now_ms: float) -> bool:
        """Return whether an engine may be given a copy of the stream."""
        return True

    def sent(
        self, service: str, upstream_id: str, now_ms: float, *, is_from_copy: bool
    ) -> None:
        """Record that the stream is at an engine."""

    def began(self) -> None:
        """Record that the engine has read the prompt."""

    def released(self) -> None:
        """Record that the stream is neither at an engine nor waiting."""


class RequestAdmission(ImmediateAdmission):
    """Admit a stream by its priority and the engines' free capacity.

    `find_terms` returns the terms in force at a service, None where priorities don't
    differ.
    """

    def __init__(
        self,
        admission: StreamAdmission,
        request: CallerRequest,
        route: Route,
        workspace: str,
        find_terms: Callable[[str], UrgencyTerms | None],
    ) -> None:
        self._router_admission = admission
        self._request = request
        self._route = route
        self._workspace = workspace
        self._find_terms = find_terms
        self._upstream_id = ""
        self._least: int | None = None

    def decide(
        self,
        service: str,
        deadline_ms: float,
        least_times_ms: tuple[float, float],
        may_run: Callable[[ListedUpstream], bool],
        now_ms: float,
        *,
        may_have_run: bool,
    ) -> StreamVerdict:
        """Decide on a stream that has not run; another one goes on at once.

        Without the size of engines' memory in the configuration, none is held.

        The configuration in force applies, also to a stream that waits.
        """
        terms = self._find_terms(service)
        if terms is None or may_have_run or not terms.memory_tokens:
            self._router_admission.leave(self)
            self.is_waiting = False
            return SEND_ANYWHERE
        needs = StreamNeeds(
            self._request,
            service,
            self._route.name,
            self._workspace,
            self._used_ms(),
            self.started_at_ms,
            deadline_ms,
            self._route.target_latency_ms,
            *least_times_ms,
            may_run,
        )
        verdict = self._router_admission.decide(self, needs, terms, now_ms)
        self.is_waiting = verdict.verdict is AdmissionVerdict.WAIT
        return verdict

    def wait(self) -> None:
        """Have an admitted stream decided on anew; it waits until then."""
        self.is_waiting = True

    def _used_ms(self) -> float:
        """Return the time that a caller has used, 0 if it may come for the first time.

        A caller that was refused comes back with the rest of its time.
        """
        timeout_ms, budget_ms = self._route.timeout_ms, self._request.budget_ms
        if budget_ms is None or budget_ms >= RETURN_SHARE * timeout_ms:
            return 0.0
        return timeout_ms - budget_ms

    def urgency(self, service: str) -> int | None:
        """Return the urgency of a send, never less urgent than that of one before."""
        terms = self._find_terms(service)
        if terms is None:
            return self._least
        urgency = terms.urgency
        self._least = urgency if self._least is None else min(urgency, self._least)
        return self._least

    def may_copy_to(self, service: str, holder: ListedUpstream, now_ms: float) -> bool:
        """Return whether an engine may be given a copy of the stream.

        A copy takes the memory of a stream. Where that is short, streams preempted for
        copies cost more than those that are lost without one.
        """
        terms = self._find_terms(service)
        if terms is None or not terms.memory_tokens:
            return True
        return self._router_admission.has_room_for_copy(
            holder, self._request, terms, now_ms
        )

    def sent(
        self, service: str, upstream_id: str, now_ms: float, *, is_from_copy: bool
    ) -> None:
        """Record that the stream is at an engine, also where priorities don't differ.

        They may differ in the next version of the configuration.
        """
        terms = self._find_terms(service)
        urgency = self._route.priority if terms is None else terms.urgency
        self._upstream_id = upstream_id
        self._router_admission.sent(self, service, now_ms)
        self._router_admission.hold(
            upstream_id, self, self._request, urgency, is_read=is_from_copy
        )

    def began(self) -> None:
        """Record that the engine has read the prompt."""
        self._router_admission.room.record_read(self._upstream_id, self)

    def released(self) -> None:
        """Free the stream's place at its engine or in the queue."""
        if self._upstream_id:
            self._router_admission.room.release(self._upstream_id, self)
            self._upstream_id = ""
        self._router_admission.leave(self)
        self.is_waiting = False
