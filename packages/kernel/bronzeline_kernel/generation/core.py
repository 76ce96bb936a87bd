"""Hold the state of one generation; `Generation` adds the transitions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.attempt_stream import AttemptStream
from bronzeline_kernel.generation.budget import ResumeBudget
from bronzeline_kernel.generation.delivery import Delivery
from bronzeline_kernel.generation.event_id import EventHints
from bronzeline_kernel.generation.messages import (
    GenerationSpec,
    GenerationState,
    StreamEnd,
)
from bronzeline_kernel.generation.options import GenerationOptions, Recovery
from bronzeline_kernel.generation.stall_detector import StallDetector
from bronzeline_kernel.generation.token_replication import TokenReplication

__all__ = ["GenerationCore", "GenerationStep"]

DEFAULT_OPTIONS = GenerationOptions()

MakePrefix = Callable[[EventHints], str]


class GenerationStep(StrEnum):
    """Name the states of a generation."""

    RECOVERING = "recovering"
    CHOOSING = "choosing"
    STREAMING = "streaming"
    ENDED = "ended"


class GenerationCore:
    """Hold the parts of a generation and expose their state."""

    def __init__(
        self,
        spec: GenerationSpec,
        options: GenerationOptions = DEFAULT_OPTIONS,
        *,
        request_key: str = "",
        make_prefix: MakePrefix | None = None,
        recovery: Recovery | None = None,
        holder_ids: Sequence[str] = (),
        budget: ResumeBudget | None = None,
    ) -> None:
        self.spec = spec
        self.options = options
        self.request_key = request_key
        self.step = GenerationStep.CHOOSING
        self.cause = ""
        self.engine_active_at_ms = 0.0
        self.n_attempts = 0
        self.n_dropped_frames = 0
        self.delivery = Delivery(
            TokenReplication(holder_ids, options.ack_timeout_ms),
            self._event_prefix,
            n_delivered=recovery.n_delivered if recovery else 0,
            must_replicate=bool(request_key),
        )
        self._stream = AttemptStream(
            recovery.fence if recovery else 0,
            recovery.hints.version if recovery else "",
        )
        self._stall_detector = StallDetector(
            options.stall_timeout_ms, options.first_token_timeout_ms
        )
        self._budget = budget or ResumeBudget()
        self._make_prefix = make_prefix
        self._recovery = recovery
        self._must_spend_budget = recovery is not None
        self._is_state_certain = False
        self._excluded_ids: list[str] = []
        self._reconnect_until_ms: float | None = None
        self._retry_at_ms: float | None = None
        self._give_up_at_ms: float | None = None

    @property
    def tokens(self) -> list[str]:
        """Return all tokens received so far."""
        return self.delivery.tokens

    @property
    def n_delivered(self) -> int:
        """Return how many tokens were delivered to the caller."""
        return self.delivery.n_delivered

    @property
    def end(self) -> StreamEnd | None:
        """Return how the engine ended the generation, or None before that."""
        return self.delivery.end

    @property
    def has_caller(self) -> bool:
        """Return whether the caller is connected."""
        return self.delivery.has_caller

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt, or 0 between attempts."""
        return self._stream.attempt

    @property
    def fence(self) -> int:
        """Return the highest fencing number used."""
        return self._stream.fence

    @property
    def upstream(self) -> Upstream | None:
        """Return the engine of the latest attempt, or None before the first."""
        return self._stream.upstream

    @property
    def is_ended(self) -> bool:
        """Return whether the generation has ended."""
        return self.step is GenerationStep.ENDED

    @property
    def is_resumed(self) -> bool:
        """Return whether there were earlier attempts, here or on another router."""
        return bool(self._excluded_ids or self.fence)

    @property
    def may_have_run(self) -> bool:
        """Return whether an attempt was ever sent, here or on another router."""
        return bool(self.fence)

    @property
    def timer_at_ms(self) -> float | None:
        """Return when to send the next `Tick`, or None if no timer is set."""
        due_at_ms = self.delivery.replication.due_at_ms
        times = [self._reconnect_until_ms, due_at_ms, self._retry_at_ms]
        if self._is_streaming:
            is_probing = self._stream.was_opened_at(len(self.tokens))
            detector = self._stall_detector
            probe_at_ms = detector.probe_at_ms(self.engine_active_at_ms)
            times.append(detector.failover_at_ms() if is_probing else probe_at_ms)
        return min((item for item in times if item is not None), default=None)

    def can_use(self, state: GenerationState) -> bool:
        """Return whether a state begins with the text that the caller has received."""
        return self._recovery is None or self._recovery.matches(state.tokens)

    def state(self) -> GenerationState:
        """Return the state that another router needs to continue the generation."""
        return GenerationState(
            self.spec.generation_id,
            self.request_key,
            tuple(self.tokens),
            self.attempt,
            self.fence,
            self._stream.version,
            self.upstream,
            self.end,
        )

    @property
    def _is_streaming(self) -> bool:
        return self.step is GenerationStep.STREAMING and self.end is None

    def _event_prefix(self, holder_id: str) -> str:
        if self._make_prefix is None or not self.request_key:
            return f"{self.spec.generation_id}."
        hints = EventHints(
            self.spec.generation_id,
            self.request_key,
            self.attempt,
            self.fence,
            self.upstream.upstream_id if self.upstream else "",
            self._stream.version,
            self.options.own_id,
            holder_id,
        )
        return self._make_prefix(hints)
