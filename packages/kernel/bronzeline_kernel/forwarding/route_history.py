"""Remember to which services routes led lately."""

from __future__ import annotations

from dataclasses import dataclass, field

from bronzeline_kernel.forwarding.config import Route
from bronzeline_kernel.forwarding.route_table import (
    RouteTable,
    host_name,
    path_prefixes,
)

__all__ = ["RouteHistory"]

# Callers take up streams within their time budget, 25 s, and may come back a few times.
MEMORY_MS = 60_000.0


@dataclass
class RouteHistory:
    """Hold the services that the routes have left, by host and path prefix."""

    # When each service was left.
    _left_at_ms: dict[tuple[str, str], dict[str, float]] = field(default_factory=dict)

    def record(self, former: RouteTable, table: RouteTable, now_ms: float) -> None:
        """Record which services are left as one configuration replaces another."""
        self._expire(now_ms)
        for host, prefix in _changed(former, table):
            left = _services(former, host, prefix) - _services(table, host, prefix)
            if left:
                left_at_ms = self._left_at_ms.setdefault((host, prefix), {})
                left_at_ms.update(dict.fromkeys(left, now_ms))

    def former_services(self, host: str, path: str, now_ms: float) -> frozenset[str]:
        """Return the services that requests for a path may have run at before."""
        name = host_name(host)
        return frozenset(
            service
            for prefix in path_prefixes(path)
            for service, left_at_ms in self._left_at_ms.get((name, prefix), {}).items()
            if now_ms - left_at_ms < MEMORY_MS
        )

    def _expire(self, now_ms: float) -> None:
        for key, left_at_ms in list(self._left_at_ms.items()):
            if all(now_ms - at_ms >= MEMORY_MS for at_ms in left_at_ms.values()):
                del self._left_at_ms[key]


def _changed(former: RouteTable, table: RouteTable) -> list[tuple[str, str]]:
    """Return the hosts and prefixes that were added, removed or lead elsewhere."""
    before, after = _by_key(former), _by_key(table)
    return [
        key
        for key in before.keys() | after.keys()
        if key not in before
        or key not in after
        or before[key].shares != after[key].shares
    ]


def _by_key(table: RouteTable) -> dict[tuple[str, str], Route]:
    return {(host_name(x.host), x.path_prefix): x for x in table.config.routes}


def _services(table: RouteTable, host: str, prefix: str) -> set[str]:
    route = table.find(host, prefix)
    return set() if route is None else {item.service for item in route.shares}
