"""Follow where the configuration leads a request while it is served."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from random import Random

from bronzeline_kernel.forwarding.config import Route, ServiceShare

__all__ = ["RequestRoute"]


def _find_none() -> Route | None:
    return None


@dataclass(frozen=True)
class RequestRoute:
    """Decide to which services a request may be sent; each attempt asks here.

    A request keeps the limits with which it was admitted. Where it is sent next is
    decided by the configuration in force, as its route may have moved meanwhile.
    """

    admitted: Route
    # Returns the route that the configuration in force has for the request.
    find: Callable[[], Route | None] = _find_none
    random: Random = field(default_factory=Random)
    # Returns the services that the request's route left lately, at a time.
    find_former: Callable[[float], Collection[str]] = lambda now_ms: ()

    @property
    def current(self) -> Route:
        """Return the route in force, or the admitted one if that was removed."""
        route = self.find()
        if route is None or route.kind is not self.admitted.kind:
            return self.admitted
        return route

    def only_service(self, now_ms: float) -> str:
        """Return where all of the route's requests ran lately, empty if uncertain."""
        named = {item.service for item in self.current.shares}
        services = named.union(self.find_former(now_ms))
        return services.pop() if len(services) == 1 else ""

    def names(self, service: str) -> bool:
        """Return whether the route in force names a service, with any weight."""
        return any(item.service == service for item in self.current.shares)

    def leads_to(self, service: str) -> bool:
        """Return whether the route in force sends new requests to a service."""
        return any(item.service == service for item in self._weighted_shares())

    def next_service(self, former: str = "") -> str:
        """Return the service of the next attempt: the former one if it may be."""
        if self.leads_to(former):
            return former
        shares = self._weighted_shares()
        if len(shares) == 1:
            return shares[0].service
        weights = [item.weight for item in shares]
        return self.random.choices(shares, weights)[0].service

    def _weighted_shares(self) -> tuple[ServiceShare, ...]:
        """Return the shares with a weight, or the first one if none has any."""
        shares = self.current.shares
        return tuple(item for item in shares if item.weight > 0.0) or shares[:1]
