"""Hold what a decision on a stream's admission rests on, and its result."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["AdmissionReport", "AdmissionVerdict", "StreamNeeds", "StreamVerdict"]

# A prompt that takes longer to read than its objective allows may still wait for this
# share of the objective, so that long prompts are served too.
MIN_WAIT_SHARE = 0.25


class AdmissionVerdict(Enum):
    """Classify what happens to a stream now."""

    SEND = "send"
    WAIT = "wait"
    REFUSE = "refuse"


@dataclass(frozen=True)
class StreamNeeds:
    """Hold what a stream asks for, and until when."""

    request: CallerRequest
    service: str
    route: str
    workspace: str
    # How much of its time a caller that returns has used, else 0.
    used_ms: float
    started_at_ms: float
    deadline_ms: float
    objective_ms: float
    # Times that reading the prompt and sending the answer take at least.
    read_ms: float
    rest_ms: float
    may_run: Callable[[ListedUpstream], bool]

    @property
    def begin_by_ms(self) -> float:
        """Return when the prompt must begin to be read."""
        allowed_ms = max(
            self.objective_ms - self.read_ms, MIN_WAIT_SHARE * self.objective_ms
        )
        return min(
            self.started_at_ms + allowed_ms,
            self.deadline_ms - self.read_ms - self.rest_ms,
        )


@dataclass(frozen=True)
class StreamVerdict:
    """Hold a decision; `upstream_ids` are the engines with room for the stream.

    None means that room does not restrict the choice.
    """

    verdict: AdmissionVerdict
    reason: str = ""
    upstream_ids: frozenset[str] | None = None
    retry_after_ms: float = 0.0


@dataclass(frozen=True)
class AdmissionReport:
    """Report a decision with its inputs."""

    request_id: str
    service: str
    route: str
    verdict: StreamVerdict
    priority: int
    urgency: int
    n_tokens: int
    n_engines: int
    n_waiting: int
    waited_ms: float
    left_ms: float
    reports_age_ms: float | None
