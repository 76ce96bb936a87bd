import asyncio
import unittest

from bronzeline_daemon.plugins.http_client import MAX_BODY_BYTES, HttpClient
from bronzeline_kernel.exceptions import StreamBrokenError, UpstreamUnreachableError


class FakeServer:
    """Send a fixed response to each request, then optionally close the connection."""

    def __init__(self, response, must_close=None):
        self.response = response
        self.must_close = bool(response) if must_close is None else must_close
        self.writers = []
        self.request_received = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}/"

    async def _serve(self, reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        self.writers.append(writer)
        writer.write(self.response)
        self.request_received.set()
        if self.must_close:
            writer.close()

    async def close(self):
        self.server.close()
        for writer in self.writers:
            writer.close()
        await asyncio.sleep(0.02)


TRUNCATED_RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf"


LARGE_RESPONSE = b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * (MAX_BODY_BYTES + 1)


class HttpClientTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_cancelled_call_logs_nothing_when_its_connection_ends(self):
        server = FakeServer(b"")
        url = await server.start()
        with self.assertNoLogs():
            call = asyncio.ensure_future(HttpClient().call(url))
            await server.request_received.wait()
            call.cancel()
            await asyncio.gather(call, return_exceptions=True)
            await server.close()

    async def test_a_truncated_response_raises_stream_broken(self):
        server = FakeServer(TRUNCATED_RESPONSE)
        url = await server.start()
        with self.assertRaises(StreamBrokenError):
            await HttpClient().call(url)
        await server.close()

    async def test_a_timeout_after_the_request_raises_stream_broken(self):
        server = FakeServer(b"")
        url = await server.start()
        with self.assertRaises(StreamBrokenError):
            await HttpClient().call(url, timeout_ms=50.0)
        await server.close()

    async def test_a_refused_connection_raises_upstream_unreachable(self):
        with self.assertRaises(UpstreamUnreachableError):
            await HttpClient().call("http://127.0.0.1:1/")

    async def test_a_body_above_the_limit_raises_stream_broken(self):
        server = FakeServer(LARGE_RESPONSE)
        url = await server.start()
        with self.assertRaises(StreamBrokenError):
            await HttpClient().call(url)
        await server.close()

    async def test_a_streamed_body_has_no_limit(self):
        server = FakeServer(LARGE_RESPONSE)
        url = await server.start()
        n_bytes = 0

        def on_chunk(chunk):
            nonlocal n_bytes
            n_bytes += len(chunk)

        await HttpClient().call(url, on_chunk=on_chunk)
        self.assertEqual(n_bytes, MAX_BODY_BYTES + 1)
        await server.close()
