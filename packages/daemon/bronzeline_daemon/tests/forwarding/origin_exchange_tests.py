"""Ask peers where a stream began, some of which do not answer."""

import asyncio
import unittest
from types import SimpleNamespace
from unittest import mock

from nose2.tools import params

from bronzeline_daemon.forwarding import origin_exchange
from bronzeline_daemon.forwarding.origin_exchange import OriginExchange
from bronzeline_kernel.forwarding import (
    OriginUnknown,
    RouterEntry,
    ServiceVersions,
    StreamOrigin,
    StreamOrigins,
)

HOLDERS = [RouterEntry(f"r{n}", "127.0.0.1", 7200 + n, "zone-a") for n in range(5)]
UNKNOWN = OriginUnknown("h", ())
KNOWN = StreamOrigin("id-1", "h", "drafts", "v1")
TIMEOUT_S = 1.0


class Peers:
    """Take the place of the connections to peers."""

    def __init__(self):
        self.peer_list = SimpleNamespace(origin_holders=lambda request_hash: HOLDERS)
        self.asked = []
        self.listeners = {}

    def listen(self, message_type, listener):
        self.listeners[message_type] = listener

    def send_to(self, message, peer):
        self.asked.append(peer)

    def answer(self, message, number):
        self.listeners[type(message)](message, HOLDERS[number])


async def is_ended_by(answers):
    """Return whether the search ends with these answers."""
    peers, clock = Peers(), SimpleNamespace(now_ms=lambda: 0.0)
    exchange = OriginExchange(
        peers, StreamOrigins(), ServiceVersions(), lambda now_ms: 0.0, clock
    )
    search = asyncio.create_task(exchange.find("id-1", "h"))
    await asyncio.sleep(0.0)
    for number, message in enumerate(answers):
        peers.answer(message, number)
    await asyncio.sleep(0.05)
    is_ended = search.done()
    search.cancel()
    return is_ended, len(peers.asked)


class OriginExchangeTests(unittest.TestCase):
    @params(
        ([], False),
        ([UNKNOWN] * 2, False),
        # Two of five were lost with the router that began the stream.
        ([UNKNOWN] * 3, True),
        ([KNOWN], True),
        ([UNKNOWN, KNOWN], True),
    )
    def test_a_search_does_not_wait_for_peers_that_were_lost(self, answers, expected):
        with mock.patch.object(origin_exchange, "FIND_TIMEOUT_S", TIMEOUT_S):
            is_ended, n_asked = asyncio.run(is_ended_by(answers))
        self.assertEqual((is_ended, n_asked), (expected, len(HOLDERS)))
