"""Decide whether a request may be forwarded."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from math import isfinite

from bronzeline_kernel.forwarding.config import Route, WorkspaceKeys
from bronzeline_kernel.forwarding.messages import CallerRequest
from bronzeline_kernel.forwarding.return_times import return_after_outage_ms
from bronzeline_kernel.forwarding.route_table import RouteTable
from bronzeline_kernel.forwarding.stop_plan import StopPlan
from bronzeline_kernel.forwarding.view import ForwardingView

__all__ = ["Admitted", "Refusal", "Refused", "admit", "allowed_time_ms"]

# A router that just started doesn't know how long the store has been away; another
# router may have a configuration already.
STARTED_OUTAGE_MS = 1_000.0
# Any other router accepts the request immediately.
STOPPING_RETRY_AFTER_MS = 20.0


class Refusal(Enum):
    """Classify why a request is not forwarded."""

    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    NOT_READY = "not_ready"
    STOPPING = "stopping"
    QUARANTINED = "quarantined"
    OVERLOADED = "overloaded"


@dataclass(frozen=True)
class Admitted:
    """Hold the route of an admitted request and its workspace, if any."""

    route: Route
    workspace: WorkspaceKeys | None


@dataclass(frozen=True)
class Refused:
    """Hold why a request is refused, and after what time it may be retried."""

    refusal: Refusal
    reason: str
    retry_after_ms: float = 0.0


def admit(
    view: ForwardingView,
    request: CallerRequest,
    arrived_at_ms: float,
    stop: StopPlan | None = None,
) -> Admitted | Refused:
    """Check a request against the routes, the keys and the lease.

    Without a valid lease the refusal is NOT_READY rather than NO_ROUTE or
    UNKNOWN_KEY: the configuration may have changed, and another router may have
    the new one.
    """
    table = view.table
    age_ms = view.lease.age_ms(arrived_at_ms)
    outage_ms = age_ms if isfinite(age_ms) else STARTED_OUTAGE_MS
    retry_after_ms = return_after_outage_ms(outage_ms, request.budget_ms)
    if table is None or not view.upstreams.is_loaded:
        return _not_ready("no configuration yet", retry_after_ms)
    is_current = view.lease.is_valid(arrived_at_ms)
    route = table.find(request.host, request.path)
    if route is None:
        if is_current:
            return Refused(Refusal.NO_ROUTE, "no route for host and path")
        return _not_ready("configuration not proven current", retry_after_ms)
    allowed_ms = allowed_time_ms(request, route)
    if stop is not None and not stop.accepts(route, allowed_ms, arrived_at_ms):
        return Refused(Refusal.STOPPING, "stopping", STOPPING_RETRY_AFTER_MS)
    if route.is_public or not table.config.needs_keys:
        return Admitted(route, None)
    if not is_current:
        return _not_ready("keys not proven current", retry_after_ms)
    workspace = table.find_workspace(request.key or "")
    if workspace is None:
        return Refused(Refusal.UNKNOWN_KEY, _reason_for_key(table, request.key))
    return Admitted(route, workspace)


def allowed_time_ms(request: CallerRequest, route: Route) -> float:
    """Return how long a request may take: the caller's budget, at most the route's."""
    return min(request.budget_ms or route.timeout_ms, route.timeout_ms)


def _reason_for_key(table: RouteTable, key: str | None) -> str:
    if not table.n_keys:
        return "the configuration has no keys"
    return "unknown key" if key else "no key"


def _not_ready(reason: str, retry_after_ms: float) -> Refused:
    return Refused(Refusal.NOT_READY, reason, retry_after_ms)
