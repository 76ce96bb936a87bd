"""Derive a request's urgency from priorities.

Load: in a peak, requests of an urgent route compete for the same engines as those of
another route. Engines admit by urgency and preempt the least urgent.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from bronzeline_kernel.forwarding.config import (
    ForwardingConfig,
    Route,
    ServiceInfo,
    WorkspaceKeys,
)

__all__ = ["Rank", "UrgencyTerms", "find_levels", "find_terms"]

# The priority that applies to a request, then its route's priority.
Rank = tuple[int, int]

LEAST_URGENT = 9


@dataclass(frozen=True)
class UrgencyTerms:
    """Hold what orders a request among those of its service, and engine sizes.

    Routers' queues are ordered by `priority`, the lowest first. `urgency` is what
    engines are told, and `least_urgency` the highest value of the service.
    """

    priority: int
    urgency: int
    least_urgency: int
    memory_tokens: int
    n_slots: int

    @property
    def has_less_urgent(self) -> bool:
        """Return whether engines may preempt others of the service for a request."""
        return self.urgency < self.least_urgency


def find_levels(config: ForwardingConfig) -> Mapping[str, tuple[Rank, ...]]:
    """Return the ranks of requests at engine services whose routes differ in priority.

    Workspaces' priorities alone have no effect: their requests don't differ in kind.
    """
    routes: dict[str, set[Route]] = {
        item.name: set() for item in config.services if item.engine is not None
    }
    for route in config.routes:
        for share in route.shares:
            if share.service in routes:
                routes[share.service].add(route)
    levels = {
        name: _ranks(found, config.workspaces)
        for name, found in routes.items()
        if len({route.priority for route in found}) > 1
    }
    return MappingProxyType(levels)


def find_terms(
    service: ServiceInfo | None,
    levels: tuple[Rank, ...],
    route: Route,
    workspace: WorkspaceKeys | None,
) -> UrgencyTerms | None:
    """Return a request's terms at a service, None where priorities don't differ.

    The priority is the request's rank among all of the service, the urgency that of
    its route alone: engines preempt streams for a more urgent request and read their
    prompts again, so a workspace's priority orders only what waits in routers. The
    urgency does not rise with the time that a request has waited, nor after a loss,
    for the same reason.
    """
    if service is None or service.engine is None or not levels:
        return None
    rank = _rank(route, None if route.is_public else workspace)
    route_priorities = sorted({route_priority for _, route_priority in levels})
    return UrgencyTerms(
        bisect_left(levels, rank),
        min(LEAST_URGENT, bisect_left(route_priorities, route.priority)),
        min(LEAST_URGENT, len(route_priorities) - 1),
        service.engine.memory_tokens,
        service.engine.n_slots,
    )


def _ranks(
    routes: Iterable[Route], workspaces: tuple[WorkspaceKeys, ...] | None
) -> tuple[Rank, ...]:
    ranks = set()
    for route in routes:
        if route.is_public or not workspaces:
            ranks.add(_rank(route, None))
        else:
            ranks.update(_rank(route, item) for item in workspaces)
    return tuple(sorted(ranks))


def _rank(route: Route, workspace: WorkspaceKeys | None) -> Rank:
    """Return the rank of a request; its workspace's priority takes precedence.

    Routes are told apart among requests of the same priority.
    """
    if workspace is not None and workspace.priority is not None:
        return workspace.priority, route.priority
    return route.priority, route.priority
