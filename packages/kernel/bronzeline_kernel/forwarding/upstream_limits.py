"""Track the request rates to which upstreams limit all routers together."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from bronzeline_kernel.forwarding.upstream_set import Incarnation

__all__ = ["LimitChange", "UpstreamLimits"]


@dataclass(frozen=True)
class LimitChange:
    """Report a limit that an upstream has named; None if it named it no longer."""

    upstream_id: str
    limit_per_s: float | None


class UpstreamLimits:
    """Hold the limits that upstreams name in their responses, by incarnation."""

    def __init__(self) -> None:
        self._limits: dict[Incarnation, float] = {}
        self.on_change: Callable[[LimitChange], None] = _ignore

    def __len__(self) -> int:
        """Return the number of upstreams that have a limit."""
        return len(self._limits)

    def record_response(self, upstream: Incarnation, limit_per_s: float | None) -> None:
        """Record the limit that a response names, None if it names none."""
        if self._limits.get(upstream) == limit_per_s:
            return
        if limit_per_s is None:
            del self._limits[upstream]
        else:
            self._limits[upstream] = limit_per_s
        self.on_change(LimitChange(upstream[0], limit_per_s))

    def limit_per_s(self, upstream: Incarnation) -> float | None:
        """Return the limit of an upstream, None if it has none."""
        return self._limits.get(upstream)

    def keep_only(self, upstreams: set[Incarnation]) -> None:
        """Drop the limits of upstreams that are no longer listed."""
        for upstream in self._limits.keys() - upstreams:
            del self._limits[upstream]


def _ignore(event: object) -> None:
    """Ignore an event while no callback is set."""
