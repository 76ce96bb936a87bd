import unittest
from dataclasses import replace

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    AdoptionGuard,
    EngineInfo,
    RouteTable,
    ServiceInfo,
    UpstreamIdentity,
)
from bronzeline_kernel.tests.forwarding.samples import ENGINES, config, upstream

FORMER = upstream("old", started=5)


def table(*engine_services):
    services = [
        ServiceInfo(name, "/health", 100, EngineInfo(8, 55_000, has_backups=True))
        for name in engine_services
    ]
    services.append(ServiceInfo("orders", "/health", 100))
    return RouteTable(replace(config(), services=tuple(services)))


class AdoptionTests(unittest.TestCase):
    def setUp(self):
        self.guard = AdoptionGuard()

    @params(
        ((ENGINES,), 2_000.0, True),
        ((ENGINES,), float("inf"), True),
        ((ENGINES,), 1_900.0, False),
        ((ENGINES, "others"), 2_000.0, False),
        ((), 2_000.0, False),
    )
    def test_identifies_only_without_store_and_with_one_engine_service(
        self, engine_services, proof_age_ms, expected
    ):
        route_table = table(*engine_services)
        result = self.guard.should_identify(FORMER, route_table, proof_age_ms, 0.0)
        self.assertEqual(result, expected)

    @params((999.0, False), (1_000.0, True))
    def test_address_is_identified_again_after_interval(self, now_ms, expected):
        route_table = table(ENGINES)
        self.guard.should_identify(FORMER, route_table, 9_000.0, 0.0)
        result = self.guard.should_identify(FORMER, route_table, 9_000.0, now_ms)
        self.assertEqual(result, expected)

    @params(
        (UpstreamIdentity("new", is_engine=True), 6),
        (UpstreamIdentity("new", is_engine=True, started_at_ms=9), 9),
        (UpstreamIdentity("new", is_engine=False), None),
        (UpstreamIdentity("old", is_engine=True), None),
    )
    def test_only_a_new_engine_replaces_the_former_entry(self, identity, started_at_ms):
        entry = self.guard.replacement_entry(FORMER, identity)
        if started_at_ms is None:
            self.assertIsNone(entry)
            return
        self.assertEqual((entry.upstream_id, entry.address), ("new", FORMER.address))
        self.assertEqual(entry.started_at_ms, started_at_ms)
