import unittest
from random import Random

from nose2.tools import params

from bronzeline_kernel.forwarding import RequestRoute, ServiceShare, WorkKind
from bronzeline_kernel.tests.forwarding.samples import route


def shared(**weights):
    """Return a route with a weight for each service."""
    return route(shares=tuple(ServiceShare(*item) for item in weights.items()))


def follow(admitted, in_force):
    return RequestRoute(admitted, lambda: in_force, Random(1))


class RequestRouteTests(unittest.TestCase):
    @params(
        ({"a": 1.0}, {"a"}),
        ({"a": 0.0, "b": 1.0}, {"b"}),
        ({"a": 0.0, "b": 0.0}, {"a"}),
        ({"a": 1.0, "b": 1.0}, {"a", "b"}),
    )
    def test_chooses_service_by_weight(self, weights, expected):
        result = RequestRoute(shared(**weights), random=Random(1))
        self.assertEqual({result.next_service() for _ in range(100)}, expected)

    @params(
        ({"a": 1.0}, {"a"}),
        ({"a": 1.0, "b": 9.0}, {"a"}),
        # The route has moved between two attempts.
        ({"b": 1.0}, {"b"}),
        ({"a": 0.0, "b": 1.0}, {"b"}),
    )
    def test_an_attempt_follows_the_configuration_in_force(self, weights, expected):
        """Attempts after the first one went on at the service of the former route."""
        result = follow(shared(a=1.0), shared(**weights))
        self.assertEqual({result.next_service("a") for _ in range(100)}, expected)

    @params(None, route(WorkKind.IDEMPOTENT, shares=(ServiceShare("b", 1.0),)))
    def test_a_route_that_was_removed_leads_on(self, in_force):
        """A request that was admitted is not lost, nor repeated as another kind."""
        result = follow(shared(a=1.0), in_force)
        self.assertEqual(result.next_service("a"), "a")

    @params(("a", True, True), ("b", True, False), ("c", False, False))
    def test_a_service_without_weight_gets_no_new_request(self, name, named, leads):
        result = RequestRoute(shared(a=1.0, b=0.0))
        self.assertEqual((result.names(name), result.leads_to(name)), (named, leads))
