import asyncio
import time
import unittest
from unittest.mock import patch

from nose2.tools import params

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.order_service import look_up
from bronzeline_daemon.order_service.look_up import OrderLookUp
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.routing import Grant

TIMEOUT_MS = 100.0


class StandInDispatch:
    """Grant each ticket after some time."""

    def __init__(self, grant_after_s):
        self.grant_after_s = grant_after_s
        self.n_granted = 0
        self.released = []
        self.withdrawn = []

    def request(self, ticket, on_result):
        def grant():
            if ticket.ticket_id in self.withdrawn:
                return
            self.n_granted += 1
            on_result(Grant(ticket.ticket_id, upstream=None, wait_ms=0.0))

        asyncio.get_running_loop().call_later(self.grant_after_s, grant)

    def withdraw(self, ticket_id):
        self.withdrawn.append(ticket_id)

    def release(self, grant):
        self.released.append(grant.ticket_id)


class UnreachableService:
    async def look_up(self, upstream, key, timeout_ms):
        raise UpstreamError("unreachable")


class OrderLookUpTests(unittest.TestCase):
    @params((0.01, 0.0), (0.15, 0.0), (0.098, 0.02), (0.1, 0.02), (0.102, 0.02))
    def test_each_grant_is_released(self, grant_after_s, stall_s):
        """A stall puts the grant and the timeout into one turn of the event loop."""
        dispatch = StandInDispatch(grant_after_s)

        async def play():
            loop = asyncio.get_running_loop()
            loop.call_later(0.095, time.sleep, stall_s)
            orders = OrderLookUp(
                UnreachableService(), dispatch, BootClock(), lambda service: True
            )
            self.assertIsNone(await orders.find({"service": "orders"}))
            await asyncio.sleep(0.2)

        with patch.object(look_up, "TIMEOUT_MS", TIMEOUT_MS):
            asyncio.run(play())
        self.assertEqual(len(dispatch.released), dispatch.n_granted)
        self.assertEqual(dispatch.n_granted + len(dispatch.withdrawn), 1)
