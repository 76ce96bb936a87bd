"""Price an upstream for a stream, a copy or a call.

Load: many requests of several routers at once, beside upstreams and zones that fail.
"""

from __future__ import annotations

from dataclasses import dataclass

from bronzeline_kernel.forwarding.health import UpstreamHealth
from bronzeline_kernel.forwarding.peer_reports import Load
from bronzeline_kernel.forwarding.placement_options import PlacementOptions
from bronzeline_kernel.forwarding.upstream_capacity import UpstreamCapacity
from bronzeline_kernel.forwarding.upstream_set import ListedUpstream

__all__ = ["PlacementCosts"]


@dataclass(frozen=True)
class PlacementCosts:
    """Add up the costs of a request's delay and of a likely failure."""

    own_zone: str
    health: UpstreamHealth
    capacity: UpstreamCapacity
    options: PlacementOptions

    def stream(self, upstream: ListedUpstream, load: Load, now_ms: float) -> float:
        """Return the cost of a stream as a share of a prompt's reading time."""
        options = self.options
        is_elsewhere = upstream.availability_zone != self.own_zone
        return (
            self.capacity.prompt_delay_share(
                upstream,
                load.n_prompts,
                load.n_streams * options.stream_share,
                self.health.slowness(upstream.incarnation, now_ms),
                now_ms,
            )
            + load.n_copies * options.copy_share
            + (options.other_zone_share if is_elsewhere else 0.0)
            + self._stream_failure_cost(upstream, now_ms)
        )

    def copy(self, upstream: ListedUpstream, load: Load, now_ms: float) -> float:
        """Return the cost of a copy, by what its holder has in memory."""
        # Prompts, streams and copies take about the same amount of memory.
        n_held = load.n_prompts + load.n_streams + load.n_copies
        held_cost = n_held * self.options.stream_share
        return held_cost + self._stream_failure_cost(upstream, now_ms)

    def call(self, upstream: ListedUpstream, load: Load, now_ms: float) -> float:
        """Return the cost of a call as its expected delay in milliseconds."""
        options = self.options
        n_failures = self.health.failure_score(upstream.incarnation, now_ms)
        n_failures += self.health.failed_share(upstream.incarnation, now_ms)
        is_elsewhere = upstream.availability_zone != self.own_zone
        is_suspect = self.is_zone_suspect(upstream, now_ms)
        calls_ms = load.n_calls * options.call_ms
        return (
            self.capacity.call_delay_ms(upstream, calls_ms, now_ms)
            + n_failures * options.call_failure_ms
            + (options.other_zone_call_ms if is_elsewhere else 0.0)
            + (options.suspect_zone_call_ms if is_suspect else 0.0)
        )

    def is_zone_suspect(self, upstream: ListedUpstream, now_ms: float) -> bool:
        """Return whether an upstream may have failed together with its zone."""
        return self.health.is_zone_suspect(upstream.zone, upstream.incarnation, now_ms)

    def _stream_failure_cost(self, upstream: ListedUpstream, now_ms: float) -> float:
        options = self.options
        score = self.health.failure_score(upstream.incarnation, now_ms)
        is_suspect = self.is_zone_suspect(upstream, now_ms)
        return options.failure_share * score + (
            options.suspect_zone_share if is_suspect else 0.0
        )
