"""Pass configurations and many changes of upstreams between peers.

Datagrams carry changes; what does not fit is fetched over a connection, so
that one router of a zone reads the store for all also when much changes.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets

from bronzeline_daemon.forwarding.channels import Channels
from bronzeline_daemon.forwarding.exchange import OutgoingRequest, fetch
from bronzeline_daemon.forwarding.send_answer import send_answer
from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_kernel.exceptions import UpstreamRefusedError
from bronzeline_kernel.forwarding import (
    ForwardingConfig,
    ForwardingView,
    RouterEntry,
    UpstreamChanges,
    UpstreamListing,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["PeerDocuments"]

Document = TypeVar("Document")

CONFIG_PATH = "/configuration"
UPSTREAMS_PATH = "/upstreams"
# 120 KB for 300 routes, a tenth of it packed, takes 20 ms at 5 Mbit/s; with
# all routers of a zone asking at once 300 ms. After this the store is read.
TIMEOUT_MS = 500.0
# Routes and entries resemble each other: the fastest level packs them tenfold.
COMPRESSION_LEVEL = 1
OK = 200


class PeerDocuments:
    """Serve what this router knows, and fetch what a peer knows."""

    def __init__(self, view: ForwardingView, clock: Clock) -> None:
        self._view = view
        self._channels = Channels(clock)
        self._codec = MessageCodec()
        self._codec.register(ForwardingConfig)
        self._codec.register(UpstreamListing)
        self._codec.register(UpstreamChanges)
        self._packed: dict[str, tuple[int, bytes]] = {}
        self._server = HTTPServer(self._answer)

    def start(self, host: str, port: int) -> None:
        """Listen for peers, at the port whose datagrams they send to."""
        self._server.add_sockets(bind_sockets(port, host))

    def stop(self) -> None:
        """Listen no more, and close the connections to peers."""
        self._server.stop()
        self._channels.close()

    async def read_config(self, peer: RouterEntry) -> ForwardingConfig:
        """Return a peer's configuration; raises `UpstreamError`."""
        return await self._read(peer, CONFIG_PATH, ForwardingConfig)

    async def read_upstreams(
        self, peer: RouterEntry, revision: int
    ) -> UpstreamListing | UpstreamChanges:
        """Return what changed after a revision, or the list where that is not known.

        Raises `UpstreamError`.
        """
        path = f"{UPSTREAMS_PATH}?since={revision}"
        return await self._read(peer, path, (UpstreamListing, UpstreamChanges))

    async def _read(
        self,
        peer: RouterEntry,
        path: str,
        kind: type[Document] | tuple[type[Document], ...],
    ) -> Document:
        request = OutgoingRequest("GET", path, (("Host", peer.router_id),), b"")
        address = (peer.host, peer.peer_port)
        answer = await fetch(self._channels, address, request, TIMEOUT_MS)
        if answer.status != OK:
            raise UpstreamRefusedError(f"GET {path}: answered {answer.status}")
        try:
            document = self._codec.decode(zlib.decompress(answer.body))
        except (zlib.error, PeerMessageError) as error:
            raise UpstreamRefusedError(f"GET {path}: {error}") from None
        if not isinstance(document, kind):
            raise UpstreamRefusedError(f"GET {path}: another document")
        return document

    def _answer(self, request: HTTPServerRequest) -> None:
        since = request.query_arguments.get("since", [b""])[-1]
        body = self._body(request.path, since)
        send_answer(request, 200 if body else 404, body)

    def _body(self, path: str, since: bytes = b"") -> bytes:
        """Return a document as it is sent, empty where there is none."""
        view = self._view
        if path == CONFIG_PATH and view.table is not None:
            return self._compress(path, view.version, view.table.config)
        if path == UPSTREAMS_PATH and view.upstreams.is_loaded:
            changes = view.changes.since(int(since)) if since.isdigit() else None
            if changes is not None:
                update = UpstreamChanges(changes, view.changes.revision)
                return zlib.compress(self._codec.encode(update), COMPRESSION_LEVEL)
            return self._compress(path, view.changes.revision, view.listing())
        return b""

    def _compress(self, path: str, number: int, document: object) -> bytes:
        compressed_number, compressed = self._packed.get(path, (-1, b""))
        if compressed_number != number:
            compressed = zlib.compress(self._codec.encode(document), COMPRESSION_LEVEL)
            self._packed[path] = (number, compressed)
        return compressed
