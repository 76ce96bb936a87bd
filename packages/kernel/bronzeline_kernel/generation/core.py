"""Hold the state of one generation, without its decisions."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from enum import StrEnum

from bronzeline_kernel.fleet import Upstream
from bronzeline_kernel.generation.attempt_stream import Attachment
from bronzeline_kernel.generation.budget import ResumeBudget
from bronzeline_kernel.generation.delivery import Delivery
from bronzeline_kernel.generation.event_id import EventHints
from bronzeline_kernel.generation.messages import (
    GenerationSpec,
    GenerationState,
    StreamEnd,
)
from bronzeline_kernel.generation.options import GenerationOptions, Recovery
from bronzeline_kernel.generation.stall_detector import SilenceJudge
from bronzeline_kernel.generation.token_replication import Coverage

__all__ = ["GenerationCore", "GenerationStep"]

DEFAULT_OPTIONS = GenerationOptions()

MakePrefix = Callable[[EventHints], str]


class GenerationStep(StrEnum):
    """Name the steps of a generation's life."""

    RECOVERING = "recovering"
    CHOOSING = "choosing"
    STREAMING = "streaming"
    ENDED = "ended"


class GenerationCore:
    """Hold a generation's parts and show what they are at."""

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
            Coverage(holder_ids, options.ack_timeout_ms),
            self._event_prefix,
            n_delivered=recovery.n_delivered if recovery else 0,
            must_copy=bool(request_key),
        )
        self._stream = Attachment(
            recovery.fence if recovery else 0,
            recovery.hints.version if recovery else "",
        )
        self._silence = SilenceJudge(
            options.stall_timeout_ms, options.first_token_timeout_ms
        )
        self._budget = budget or ResumeBudget()
        self._make_prefix = make_prefix
        self._recovery = recovery
        self._must_pay = recovery is not None
        self._is_certain = False
        self._excluded_ids: list[str] = []
        self._linger_until_ms: float | None = None
        self._retry_at_ms: float | None = None
        self._give_up_at_ms: float | None = None

    @property
    def tokens(self) -> list[str]:
        """Return the tokens held, from the first on."""
        return self.delivery.tokens

    @property
    def n_delivered(self) -> int:
        """Return how many tokens the caller was given."""
        return self.delivery.n_delivered

    @property
    def end(self) -> StreamEnd | None:
        """Return how the engine ended the generation, once it has."""
        return self.delivery.end

    @property
    def has_caller(self) -> bool:
        """Say whether anybody listens now."""
        return self.delivery.has_caller

    @property
    def attempt(self) -> int:
        """Return the current attempt, or 0 between two."""
        return self._stream.attempt

    @property
    def fence(self) -> int:
        """Return the highest fencing number used."""
        return self._stream.fence

    @property
    def upstream(self) -> Upstream | None:
        """Return the engine of the latest attempt."""
        return self._stream.upstream

    @property
    def is_ended(self) -> bool:
        """Say whether nothing more can happen."""
        return self.step is GenerationStep.ENDED

    @property
    def is_resumed(self) -> bool:
        """Say whether earlier attempts were made."""
        return bool(self._excluded_ids or self.fence)

    @property
    def timer_at_ms(self) -> float | None:
        """Return when to handle the next `Tick`."""
        due_at_ms = self.delivery.replication.due_at_ms
        times = [self._linger_until_ms, due_at_ms, self._retry_at_ms]
        if self._is_following:
            is_probing = self._stream.has_asked_from(len(self.tokens))
            judge = self._silence
            probe_at_ms = judge.probe_at_ms(self.engine_active_at_ms)
            times.append(judge.move_at_ms() if is_probing else probe_at_ms)
        return min((item for item in times if item is not None), default=None)

    def can_use(self, state: GenerationState) -> bool:
        """Say whether a state holds the very text that the caller has."""
        return self._recovery is None or self._recovery.fits(state.tokens)

    def state(self) -> GenerationState:
        """Return all that another router needs to go on."""
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
    def _is_following(self) -> bool:
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
