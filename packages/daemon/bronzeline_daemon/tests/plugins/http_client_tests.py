import asyncio
import unittest

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_kernel.exceptions import StreamBrokenError, UpstreamUnreachableError


class FakeServer:
    """Take connections and answer as told, then close."""

    def __init__(self, answer, closes=None):
        self.answer = answer
        self.closes = bool(answer) if closes is None else closes
        self.writers = []
        self.heard = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}/"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.writers.append(writer)
        writer.write(self.answer)
        self.heard.set()
        if self.closes:
            writer.close()

    async def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.02)


HALF = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"


class HttpCallerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancelled_call_logs_nothing_when_its_connection_ends(self):
        server = FakeServer(b"")
        url = await server.start()
        with self.assertNoLogs():
            call = asyncio.ensure_future(HttpClient().call(url))
            await server.heard.wait()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await server.close()

    async def test_an_answer_that_breaks_off_may_have_run(self):
        server = FakeServer(HALF)
        url = await server.start()
        with self.assertRaises(StreamBrokenError):
            await HttpClient().call(url)
        await server.close()

    async def test_silence_after_the_request_may_have_run(self):
        server = FakeServer(b"")
        url = await server.start()
        with self.assertRaises(StreamBrokenError):
            await HttpClient().call(url, timeout_ms=50.0)
        await server.close()

    async def test_a_refused_connection_certainly_did_not_run(self):
        with self.assertRaises(UpstreamUnreachableError):
            await HttpClient().call("http://127.0.0.1:1/")
