import asyncio
import unittest

from nose2.tools import params

from bronzeline_daemon.plugins.http_engine import HttpEngine
from bronzeline_daemon.tests.plugins.http_client_tests import FakeServer
from bronzeline_kernel.exceptions import StreamBrokenError, StreamNotOpenedError
from bronzeline_kernel.fleet import Upstream, UpstreamKind
from bronzeline_standins.token_chain import engine_request

RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


async def generate(response):
    server = FakeServer(response, must_close=True)
    url = await server.start()
    host, _, port = url.removeprefix("http://").rstrip("/").partition(":")
    upstream = Upstream("e", "s", UpstreamKind.ENGINE, host, int(port), "z", "r")
    request = engine_request("m", "p", 5)
    try:
        await HttpEngine().generate(upstream, request, lambda frame: None)
    finally:
        await server.close()


class HttpEngineTests(unittest.TestCase):
    @params((b"", StreamNotOpenedError), (RESPONSE_HEAD, StreamBrokenError))
    def test_streams_that_were_never_opened_have_their_own_error(self, response, error):
        with self.assertRaises(error):
            asyncio.run(generate(response))
