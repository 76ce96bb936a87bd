"""Decide whether and where the prompt of a stream is sent now.

Load: in a peak, prompts that can't be read in time, and engines without memory for
them.
"""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.admission_decision import AdmissionVerdict
from bronzeline_kernel.forwarding.messages import Fail, Failure
from bronzeline_kernel.forwarding.placement import Choice
from bronzeline_kernel.forwarding.request_admission import ImmediateAdmission
from bronzeline_kernel.forwarding.stream_choice import StreamChoice
from bronzeline_kernel.forwarding.stream_evidence import StreamEvidence
from bronzeline_kernel.forwarding.stream_failure import StreamFailure

__all__ = ["PromptChoice"]


@dataclass(frozen=True)
class PromptChoice:
    """Combine the admission of a stream with the choice of its upstream."""

    admission: ImmediateAdmission
    chooser: StreamChoice
    evidence: StreamEvidence
    failure: StreamFailure
    deadline_ms: float
    last_event: int

    def decide(
        self, now_ms: float, *, is_resumed: bool, may_have_run: bool, is_first: bool
    ) -> Choice | Fail | None:
        """Return where to send the prompt, why not to, or None if the stream waits."""
        chooser = self.chooser
        verdict = self.admission.decide(
            chooser.service,
            self.deadline_ms,
            self.evidence.least_times_ms(self.last_event),
            chooser.admission_check(now_ms),
            now_ms,
            may_have_run=may_have_run,
        )
        if verdict.verdict is AdmissionVerdict.WAIT:
            return None
        if verdict.verdict is AdmissionVerdict.REFUSE:
            return Fail(Failure.NOT_RUN, verdict.reason, verdict.retry_after_ms)
        choice = chooser.choose(
            now_ms, is_resumed=is_resumed, upstream_ids=verdict.upstream_ids
        )
        if choice is not None:
            return self._check_time(choice, now_ms) if is_first else choice
        if chooser.has_no_version(now_ms):
            return self.failure.lost("its software version has left")
        if verdict.upstream_ids is not None:
            self.admission.wait()
            return None
        return self.failure.not_served("no upstream", chooser.tried, now_ms)

    def _check_time(self, choice: Choice, now_ms: float) -> Choice | Fail:
        """Refuse a first attempt that can't read the prompt and answer in time."""
        read_ms = self.evidence.fastest_read_ms(choice.upstream, now_ms)
        if self.evidence.is_too_late(
            read_ms, self.deadline_ms, self.last_event, now_ms
        ):
            return self.failure.too_late("too little time for the prompt", now_ms)
        return choice
