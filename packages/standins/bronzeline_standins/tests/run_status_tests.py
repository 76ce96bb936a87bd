import asyncio
import unittest
from dataclasses import dataclass, fields, replace

import msgspec
from nose2.tools import params

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.config import Route
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.ports import HOST
from bronzeline_standins.topology import GUILD, Topology, workspace_key

ORDERS = f"/services/{GUILD.plain_service}/orders"


async def send(fleet, path, headers, **options):
    status, content = await call(fleet, path, headers, **options)
    error = content.get("error")
    return status, error and (error["code"], error["run_status"])


async def call(fleet, path, headers, *, method="POST", body=None, router=0):
    response = await HttpClient().call(
        f"http://{HOST}:{fleet.routers[router].caller_port}{path}",
        method=method,
        headers={"Authorization": f"Bearer {workspace_key('guild-00')}", **headers},
        body=body,
        timeout_ms=10_000.0,
    )
    return response.code, msgspec.json.decode(response.body)


def complete(fleet, headers, *, is_streamed=False, router=0):
    body = {"model": GUILD.model, "prompt": "plan", "max_tokens": 3}
    data = msgspec.json.encode({**body, "stream": is_streamed})
    return send(fleet, "/v1/completions", headers, body=data, router=router)


@dataclass(frozen=True)
class OrdersOnlyTopology(Topology):
    def fleet_config(self, defaults=None):
        config = super().fleet_config(defaults)
        routes = (Route("POST", "/", False), Route("GET", "/", False))
        service = replace(config.services[self.plain_service], routes=routes)
        services = {**config.services, self.plain_service: service}
        return replace(config, services=services)


ORDERS_ONLY = OrdersOnlyTopology(
    **{item.name: getattr(GUILD, item.name) for item in fields(GUILD)}
)


def run(scenario, topology=GUILD):
    async def main():
        fleet = EmbeddedFleet(topology, n_routers=2)
        await fleet.start()
        try:
            return await scenario(fleet)
        finally:
            await fleet.stop()

    return asyncio.run(main())


async def started_engines(fleet):
    """Wait until an engine holds the generation; return the engines that do."""
    while True:
        engines = [engine for engine in fleet.engines if engine.model.streams]
        if engines:
            return engines
        await asyncio.sleep(0.005)


async def wait_until_refused(fleet, code):
    """Send other generations until router 1 refuses one with the code."""
    for _ in range(500):
        _, error = await complete(fleet, {}, router=1)
        if error and error[0] == code:
            return
        await asyncio.sleep(0.01)
    raise AssertionError(f"router 1 refuses nothing as {code}")


class GenerationRunStatusTests(unittest.TestCase):
    @params((True, False), (False, False), (False, True))
    def test_a_generation_that_an_engine_got_is_not_told_not_run(
        self, is_streamed, are_engines_lost
    ):
        async def scenario(fleet):
            for engine in fleet.engines:
                engine.set_faults(is_stalled=True)
            limit = {"Request-Timeout-Ms": "1000"}
            answer = asyncio.create_task(
                complete(fleet, limit, is_streamed=is_streamed)
            )
            self.assertTrue(await started_engines(fleet))
            if are_engines_lost:
                for engine in fleet.engines:
                    engine.die()
            return await answer

        self.assertEqual(run(scenario), (504, ("deadline_passed", "delivered")))

    @params(
        ({"Request-Timeout-Ms": "0"}, 400, "invalid_header"),
        ({"Last-Event-ID": "of an earlier release"}, 400, "unknown_event_id"),
        ({"Authorization": "Bearer of another fleet"}, 401, "unknown_key"),
    )
    def test_a_resent_generation_is_not_told_not_run(self, changes, status, code):
        async def scenario(fleet):
            key = {"Idempotency-Key": "plan"}
            self.assertEqual((await complete(fleet, key))[0], 200)
            return await complete(fleet, {**key, **changes}, router=1)

        self.assertEqual(run(scenario), (status, (code, "in_doubt")))

    @params((503, "stopping"), (503, "no_upstream"))
    def test_a_resent_generation_is_not_told_not_run_by_a_router_without_room(
        self, status, code
    ):
        async def scenario(fleet):
            key = {"Idempotency-Key": "plan"}
            self.assertEqual((await complete(fleet, key))[0], 200)
            if code == "stopping":
                fleet.routers[1].lifecycle.is_closing = True
            else:
                fleet.set_leaving(*(item.upstream_id for item in fleet.engines))
                await wait_until_refused(fleet, code)
            resent = await complete(fleet, {"Idempotency-Key": "plan"}, router=1)
            return resent, await complete(fleet, {}, router=1)

        resent, without_key = run(scenario)
        self.assertEqual(resent, (status, (code, "in_doubt")))
        self.assertEqual(without_key, (status, (code, "not_run")))


class OrderRunStatusTests(unittest.TestCase):
    @params("0", "-20", "soon")
    def test_a_resend_with_an_invalid_time_limit_is_not_told_not_run(self, limit_ms):
        async def scenario(fleet):
            key = {"Idempotency-Key": "robe"}
            first = await send(fleet, ORDERS, key, body=b"a robe")
            self.assertEqual(first, (200, None))
            invalid = {**key, "Request-Timeout-Ms": limit_ms}
            resent = await send(fleet, ORDERS, invalid, body=b"a robe", router=1)
            without_key = {"Request-Timeout-Ms": limit_ms}
            return resent, await send(fleet, ORDERS, without_key, body=b"a robe")

        resent, without_key = run(scenario)
        self.assertEqual(resent, (400, ("invalid_header", "in_doubt")))
        self.assertEqual(without_key, (400, ("invalid_header", "not_run")))

    @params(("POST", ORDERS, b"a robe"), ("GET", f"{ORDERS}/robe", None))
    def test_a_resent_order_is_not_told_not_run_by_a_stopping_router(
        self, method, path, body
    ):
        async def scenario(fleet):
            key = {"Idempotency-Key": "robe"}
            first = await send(fleet, path, key, method=method, body=body)
            self.assertEqual(first, (200, None))
            fleet.routers[1].lifecycle.is_closing = True
            return await send(fleet, path, key, method=method, body=body, router=1)

        resent = run(scenario, ORDERS_ONLY)
        self.assertEqual(resent, (503, ("stopping", "in_doubt")))

    @params(({}, "not_run"), ({"Idempotency-Key": "robe"}, "in_doubt"))
    def test_the_message_of_a_refused_call_says_no_more_than_its_run_status(
        self, headers, run_status
    ):
        async def scenario(fleet):
            fleet.set_leaving(*(item.upstream_id for item in fleet.plain_servers))
            for _ in range(500):
                path = f"{ORDERS}/robe"
                status, content = await call(fleet, path, headers, method="GET")
                if status != 200:
                    return status, content["error"]
                await asyncio.sleep(0.01)
            raise AssertionError("the call is never refused")

        status, error = run(scenario)
        self.assertEqual((status, error["run_status"]), (503, run_status))
        says_not_run = "did not run and will not run" in error["message"]
        self.assertEqual(says_not_run, run_status == "not_run")
