"""Fetch responses that are larger than what may be buffered."""

import asyncio
import contextlib
import unittest

from nose2.tools import params

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.exchange import OutgoingRequest, fetch
from bronzeline_kernel.exceptions import ResponseTooLargeError, StreamBrokenError
from bronzeline_kernel.forwarding import HeldKind, MemoryAccount, ResponseLimits

LIMITS = ResponseLimits(total_bytes=256 * 1024, per_upstream_bytes=128 * 1024)
CHUNK = b"x" * 8 * 1024
TIMEOUT_MS = 5_000.0
HEADS = {
    "no length": b"HTTP/1.1 200 OK\r\n\r\n",
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: 9000000\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
}
WAYS = tuple(HEADS)


async def respond(writer, way, n_chunks):
    """Send a response of so many chunks, and close the connection."""
    writer.write(HEADS[way])
    with contextlib.suppress(ConnectionError):
        for _ in range(n_chunks):
            writer.write(b"2000\r\n%s\r\n" % CHUNK if way == "chunks" else CHUNK)
            await writer.drain()
    writer.close()


async def fetch_all(way, n_chunks, n_exchanges):
    """Return the result of each of several exchanges with one address."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        await respond(writer, way, n_chunks)

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    pool = ConnectionPool(BootClock(), LIMITS)
    request = OutgoingRequest("GET", "/", (("Host", "x"),))
    address = server.sockets[0].getsockname()
    calls = [fetch(pool, address, request, TIMEOUT_MS) for _ in range(n_exchanges)]
    results = await asyncio.gather(*calls, return_exceptions=True)
    server.close()
    return results, pool.response_budget.n_bytes


class FetchTests(unittest.TestCase):
    @params(*((way, n_exchanges) for way in WAYS for n_exchanges in (1, 8)))
    def test_a_body_beyond_the_bound_is_no_whole_response(self, way, n_exchanges):
        """A body without length was returned up to the bound, as if it were whole."""
        results, n_buffered = asyncio.run(fetch_all(way, 1_000, n_exchanges))
        self.assertEqual({type(item) for item in results}, {ResponseTooLargeError})
        self.assertTrue(issubclass(ResponseTooLargeError, StreamBrokenError))
        self.assertIn("the response is too large", map(str, results))
        self.assertEqual(n_buffered, 0)

    @params("complete", "cut", "silent", "too large")
    def test_control_responses_are_in_the_account_until_they_end(self, end):
        """Bytes that stay counted would take room from callers for good."""

        async def run():
            account, held = MemoryAccount(), []
            served = asyncio.Event()

            async def serve(reader, writer):
                await reader.readuntil(b"\r\n\r\n")
                n_bytes = 9_000_000 if end == "too large" else 2 * len(CHUNK)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % n_bytes)
                writer.write(CHUNK)
                while account.by_kind[HeldKind.CONTROL] < len(CHUNK):
                    await asyncio.sleep(0.005)
                held.append(account.n_bytes)
                if end == "silent":
                    await reader.read()
                elif end != "cut":
                    with contextlib.suppress(ConnectionError):
                        for _ in range(n_bytes // len(CHUNK) - 1):
                            writer.write(CHUNK)
                            await writer.drain()
                writer.close()
                served.set()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            pool = ConnectionPool(BootClock(), LIMITS)
            pool.response_budget.account = account
            address = server.sockets[0].getsockname()
            request = OutgoingRequest("GET", "/", (("Host", "x"),))
            with contextlib.suppress(StreamBrokenError):
                await fetch(pool, address, request, 300.0)
            pool.close()
            await served.wait()
            server.close()
            return held, account.n_bytes

        self.assertEqual(asyncio.run(run()), ([len(CHUNK)], 0))

    def test_a_body_without_length_within_the_bound_is_whole(self):
        ((response,), _) = asyncio.run(fetch_all("no length", 4, 1))
        self.assertEqual(response.body, 4 * CHUNK)
