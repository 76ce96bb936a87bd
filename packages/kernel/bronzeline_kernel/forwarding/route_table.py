"""Look up the route and the workspace of a request."""

from __future__ import annotations

from collections.abc import Iterator

from bronzeline_kernel.forwarding.config import (
    ForwardingConfig,
    Route,
    ServiceInfo,
    WorkspaceKeys,
)
from bronzeline_kernel.forwarding.urgency import (
    UrgencyTerms,
    find_levels,
    find_terms,
)

__all__ = ["RouteTable", "host_name", "path_prefixes"]


class RouteTable:
    """Index one version of the configuration by host, path prefix and key."""

    def __init__(self, config: ForwardingConfig) -> None:
        self.config = config
        self._routes: dict[str, dict[str, Route]] = {}
        for route in config.routes:
            by_prefix = self._routes.setdefault(route.host.lower(), {})
            by_prefix[route.path_prefix] = route
        self._levels = find_levels(config)
        self._services = {item.name: item for item in config.services}
        # Requests without a key would belong to the workspace of an empty one.
        self._workspaces = {
            key: workspace
            for workspace in config.workspaces or ()
            for key in workspace.keys
            if key
        }

    @property
    def n_keys(self) -> int:
        """Return the number of valid keys."""
        return len(self._workspaces)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, None if none does."""
        by_prefix = self._routes.get(host_name(host))
        if by_prefix is None:
            return None
        routes = (by_prefix.get(prefix) for prefix in path_prefixes(path))
        return next((route for route in routes if route is not None), None)

    def find_workspace(self, key: str) -> WorkspaceKeys | None:
        """Return the workspace that a key belongs to, None if it is unknown."""
        return self._workspaces.get(key)

    def terms(
        self, service: str, route: Route, workspace: WorkspaceKeys | None
    ) -> UrgencyTerms | None:
        """Return a request's terms at a service, None where priorities don't differ."""
        levels = self._levels.get(service, ())
        return find_terms(self.service(service), levels, route, workspace)

    def service(self, name: str) -> ServiceInfo | None:
        """Return the configuration of a service, None if it is unknown."""
        return self._services.get(name)


def path_prefixes(path: str) -> Iterator[str]:
    """Return the prefixes that the routes of a path may have, the longest first."""
    end = path.rfind("/")
    while end >= 0:
        yield path[: end + 1]
        end = path.rfind("/", 0, end)


def host_name(host: str) -> str:
    """Return a Host header without its port, in lowercase."""
    return host.partition(":")[0].lower()
