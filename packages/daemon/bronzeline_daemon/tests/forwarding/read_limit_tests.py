import asyncio
import unittest

from bronzeline_daemon.forwarding.read_limit import (
    MAX_BYTES_IN_TURN,
    MAX_BYTES_OF_CONNECTION,
    ReadLimit,
)


class ReadLimitTests(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.limit = ReadLimit()

    async def test_a_connection_may_read_a_part_in_each_turn(self):
        self.limit.record(1, MAX_BYTES_OF_CONNECTION)
        self.assertEqual(self.limit.n_allowed(1), 0)
        self.assertEqual(self.limit.n_allowed(2), MAX_BYTES_OF_CONNECTION)
        await asyncio.sleep(0)
        self.assertEqual(self.limit.n_allowed(1), MAX_BYTES_OF_CONNECTION)

    async def test_all_connections_share_the_bytes_of_a_turn(self):
        n_full = MAX_BYTES_IN_TURN // MAX_BYTES_OF_CONNECTION
        for connection_id in range(n_full):
            self.limit.record(connection_id, MAX_BYTES_OF_CONNECTION)
        self.assertEqual(self.limit.n_allowed(n_full), 0)
        await asyncio.sleep(0)
        self.assertEqual(self.limit.n_allowed(n_full), MAX_BYTES_OF_CONNECTION)

    def test_a_new_event_loop_starts_a_new_turn(self):
        async def read():
            self.limit.record(1, MAX_BYTES_IN_TURN)

        asyncio.run(read())

        async def check():
            self.assertEqual(self.limit.n_allowed(1), MAX_BYTES_OF_CONNECTION)

        asyncio.run(check())
