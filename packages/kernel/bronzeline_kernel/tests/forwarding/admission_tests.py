import unittest

from nose2.tools import params

from bronzeline_kernel.forwarding import (
    Admitted,
    ForwardingView,
    LeaseTerms,
    Refusal,
    StopPlan,
    WorkKind,
    admit,
)
from bronzeline_kernel.tests.forwarding.samples import config, fleet, request, route

FRESH_MS, STALE_MS = 1_000.0, 6_000.0
ROUTES = (
    route(),
    route(name="open", path_prefix="/open/", is_public=True),
    route(
        kind=WorkKind.NON_IDEMPOTENT,
        name="order",
        path_prefix="/orders/",
        timeout_ms=1_200.0,
    ),
    route(
        kind=WorkKind.NON_IDEMPOTENT,
        name="long",
        path_prefix="/long/",
        timeout_ms=6_000.0,
    ),
)


def view(is_loaded=True):
    router_view = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
    if is_loaded:
        router_view.apply_config(config(routes=ROUTES), 0.0)
        router_view.upstreams.replace_all(fleet(), 0.0)
        router_view.lease.renew(0.0)
    return router_view


class AdmissionTests(unittest.TestCase):
    @params(
        ("/drafts/1", "key-1", FRESH_MS, None),
        ("/drafts/1", "key-1", STALE_MS, Refusal.NOT_READY),
        ("/drafts/1", "key-9", FRESH_MS, Refusal.UNKNOWN_KEY),
        ("/drafts/1", "key-9", STALE_MS, Refusal.NOT_READY),
        ("/drafts/1", None, FRESH_MS, Refusal.UNKNOWN_KEY),
        ("/open/1", None, FRESH_MS, None),
        ("/open/1", None, STALE_MS, None),
        ("/none/1", "key-1", FRESH_MS, Refusal.NO_ROUTE),
        ("/none/1", "key-1", STALE_MS, Refusal.NOT_READY),
    )
    def test_admission_by_route_key_and_lease(self, path, key, now_ms, refusal):
        result = admit(view(), request(target=path, key=key), now_ms)
        self.assertEqual(getattr(result, "refusal", None), refusal)

    @params(
        (None, "key-1", FRESH_MS, None),
        (None, None, FRESH_MS, None),
        (None, None, STALE_MS, None),
        ((), "key-1", FRESH_MS, Refusal.UNKNOWN_KEY),
        ((), None, FRESH_MS, Refusal.UNKNOWN_KEY),
        ((), "key-1", STALE_MS, Refusal.NOT_READY),
        ((), None, STALE_MS, Refusal.NOT_READY),
        (("",), None, FRESH_MS, Refusal.UNKNOWN_KEY),
        (("",), "", FRESH_MS, Refusal.UNKNOWN_KEY),
        (("", "key-1"), None, FRESH_MS, Refusal.UNKNOWN_KEY),
        (("", "key-1"), "key-1", FRESH_MS, None),
    )
    def test_admission_where_no_key_is_needed_or_none_is_valid(
        self, keys, key, now_ms, refusal
    ):
        """No workspaces, or an empty key, admitted requests without a key."""
        router_view = view()
        router_view.apply_config(config(2, ROUTES, keys), 0.0)
        result = admit(router_view, request(key=key), now_ms)
        self.assertEqual(getattr(result, "refusal", None), refusal)

    @params(
        (("key-1",), "key-9", "unknown key"),
        (("key-1",), None, "no key"),
        (("key-1",), "", "no key"),
        ((), "key-9", "the configuration has no keys"),
        (("",), "key-9", "the configuration has no keys"),
    )
    def test_a_refusal_says_what_is_wrong_with_the_key(self, keys, key, reason):
        router_view = view()
        router_view.apply_config(config(2, ROUTES, keys), 0.0)
        result = admit(router_view, request(key=key), FRESH_MS)
        self.assertEqual(result.reason, reason)

    def test_refuses_as_not_ready_without_configuration(self):
        result = admit(view(is_loaded=False), request(target="/none/"), FRESH_MS)
        self.assertEqual(result.refusal, Refusal.NOT_READY)
        self.assertGreater(result.retry_after_ms, 0.0)

    @params(
        ("/drafts/1", 2_000.0, True),
        ("/drafts/1", 3_000.0, False),
        # A call may take until its deadline; the exit is at 7,800 ms.
        ("/orders/1", 3_000.0, True),
        ("/orders/1", 6_450.0, True),
        ("/orders/1", 6_451.0, False),
        ("/orders/1", 7_000.0, False),
        ("/long/1", 1_650.0, True),
        ("/long/1", 1_651.0, False),
    )
    def test_stopping_router_accepts_only_what_it_can_complete(
        self, path, now_ms, expected
    ):
        router_view, plan = view(), StopPlan(0.0, 8_000.0)
        router_view.lease.renew(now_ms)
        result = admit(router_view, request(target=path), now_ms, plan)
        self.assertEqual(isinstance(result, Admitted), expected)
        if not expected:
            self.assertEqual(result.refusal, Refusal.STOPPING)
            self.assertGreater(result.retry_after_ms, 0.0)


class ViewTests(unittest.TestCase):
    @params(((1, 3, 2), 3), ((5, 5, 4), 5), ((2, 7, 9), 9))
    def test_older_configuration_is_not_applied(self, versions, expected):
        router_view = view(is_loaded=False)
        for version in versions:
            router_view.apply_config(config(version=version), 0.0)
        self.assertEqual(router_view.version, expected)

    @params((True, True, True), (False, True, False), (True, False, False))
    def test_ready_needs_configuration_upstreams_and_lease(
        self, has_config, has_upstreams, expected
    ):
        router_view = view(is_loaded=False)
        router_view.lease.renew(0.0)
        if has_config:
            router_view.apply_config(config(), 0.0)
        if has_upstreams:
            router_view.upstreams.replace_all([], 0.0)
        self.assertEqual(router_view.is_ready(1.0), expected)
        self.assertFalse(router_view.is_ready(5_000.0))
