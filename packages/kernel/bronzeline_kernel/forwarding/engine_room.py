"""Estimate how much memory engines have left, and when they read a new prompt.

Load: long prompts fill the engines' memory before their slots. An engine that takes
more than it can hold preempts streams and reads their prompts again.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.peer_reports import Load

__all__ = ["EngineRoom", "EngineUse", "HeldStream", "expected_tokens"]

# Weight of a new stream in the usual size: it follows a change within tens of streams.
SIZE_WEIGHT = 0.05


def expected_tokens(request: CallerRequest) -> int:
    """Return the memory that a stream takes at its end, as far as it is known."""
    n_output = request.expected_output_tokens or request.max_output_tokens
    if request.max_output_tokens:
        n_output = min(n_output, request.max_output_tokens)
    return request.n_prompt_tokens + n_output


@dataclass
class HeldStream:
    """Hold what a stream of this router takes at its engine."""

    n_tokens: int
    n_unread_tokens: int
    urgency: int


@dataclass
class _Sum:
    """Add up streams as they come and go, so that no decision goes through them all."""

    n_tokens: int = 0
    n_streams: int = 0
    n_unread_tokens: int = 0

    def add(self, n_tokens: int, n_streams: int, n_unread_tokens: int) -> None:
        """Add streams, or remove them with negative numbers."""
        self.n_tokens += n_tokens
        self.n_streams += n_streams
        self.n_unread_tokens += n_unread_tokens


@dataclass(frozen=True)
class EngineUse:
    """Hold the work at an engine: memory in the end, streams, and unread prompts."""

    n_tokens: float
    n_streams: float
    n_unread_tokens: float
    # Nothing is known to be there; peers that are silent may have streams.
    is_idle: bool = False


@dataclass
class EngineRoom:
    """Add up the streams at each engine: this router's own ones and the peers'."""

    _held: dict[str, dict[object, HeldStream]] = field(default_factory=dict)
    # By engine and urgency.
    _sums: dict[str, dict[int, _Sum]] = field(default_factory=dict)
    _everywhere: _Sum = field(default_factory=_Sum)
    _usual_tokens: float = 0.0
    _usual_prompt_tokens: float = 0.0

    @property
    def usual_tokens(self) -> float:
        """Return the memory that a stream usually takes at its end."""
        return self._usual_tokens

    def hold(self, upstream_id: str, key: object, stream: HeldStream) -> None:
        """Record a stream that is sent to an engine."""
        self.release(upstream_id, key)
        self._held.setdefault(upstream_id, {})[key] = stream
        self._add(
            upstream_id, stream.urgency, stream.n_tokens, 1, stream.n_unread_tokens
        )
        if not self._usual_tokens:
            self._usual_tokens = stream.n_tokens
            self._usual_prompt_tokens = stream.n_unread_tokens
        self._usual_tokens += SIZE_WEIGHT * (stream.n_tokens - self._usual_tokens)
        self._usual_prompt_tokens += SIZE_WEIGHT * (
            stream.n_unread_tokens - self._usual_prompt_tokens
        )

    def record_read(self, upstream_id: str, key: object) -> None:
        """Record that the prompt of a stream was read."""
        held = self._held.get(upstream_id, {}).get(key)
        if held is not None:
            self._add(upstream_id, held.urgency, 0, 0, -held.n_unread_tokens)
            held.n_unread_tokens = 0

    def release(self, upstream_id: str, key: object) -> None:
        """Remove a stream that has left an engine."""
        held = self._held.get(upstream_id)
        if held is None:
            return
        stream = held.pop(key, None)
        if not held:
            del self._held[upstream_id]
        if stream is not None:
            self._add(
                upstream_id,
                stream.urgency,
                -stream.n_tokens,
                -1,
                -stream.n_unread_tokens,
            )

    def use(
        self,
        upstream_id: str,
        peers: Mapping[str, Load],
        n_silent_peers: int,
        n_engines: int,
        n_own_copies: int = 0,
    ) -> EngineUse:
        """Return the work at an engine, of any urgency, with the copies that it holds.

        A peer whose reports stopped is assumed to have as much as this router, spread
        evenly over the engines.
        """
        own = self._sum(upstream_id)
        reported = peers.get(upstream_id, Load())
        silent = n_silent_peers / max(1, n_engines)
        everywhere = self._everywhere
        return EngineUse(
            own.n_tokens
            + (reported.n_streams + reported.n_copies + n_own_copies)
            * self._usual_tokens
            + silent * everywhere.n_tokens,
            own.n_streams + reported.n_streams + silent * everywhere.n_streams,
            own.n_unread_tokens
            + reported.n_prompts * self._usual_prompt_tokens
            + silent * everywhere.n_unread_tokens,
            not (
                own.n_streams
                or n_own_copies
                or reported.n_streams
                or reported.n_copies
                or reported.n_prompts
            ),
        )

    def urgent_use(self, upstream_id: str, urgency: int) -> EngineUse:
        """Return this router's work at an engine that is at least as urgent.

        An engine preempts less urgent streams. What peers have is mostly these, as
        urgent requests are few.
        """
        own = self._sum(upstream_id, urgency)
        return EngineUse(own.n_tokens, own.n_streams, own.n_unread_tokens)

    def _sum(self, upstream_id: str, least_urgent: int | None = None) -> _Sum:
        """Add up this router's streams at an engine, without a bound all of them."""
        total = _Sum()
        for urgency, item in self._sums.get(upstream_id, {}).items():
            if least_urgent is None or urgency <= least_urgent:
                total.add(item.n_tokens, item.n_streams, item.n_unread_tokens)
        return total

    def _add(
        self,
        upstream_id: str,
        urgency: int,
        n_tokens: int,
        n_streams: int,
        n_unread_tokens: int,
    ) -> None:
        sums = self._sums.setdefault(upstream_id, {})
        for item in (sums.setdefault(urgency, _Sum()), self._everywhere):
            item.add(n_tokens, n_streams, n_unread_tokens)
        if not sums[urgency].n_streams:
            del sums[urgency]
        if not sums:
            del self._sums[upstream_id]
