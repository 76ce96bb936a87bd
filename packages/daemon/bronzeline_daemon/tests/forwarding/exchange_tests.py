import asyncio
import socket
import unittest

from bronzeline_daemon.forwarding.connection_pool import connect
from bronzeline_daemon.forwarding.exchange import Exchange, OutgoingRequest
from bronzeline_kernel.exceptions import StreamBrokenError

OWN = b"HTTP/1.1 200 OK\r\nX-Id: own\r\nContent-Length: 3\r\n\r\nyes"
OTHER = b"HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"
UNFRAMED = b"HTTP/1.1 200 OK\r\nX-Id: own\r\n\r\nyes"
CHUNKED = (
    b"HTTP/1.1 200 OK\r\nX-Id: own\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3\r\nyes\r\n0\r\n\r\n"
)
CLOSING = OWN.replace(b"X-Id", b"Connection: close\r\nX-Id")
EARLY = b"HTTP/1.1 100 Continue\r\n\r\n"
RESET = b"\x01\x00\x00\x00\x00\x00\x00\x00"


class ExchangeTests(unittest.IsolatedAsyncioTestCase):
    async def exchange(self, answer, end="keep"):
        """Play an answer; return the exchange and the body that came."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(answer)
            await writer.drain()
            if end == "reset":
                await asyncio.sleep(0.02)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
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

    async def test_an_answer_is_read_to_its_end(self):
        for answer, reusable in ((OWN, True), (CHUNKED, True), (CLOSING, False)):
            exchange, body = await self.exchange(answer)
            self.assertEqual((body, exchange.is_reusable), (b"yes", reusable))

    async def test_answers_of_no_request_are_passed_over(self):
        for answer in (OTHER + OWN, OTHER + OTHER + OWN, EARLY + OWN):
            _, body = await self.exchange(answer)
            self.assertEqual(body, b"yes")

    async def test_an_answer_without_length_ends_with_its_channel(self):
        exchange, body = await self.exchange(UNFRAMED, end="close")
        self.assertEqual((body, exchange.is_reusable), (b"yes", False))

    async def test_what_is_not_whole_is_broken(self):
        for answer, end in (
            (UNFRAMED, "reset"),
            (OWN[:-1], "close"),
            (CHUNKED[:-5], "close"),
            (OTHER * 3, "close"),
            (b"\x00 nonsense\r\n\r\n", "close"),
            (b"", "close"),
        ):
            with self.assertRaises(StreamBrokenError):
                await self.exchange(answer, end)
