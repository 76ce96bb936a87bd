import asyncio
import socket
import unittest
from dataclasses import dataclass

from bronzeline_daemon.peers import PeerNetwork
from bronzeline_kernel.fleet import RouterInfo
from bronzeline_kernel.membership import Members

KEY = "a key that both ends share"


@dataclass(frozen=True)
class SampleMessage:
    number: int
    data: bytes


def free_port():
    with socket.socket() as candidate:
        candidate.bind(("127.0.0.1", 0))
        return candidate.getsockname()[1]


class PeerPair:
    def __init__(self, sender_key=KEY):
        self.received = []
        port = free_port()
        info = RouterInfo("b", "127.0.0.1", port, "zone", "region")
        members = Members("a")
        members.apply_listing([info])
        self.sender = PeerNetwork("a", 7, sender_key, members)
        self.receiver = PeerNetwork("b", 8, KEY, Members("b"))
        self.receiver.listen_on("127.0.0.1", port)
        self.receiver.on(
            SampleMessage,
            lambda sender, message: self.received.append((sender, message)),
        )
        self.sender.on(SampleMessage, lambda sender, message: None)

    async def wait_for(self, condition):
        for _ in range(200):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError("condition not met within 1 s")

    def close(self):
        self.sender.close()
        self.receiver.close()


class PeerNetworkTests(unittest.IsolatedAsyncioTestCase):
    async def test_messages_arrive_in_order_with_the_senders_identity(self):
        pair = PeerPair()
        for number in range(20):
            pair.sender.send("b", SampleMessage(number, b"\x00\xff"))
        await pair.wait_for(lambda: len(pair.received) == 20)
        identity, _ = pair.received[0]
        self.assertEqual((identity.router_id, identity.incarnation), ("a", 7))
        self.assertEqual(
            [message.number for _, message in pair.received], list(range(20))
        )
        pair.close()

    async def test_messages_of_a_peer_with_another_key_are_dropped(self):
        pair = PeerPair(sender_key="a key that nobody else has")
        pair.sender.send("b", SampleMessage(1, b""))
        await pair.wait_for(lambda: pair.sender.n_dropped_messages == 1)
        self.assertEqual(pair.received, [])
        pair.close()

    async def test_a_malformed_or_missing_welcome_ends_the_connection(self):
        for response in (b"\x93\x01\x02\x03", b""):
            pair = PeerPair()
            pair.receiver.stop()

            async def respond(reader, writer, response=response):
                self.addCleanup(writer.close)
                writer.write(response)

            port = pair.sender._members.find("b").peer_port
            server = await asyncio.start_server(respond, "127.0.0.1", port)
            pair.sender.send("b", SampleMessage(1, b""))
            await pair.wait_for(lambda pair=pair: pair.sender.n_dropped_messages == 1)
            server.close()
            pair.close()

    async def test_a_forged_frame_is_refused_and_counted(self):
        pair = PeerPair()
        pair.sender.send("b", SampleMessage(1, b""))
        await pair.wait_for(lambda: pair.received)
        stream, authenticator = await pair.sender.connect("b")
        forged = bytearray(authenticator.seal(b"payload"))
        forged[-1] ^= 1
        await stream.write(bytes(forged))
        await pair.wait_for(lambda: pair.receiver.n_refused_frames == 1)
        self.assertEqual(len(pair.received), 1)
        pair.close()

    async def test_a_message_to_an_unknown_router_is_dropped_and_counted(self):
        pair = PeerPair()
        pair.sender.send("c", SampleMessage(1, b""))
        await pair.wait_for(lambda: pair.sender.n_dropped_messages == 1)
        pair.close()
