import asyncio
import unittest

import msgspec

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.config import FleetDefaults
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.plain_service import OrderBook
from bronzeline_standins.ports import HOST
from bronzeline_standins.topology import GUILD, workspace_key

KEY = workspace_key("guild-00")
# Only for tests in which the deadline must pass: on a busy machine, claiming an
# order takes a second.
SHORT_DEADLINE = FleetDefaults(plain_deadline_ms=2_000.0)


class LargeResponseOrderBook(OrderBook):
    def run(self, workspace, key, body):
        response = super().run(workspace, key, body)
        return {**response, "proof": "x" * 950_000} if key == "large" else response


async def send(fleet, key="", body=b"a robe", **options):
    headers = {"Authorization": f"Bearer {options.get('auth', KEY)}"}
    if key:
        headers["Idempotency-Key"] = key
    if options.get("auth") == "":
        del headers["Authorization"]
    path = f"/services/{options.get('service', 'order-desk')}/orders"
    response = await HttpClient().call(
        f"http://{HOST}:{fleet.routers[options.get('router', 0)].caller_port}{path}",
        method="POST",
        headers=headers,
        body=body,
        timeout_ms=10_000.0,
    )
    content = msgspec.json.decode(response.body)
    if response.code == 200:
        return 200, "answered", content["number"], response.headers
    error = content["error"]
    return response.code, error["run_status"], error["code"], response.headers


class OrderTestCase(unittest.IsolatedAsyncioTestCase):
    defaults = FleetDefaults()

    async def asyncSetUp(self):
        self.fleet = EmbeddedFleet(GUILD, n_routers=2, defaults=self.defaults)
        self.fleet.order_book = LargeResponseOrderBook()
        for server in self.fleet.plain_servers:
            server.order_book = self.fleet.order_book
        await self.fleet.start()

    async def asyncTearDown(self):
        await self.fleet.stop()


class OrderResponseTests(OrderTestCase):
    async def test_each_response_states_the_known_run_status(self):
        fleet = self.fleet
        first = await send(fleet, "robe")
        self.assertEqual(first[1], "answered")
        for router in (0, 1):
            self.assertEqual((await send(fleet, "robe", router=router))[2], first[2])
            reused = await send(fleet, "robe", b"two robes", router=router)
            self.assertEqual(reused[:3], (422, "not_run", "key_reused"))
        unknown = await send(fleet, "hat", service="hat-desk")
        self.assertEqual(unknown[:3], (404, "not_run", "unknown_service"))
        again = await send(fleet, "hat", service="hat-desk", router=1)
        self.assertEqual(again[:3], (404, "not_run", "unknown_service"))
        wrong_key = await send(fleet, "robe", auth="another key")
        self.assertEqual(wrong_key[:3], (401, "in_doubt", "unknown_key"))
        no_key = await send(fleet, "robe", auth="")
        self.assertEqual(no_key[:3], (401, "not_run", "unknown_key"))
        other = await send(fleet, "robe", auth=workspace_key("guild-01"))
        self.assertNotEqual(other[2], first[2])

    async def test_a_restarted_router_never_repeats_a_generated_key(self):
        first = await send(self.fleet)
        self.fleet.kill_router(0)
        await self.fleet.start_router(0)
        second = await send(self.fleet)
        keys = {result[3]["Idempotency-Key"] for result in (first, second)}
        self.assertEqual(len(keys), 2)
        self.assertEqual(sum(self.fleet.order_book.n_runs.values()), 2)

    async def test_a_response_too_large_to_store_is_delivered_once(self):
        self.assertEqual((await send(self.fleet, "large"))[0], 200)
        await asyncio.sleep(0.1)
        resent = await send(self.fleet, "large", router=1)
        self.assertEqual(resent[:3], (410, "answered", "answer_not_kept"))
        self.assertEqual(self.fleet.order_book.n_runs["large"], 1)


class OrderOutageTests(OrderTestCase):
    defaults = SHORT_DEADLINE

    async def outcome_after_resending(self, key):
        """Resend an order until its outcome is known, as callers do."""
        for _ in range(20):
            result = await send(self.fleet, key, router=1)
            if result[1] != "in_doubt":
                return result
        self.fail("the order stayed in doubt")

    async def test_refusals_during_a_store_outage_state_the_true_run_status(self):
        fleet = self.fleet
        fleet.platform.set_faults(is_unavailable=True)
        with_key, without_key = await asyncio.gather(send(fleet, "robe"), send(fleet))
        self.assertEqual(with_key[:2], (504, "in_doubt"))
        self.assertIn("Retry-After", with_key[3])
        self.assertEqual(without_key[:2], (503, "not_run"))
        self.assertNotIn("Idempotency-Key", without_key[3])
        fleet.platform.set_faults(is_unavailable=False)
        resent = await self.outcome_after_resending("robe")
        n_runs = sum(fleet.order_book.n_runs.values())
        self.assertEqual(n_runs, 1 if resent[1] == "answered" else 0)

    async def test_orders_in_doubt_are_listed_until_resolved(self):
        for server in self.fleet.plain_servers:
            server.set_faults(is_paused=True)
        self.assertEqual((await send(self.fleet, "robe"))[:2], (504, "in_doubt"))
        orders = self.fleet.routers[1].orders
        orders._wall_clock_s = lambda: 1e12
        keys = [
            claim.labels["idempotency_key"] for claim in await orders.list_in_doubt()
        ]
        self.assertEqual(keys, ["robe"])
        for server in self.fleet.plain_servers:
            server.set_faults(is_paused=False)
        resent = await self.outcome_after_resending("robe")
        self.assertEqual(resent[:2], (200, "answered"))
        self.assertEqual(self.fleet.order_book.n_runs["robe"], 1)
        for _ in range(500):
            if not await orders.list_in_doubt():
                return
            await asyncio.sleep(0.01)
        self.fail("the order stayed in doubt")
