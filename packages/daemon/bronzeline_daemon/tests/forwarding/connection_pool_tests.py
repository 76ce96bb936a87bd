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


class FakeClock:
    def __init__(self):
        self.at_ms = 0.0

    def now_ms(self):
        return self.at_ms


class ConnectionPoolTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.clock = FakeClock()
        self.connection_pool = ConnectionPool(self.clock)
        self.writers = []
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()

    async def asyncTearDown(self):
        self.connection_pool.close()
        for writer in self.writers:
            writer.close()
        self.server.close()

    async def accept(self, reader, writer):
        self.writers.append(writer)

    async def release_idle(self, keep_alive_ms=None):
        connection = await self.connection_pool.acquire(self.address)
        await asyncio.sleep(0.02)
        self.connection_pool.release(self.address, connection, keep_alive_ms)
        return connection

    async def test_reuses_an_idle_connection(self):
        connection = await self.release_idle()
        self.assertIs(await self.connection_pool.acquire(self.address), connection)
        self.assertEqual(self.connection_pool.n_opened, 1)

    async def test_does_not_reuse_a_connection_near_its_idle_timeout(self):
        for keep_alive_ms, idle_ms in ((None, DEFAULT_IDLE_MS), (1_000.0, 1_000.0)):
            connection = await self.release_idle(keep_alive_ms)
            self.clock.at_ms += IDLE_SHARE * idle_ms + 1.0
            self.assertIsNot(
                await self.connection_pool.acquire(self.address), connection
            )

    async def test_does_not_reuse_a_connection_with_unread_bytes(self):
        connection = await self.release_idle()
        self.writers[0].write(b"HTTP/1.1 200 OK\r\n\r\n")
        await self.writers[0].drain()
        await asyncio.sleep(0.02)
        self.assertIsNot(await self.connection_pool.acquire(self.address), connection)

    async def test_does_not_reuse_a_connection_closed_by_the_upstream(self):
        connection = await self.release_idle()
        self.writers[0].close()
        await asyncio.sleep(0.02)
        self.assertIsNot(await self.connection_pool.acquire(self.address), connection)

    async def test_refused_connections_raise_upstream_unreachable(self):
        with socket.socket() as unused:
            unused.bind(("127.0.0.1", 0))
            address = unused.getsockname()
            with self.assertRaises(UpstreamUnreachableError):
                await self.connection_pool.acquire(address)
            self.assertFalse(await accepts_connection(address, 100.0))
        self.assertTrue(await accepts_connection(self.address, 100.0))

    async def test_an_impossible_address_is_unreachable(self):
        """It raised another error, which ended what had chosen the address."""
        addresses = [("127.0.0.1", port) for port in (-1, 65_536, 10**30)]
        addresses += [(host, 80) for host in ("\u00e4" * 80, "a\0b", "::1", "")]
        for address in addresses:
            with self.subTest(address), self.assertRaises(UpstreamUnreachableError):
                await self.connection_pool.acquire(address)
            self.assertFalse(await accepts_connection(address, 100.0))

    async def test_cancellation_while_connecting_completes_is_not_lost(self):
        connected = asyncio.get_running_loop().create_future()
        with mock.patch.object(Connection, "connect", return_value=connected):
            connecting = asyncio.create_task(connect(self.address, 500.0))
            await asyncio.sleep(0)
            connected.set_result(None)
            connecting.cancel()
            with self.assertRaises(asyncio.CancelledError):
                await connecting

    async def test_connecting_times_out(self):
        with socket.socket() as listener:
            listener.bind(("127.0.0.1", 0))
            listener.listen(0)
            address = listener.getsockname()
            fillers = [socket.socket() for _ in range(4)]
            for sock in fillers:
                sock.setblocking(False)
                sock.connect_ex(address)
            await asyncio.sleep(0.02)
            self.assertFalse(await accepts_connection(address, 60.0))
            for sock in fillers:
                sock.close()
