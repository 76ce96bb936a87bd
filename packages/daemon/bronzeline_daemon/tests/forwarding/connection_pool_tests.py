import asyncio
import socket
import unittest
from unittest import mock

from bronzeline_daemon.forwarding.connection_pool import (
    DEFAULT_IDLE_MS,
    IDLE_SHARE,
    Connection,
    ConnectionPool,
    accepts_connection,
    connect,
)
from bronzeline_kernel.exceptions import UpstreamUnreachableError


class StepClock:
    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class ChannelsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = StepClock()
        self.connection_pool = ConnectionPool(self.clock)
        self.peers = []
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def asyncTearDown(self):
        self.connection_pool.close()
        for writer in self.peers:
            writer.close()
        self.server.close()

    async def accept(self, reader, writer):
        self.peers.append(writer)

    async def kept(self, keep_alive_ms=None):
        stream = await self.connection_pool.acquire(self.address)
        await asyncio.sleep(0.02)
        self.connection_pool.release(self.address, stream, keep_alive_ms)
        return stream

    async def test_an_idle_channel_is_used_again(self):
        stream = await self.kept()
        self.assertIs(await self.connection_pool.acquire(self.address), stream)
        self.assertEqual(self.connection_pool.n_opened, 1)

    async def test_a_channel_is_not_used_near_its_idle_timeout(self):
        for keep_alive_ms, idle_ms in ((None, DEFAULT_IDLE_MS), (1_000.0, 1_000.0)):
            stream = await self.kept(keep_alive_ms)
            self.clock.at_ms += IDLE_SHARE * idle_ms + 1.0
            self.assertIsNot(await self.connection_pool.acquire(self.address), stream)

    async def test_a_channel_with_unasked_bytes_is_not_used(self):
        stream = await self.kept()
        self.peers[0].write(b"HTTP/1.1 200 OK\r\n\r\n")
        await self.peers[0].drain()
        await asyncio.sleep(0.02)
        self.assertIsNot(await self.connection_pool.acquire(self.address), stream)

    async def test_a_channel_that_the_upstream_closed_is_not_used(self):
        stream = await self.kept()
        self.peers[0].close()
        await asyncio.sleep(0.02)
        self.assertIsNot(await self.connection_pool.acquire(self.address), stream)

    async def test_an_upstream_that_refuses_is_unreachable(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
            with self.assertRaises(UpstreamUnreachableError):
                await self.connection_pool.acquire(address)
            self.assertFalse(await accepts_connection(address, 100.0))
        self.assertTrue(await accepts_connection(self.address, 100.0))

    async def test_a_cancel_that_meets_the_connection_is_not_lost(self):
        connected = asyncio.get_running_loop().create_future()
        with mock.patch.object(Connection, "connect", return_value=connected):
            connecting = asyncio.create_task(connect(self.address, 500.0))
            await asyncio.sleep(0)
            connected.set_result(None)
            connecting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await connecting

    async def test_a_connection_that_hangs_is_given_up(self):
        with socket.socket() as full:
            full.bind(("127.0.0.1", 0))
            full.listen(0)
            address = full.getsockname()
            held = [socket.socket() for _ in range(4)]
            for sock in held:
                sock.setblocking(False)
                sock.connect_ex(address)
            await asyncio.sleep(0.02)
            self.assertFalse(await accepts_connection(address, 60.0))
            for sock in held:
                sock.close()
