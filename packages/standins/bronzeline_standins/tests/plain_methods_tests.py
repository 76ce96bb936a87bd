import asyncio
import unittest

from nose2.tools import params

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.ports import HOST
from bronzeline_standins.topology import GUILD, workspace_key

BODIES = {"POST": b"a robe", "PUT": b"a robe", "PATCH": b"a robe"}
METHOD_NOT_ALLOWED = 405


class PlainMethodsTests(unittest.TestCase):
    @params("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")
    def test_the_callers_method_reaches_the_service(self, method):
        async def scenario():
            fleet = EmbeddedFleet(GUILD, n_routers=1)
            await fleet.start()
            try:
                return await HttpClient().call(
                    f"http://{HOST}:{fleet.routers[0].caller_port}"
                    f"/services/{GUILD.plain_service}/orders",
                    method=method,
                    headers={
                        "Authorization": f"Bearer {workspace_key('guild-00')}",
                        "Idempotency-Key": "robe-1",
                    },
                    body=BODIES.get(method),
                    timeout_ms=10_000.0,
                )
            finally:
                await fleet.stop()

        response = asyncio.run(scenario())
        expected = 200 if method == "POST" else METHOD_NOT_ALLOWED
        self.assertEqual(response.code, expected)
        self.assertNotIn(b"run_status", response.body or b"")
