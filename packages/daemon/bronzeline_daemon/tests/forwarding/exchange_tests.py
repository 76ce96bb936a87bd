import asyncio
import contextlib
import socket
import unittest

from bronzeline_daemon.forwarding.connection_pool import connect
from bronzeline_daemon.forwarding.exchange import (
    MAX_FOREIGN_RESPONSES,
    Exchange,
    OutgoingRequest,
)
from bronzeline_kernel.exceptions import StreamBrokenError

MATCHING = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nyes"
FOREIGN = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nyes"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nyes\r\n0\r\n\r\n"
)
CLOSING = MATCHING.replace(b"X-Id", b"Connection: close\r\nX-Id")
INFORMATIONAL = b"HTTP/1.1 100 Continue\r\n\r\n"
LINGER_ZERO = b"\x01\x00\x00\x00\x00\x00\x00\x00"


async def close(writer):
    """Close a connection before its event loop is closed."""
    writer.close()
    with contextlib.suppress(ConnectionError):
        await writer.wait_closed()


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def exchange(self, response, end="keep"):
        """Serve the bytes of a response; return the exchange and the body read."""

        async def serve(reader, writer):
            self.addAsyncCleanup(close, writer)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(response)
            await writer.drain()
            if end == "reset":
                await asyncio.sleep(0.02)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_ZERO)
            if end != "keep":
                writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        stream = await connect(server.sockets[0].getsockname(), 500.0)
        chunks = []

        def is_own(status, headers):
            return dict(headers).get("X-Id") == "own"

        exchange = Exchange(stream, is_own, chunks.append)
        try:
            request = OutgoingRequest("GET", "/", (("Host", "x"),))
            await asyncio.wait_for(exchange.run(request), 1.0)
        finally:
            server.close()
            self.addCleanup(stream.close)
        return exchange, b"".join(chunks)

    async def is_read(self, response):
        """Return whether a response is taken as complete; the connection closes."""
        try:
            await self.exchange(response, end="close")
        except StreamBrokenError:
            return False
        return True

    async def test_reads_a_complete_response(self):
        for response, reusable in ((MATCHING, True), (CHUNKED, True), (CLOSING, False)):
            exchange, body = await self.exchange(response)
            self.assertEqual((body, exchange.is_reusable), (b"yes", reusable))

    async def test_skips_responses_that_belong_to_no_request(self):
        for response in (
            FOREIGN + MATCHING,
            FOREIGN + FOREIGN + MATCHING,
            FOREIGN * MAX_FOREIGN_RESPONSES + MATCHING,
            INFORMATIONAL + MATCHING,
        ):
            _, body = await self.exchange(response)
            self.assertEqual(body, b"yes")

    async def test_no_cut_head_is_read_as_part_of_the_next_response(self):
        cuts = [
            response[:n_bytes]
            for response in (FOREIGN, INFORMATIONAL)
            for n_bytes in range(1, len(response))
        ]
        read = [cut for cut in cuts if await self.is_read(cut + MATCHING)]
        self.assertEqual(read, [])

    async def test_contradictory_framing_raises_stream_broken(self):
        lines = (
            b"Content-Length: 2\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Transfer-Encoding: gzip\r\n",
        )
        responses = [MATCHING.replace(b"X-Id", line + b"X-Id") for line in lines]
        read = [response for response in responses if await self.is_read(response)]
        self.assertEqual(read, [])

    async def test_a_response_without_length_ends_when_the_connection_closes(self):
        exchange, body = await self.exchange(UNFRAMED, end="close")
        self.assertEqual((body, exchange.is_reusable), (b"yes", False))

    async def test_incomplete_responses_raise_stream_broken(self):
        for response, end in (
            (UNFRAMED, "reset"),
            (MATCHING[:-1], "close"),
            (CHUNKED[:-5], "close"),
            (FOREIGN * 3, "close"),
            (FOREIGN * (MAX_FOREIGN_RESPONSES + 1) + MATCHING, "close"),
            (b"\x00 nonsense\r\n\r\n", "close"),
            (b"", "close"),
        ):
            with self.assertRaises(StreamBrokenError):
                await self.exchange(response, end)
