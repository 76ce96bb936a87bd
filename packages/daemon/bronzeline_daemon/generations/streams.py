"""Open, read and cancel token streams on engines."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from bronzeline_daemon.futures import BackgroundTasks
from bronzeline_kernel.exceptions import (
    StreamFencedError,
    StreamNotOpenedError,
    UpstreamError,
    UpstreamRefusedError,
    UpstreamUnreachableError,
)
from bronzeline_kernel.generation import (
    AttachStream,
    CancelAttempt,
    GenerationSpec,
    Message,
    ResumeCost,
    StartAttempt,
    StreamBroken,
    StreamEnded,
    TokenReceived,
)
from bronzeline_kernel.protocols import (
    Clock,
    EngineConnector,
    EngineRequest,
    EngineStreamEnd,
    TokenFrame,
)

__all__ = ["EngineStreams"]

FENCED = "fenced"
UNREACHABLE = "unreachable"
REFUSED = "refused"
BROKEN = "broken"

OnMessage = Callable[[Message], None]
OnFrame = Callable[[TokenFrame], None]


class EngineStreams:
    """Manage the connections of all generations to engines."""

    def __init__(self, engine: EngineConnector, clock: Clock, cost: ResumeCost) -> None:
        self._engine = engine
        self._clock = clock
        self._cost = cost
        self._tasks = BackgroundTasks()

    def start(
        self,
        spec: GenerationSpec,
        action: StartAttempt,
        priority: int,
        on_message: OnMessage,
    ) -> None:
        """Start an attempt on an engine and report its tokens and its end."""
        request = EngineRequest(
            generation_id=spec.generation_id,
            attempt=action.attempt,
            fence=action.attempt,
            workspace=spec.workspace,
            model=spec.model,
            version=action.upstream.version,
            adapter=spec.adapter,
            prompt=spec.prompt,
            prefix_tokens=action.prefix_tokens,
            max_tokens=spec.max_tokens,
            stop=spec.stop,
            sampling_seed=spec.sampling_seed,
            temperature=spec.temperature,
            priority=priority,
        )
        on_frame = _frame_handler(on_message)
        work = self._engine.generate(action.upstream, request, on_frame)
        self._tasks.start(_read_stream(work, action, on_message))

    def attach(
        self, generation_id: str, action: AttachStream, on_message: OnMessage
    ) -> None:
        """Attach to a running attempt and report its tokens and its end."""
        work = self._engine.attach(
            action.upstream,
            generation_id,
            action.attempt,
            action.fence,
            action.from_index,
            _frame_handler(on_message),
        )
        self._tasks.start(_read_stream(work, action, on_message))

    def cancel(self, generation_id: str, action: CancelAttempt) -> None:
        """Cancel a generation on an engine; errors of the engine are ignored."""
        self._tasks.start(self._cancel(generation_id, action))

    def close(self) -> None:
        """Stop reading every stream."""
        self._tasks.cancel()

    async def _cancel(self, generation_id: str, action: CancelAttempt) -> None:
        started_at_ms = self._clock.now_ms()
        try:
            await self._engine.cancel(action.upstream, generation_id, action.fence)
        except UpstreamError:
            return
        # Until the engine confirms, it may have worked in parallel with another one.
        self._cost.duplicate_engine_ms += self._clock.now_ms() - started_at_ms


def _frame_handler(on_message: OnMessage) -> OnFrame:
    def on_frame(frame: TokenFrame) -> None:
        on_message(TokenReceived(frame.attempt, frame.index, frame.text))

    return on_frame


async def _read_stream(
    work: Awaitable[EngineStreamEnd],
    action: StartAttempt | AttachStream,
    on_message: OnMessage,
) -> None:
    try:
        end = await work
    except UpstreamError as error:
        reason = _reason(error)
        is_unreachable = reason == UNREACHABLE
        on_message(
            StreamBroken(action.attempt, action.connection, reason, is_unreachable)
        )
    else:
        on_message(
            StreamEnded(
                action.attempt,
                action.connection,
                end.reason,
                end.n_prompt_tokens,
                end.n_tokens,
            )
        )


def _reason(error: UpstreamError) -> str:
    match error:
        case UpstreamUnreachableError() | StreamNotOpenedError():
            return UNREACHABLE
        case StreamFencedError():
            return FENCED
        case UpstreamRefusedError():
            return REFUSED
        case _:
            return BROKEN
