"""Play callers that are refused in an outage of the store and come back once."""

from __future__ import annotations

from bronzeline_kernel.forwarding import Admitted, admit
from bronzeline_kernel.tests.forwarding.admission_tests import view
from bronzeline_kernel.tests.forwarding.samples import request

INTERVAL_MS = 50.0
# Keys may be trusted for this long without proof.
LEASE_MS = 4_700.0


def play(outage_ms, budget_ms):
    """Return when each refused caller came, when it came back, and if it was served.

    The last proof is from time 0, when the store goes away.
    """
    router_view = view()
    callers = []
    at_ms = LEASE_MS
    while at_ms < outage_ms:
        refused = admit(router_view, request(budget_ms=budget_ms), at_ms)
        back_ms = at_ms + refused.retry_after_ms
        callers.append((at_ms, back_ms))
        at_ms += INTERVAL_MS
    router_view.lease.renew(outage_ms)
    return [
        (at_ms, back_ms, back_ms >= outage_ms and is_admitted(router_view, back_ms))
        for at_ms, back_ms in callers
    ]


def is_admitted(router_view, now_ms):
    router_view.lease.renew(now_ms)
    return isinstance(admit(router_view, request(), now_ms), Admitted)
