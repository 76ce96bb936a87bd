"""Connect to peers on demand and dispatch the messages they send."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgpack
import msgspec
from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpclient import TCPClient
from tornado.tcpserver import TCPServer

from bronzeline_daemon.logs import log_event
from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_daemon.peers.session import (
    FrameAuthenticator,
    Hello,
    Welcome,
    make_nonce,
    session_key,
)
from bronzeline_kernel.membership import Members

__all__ = ["PeerIdentity", "PeerNetwork"]

MAX_QUEUED_MESSAGES = 10_000
MAX_FRAME_BYTES = 4_000_000
READ_BYTES = 65_536
CONNECT_TIMEOUT_S = 0.5
IDLE_TIMEOUT_S = 30.0

MessageHandler = Callable[["PeerIdentity", Any], None]


@dataclass(frozen=True)
class PeerIdentity:
    """Identify the sender of a message by router and incarnation."""

    router_id: str
    incarnation: int


class PeerNetwork(TCPServer):
    """Send and receive messages over one connection per peer and direction.

    Messages to a peer that can't be reached are dropped and counted. A message
    that must arrive is acknowledged and resent by the sender's state machine.
    """

    def __init__(
        self, own_id: str, incarnation: int, shared_key: str, members: Members
    ) -> None:
        super().__init__()
        self.own_id = own_id
        self.incarnation = incarnation
        self.n_bytes_sent = 0
        self.n_bytes_received = 0
        self.n_dropped_messages = 0
        self.n_refused_frames = 0
        self.n_refused_messages = 0
        self._shared_key = shared_key
        self._members = members
        self._codec = MessageCodec()
        self._message_handlers: dict[type[Any], MessageHandler] = {}
        self._connections: dict[str, PeerConnection] = {}
        self._incoming_streams: set[IOStream] = set()

    def listen_on(self, host: str, port: int) -> None:
        """Listen for connections from peers."""
        self.add_sockets(bind_sockets(port, host))

    def on(self, message_type: type[Any], handler: MessageHandler) -> None:
        """Register a message type and call the handler for each message of it."""
        self._codec.register(message_type)
        self._message_handlers[message_type] = handler

    def send(self, router_id: str, message: Any) -> None:
        """Queue a message for a peer; drop it if the peer can't be reached."""
        connection = self._connections.get(router_id)
        if connection is None or connection.is_closed:
            connection = self._connections[router_id] = PeerConnection(self, router_id)
        connection.send(self._codec.encode(message))

    def broadcast(self, message: Any) -> None:
        """Send a message to every router that membership considers alive."""
        for router in self._members.alive():
            self.send(router.router_id, message)

    def reset(self, router_id: str) -> None:
        """Close the connection to a router; the next message opens a new one."""
        connection = self._connections.pop(router_id, None)
        if connection is not None:
            connection.close()

    def reset_all(self) -> None:
        """Close the connections to all routers; later messages open new ones."""
        for router_id in list(self._connections):
            self.reset(router_id)

    def close(self) -> None:
        """Stop listening and close every connection."""
        self.stop()
        for connection in self._connections.values():
            connection.close()
        for stream in list(self._incoming_streams):
            stream.close()

    async def connect(self, router_id: str) -> tuple[IOStream, FrameAuthenticator]:
        """Open an authenticated connection; raises `OSError` or `StreamClosedError`."""
        router = self._members.find(router_id)
        if router is None:
            raise ConnectionError(f"router {router_id} is not known")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            stream = await TCPClient().connect(router.host, router.peer_port)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return stream, await self._authenticate(stream, router_id)
        except PeerMessageError as error:
            stream.close()
            log_event("peer_refused", address=router_id, error=error)
            raise ConnectionError(f"{router_id}: {error}") from None
        except BaseException:
            stream.close()
            raise

    async def _authenticate(
        self, stream: IOStream, router_id: str
    ) -> FrameAuthenticator:
        """Exchange hello and welcome; raises `ConnectionError` without a proof."""
        hello = Hello(self.own_id, self.incarnation, make_nonce())
        await stream.write(
            msgpack.packb(msgspec.to_builtins(hello, builtin_types=(bytes,)))
        )
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        welcome = await _read_handshake(stream, unpacker, Welcome)
        authenticator = FrameAuthenticator(
            session_key(self._shared_key, hello, welcome.nonce)
        )
        if welcome.proof != authenticator.proof() or welcome.router_id != router_id:
            raise ConnectionError(
                f"{router_id} did not prove that it has the shared key"
            )
        return authenticator

    async def handle_stream(self, stream: IOStream, address: Any) -> None:
        """Complete the handshake with a peer and dispatch its messages."""
        self._incoming_streams.add(stream)
        try:
            await self._serve(stream)
        except StreamClosedError:
            pass
        except (PeerMessageError, ValueError) as error:
            self.n_refused_frames += 1
            log_event("peer_refused", address=address, error=error)
        finally:
            self._incoming_streams.discard(stream)
            stream.close()

    async def _serve(self, stream: IOStream) -> None:
        unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)
        hello = await _read_handshake(stream, unpacker, Hello)
        nonce = make_nonce()
        authenticator = FrameAuthenticator(session_key(self._shared_key, hello, nonce))
        welcome = Welcome(self.own_id, self.incarnation, nonce, authenticator.proof())
        await stream.write(
            msgpack.packb(msgspec.to_builtins(welcome, builtin_types=(bytes,)))
        )
        identity = PeerIdentity(hello.router_id, hello.incarnation)
        while True:
            data = await stream.read_bytes(READ_BYTES, partial=True)
            self.n_bytes_received += len(data)
            unpacker.feed(data)
            for frame in unpacker:
                self._dispatch(identity, authenticator.open(frame))

    def _dispatch(self, identity: PeerIdentity, payload: bytes) -> None:
        if self._members.has_restarted_since(identity.router_id, identity.incarnation):
            self.n_refused_messages += 1
            return
        message = self._codec.decode(payload)
        self._message_handlers[type(message)](identity, message)


class PeerConnection:
    """Write messages to one peer, in order, over one connection."""

    def __init__(self, network: PeerNetwork, router_id: str) -> None:
        self.is_closed = False
        self._network = network
        self._router_id = router_id
        self._queue: deque[bytes] = deque()
        self._wakeup = asyncio.Event()
        self._task = asyncio.ensure_future(self._run())

    def send(self, payload: bytes) -> None:
        """Queue a message; drop the oldest if 10 000 are queued."""
        if len(self._queue) >= MAX_QUEUED_MESSAGES:
            self._queue.popleft()
            self._network.n_dropped_messages += 1
        self._queue.append(payload)
        self._wakeup.set()

    def close(self) -> None:
        """Close the connection and drop the queued messages."""
        self.is_closed = True
        self._task.cancel()

    async def _run(self) -> None:
        stream: IOStream | None = None
        try:
            stream, authenticator = await self._network.connect(self._router_id)
            await self._write(stream, authenticator)
        except (OSError, TimeoutError, StreamClosedError, ValueError):
            self._network.n_dropped_messages += len(self._queue)
        finally:
            self.is_closed = True
            if stream is not None:
                stream.close()

    async def _write(self, stream: IOStream, authenticator: FrameAuthenticator) -> None:
        while True:
            while self._queue:
                data = b"".join(
                    authenticator.seal(payload) for payload in self._pop_queued()
                )
                self._network.n_bytes_sent += len(data)
                await stream.write(data)
            self._wakeup.clear()
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                await self._wakeup.wait()

    def _pop_queued(self) -> list[bytes]:
        payloads = list(self._queue)
        self._queue.clear()
        return payloads


async def _read_handshake(
    stream: IOStream, unpacker: Any, message_type: type[Any]
) -> Any:
    while True:
        unpacker.feed(await stream.read_bytes(READ_BYTES, partial=True))
        for item in unpacker:
            try:
                return msgspec.convert(item, message_type, builtin_types=(bytes,))
            except msgspec.ValidationError as error:
                raise PeerMessageError(
                    f"expected {message_type.__name__}: {error}"
                ) from None
