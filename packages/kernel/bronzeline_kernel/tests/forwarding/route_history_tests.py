import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    ForwardingView,
    LeaseTerms,
    RequestRoute,
    ServiceShare,
)
from bronzeline_kernel.forwarding.route_history import MEMORY_MS
from bronzeline_kernel.tests.forwarding.samples import config, route

HOST, PATH = "Desk.example:8740", "/a/b/1"


def to(service, prefix="/a/", **fields):
    return route(path_prefix=prefix, shares=(ServiceShare(service, 1.0),), **fields)


class RouteHistoryTests(unittest.TestCase):
    def former(self, *versions, at_ms=0.0):
        """Apply one list of routes after the other, a second apart."""
        view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
        for number, routes in enumerate(versions):
            view.apply_config(config(number + 1, routes), 1_000.0 * number)
        services = view.route_history.former_services(HOST, PATH, at_ms)
        return set(services)

    @params(
        ([[to("x")]], set()),
        ([[to("x")], [to("x", timeout_ms=9.0)]], set()),
        ([[to("x")], [to("y")]], {"x"}),
        ([[to("x")], [to("y")], [to("z")]], {"x", "y"}),
        ([[to("x")], [to("y")], [to("x")]], {"x", "y"}),
        # A longer prefix is added, and one is removed.
        ([[to("x")], [to("x"), to("y", "/a/b/")]], {"x"}),
        ([[to("x"), to("y", "/a/b/")], [to("x")]], {"y"}),
        # Other paths and hosts.
        ([[to("x"), to("y", "/c/")], [to("x"), to("z", "/c/")]], set()),
        ([[to("x"), to("y", host="o.example")], [to("x")]], set()),
    )
    def test_services_that_a_route_left_are_remembered(self, versions, expected):
        self.assertEqual(self.former(*versions), expected)

    @params((1_000.0 + MEMORY_MS - 1.0, {"x"}), (1_000.0 + MEMORY_MS, set()))
    def test_they_are_forgotten_after_a_minute(self, at_ms, expected):
        self.assertEqual(self.former([to("x")], [to("y")], at_ms=at_ms), expected)

    @params(((), "y"), (("x",), ""), (("y",), "y"))
    def test_the_only_service_is_certain_without_a_former_one(self, former, expected):
        """The version of the new service was taken for that of the former one."""
        result = RequestRoute(to("y"), find_former=lambda now_ms: former)
        self.assertEqual(result.only_service(0.0), expected)
