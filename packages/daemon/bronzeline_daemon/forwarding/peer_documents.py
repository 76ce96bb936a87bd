"""Exchange configurations, lists of routers and large sets of changes between peers.

Datagrams carry small sets of changes; what does not fit into one is fetched
over HTTP. So even after large changes only one router of a zone reads the store.
"""

from __future__ import annotations

import zlib
from typing import TypeVar

from tornado.httputil import HTTPServerRequest
from tornado.netutil import bind_sockets

from bronzeline_daemon.forwarding.bounded_server import PlainServer
from bronzeline_daemon.forwarding.connection_limiter import ConnectionLimiter
from bronzeline_daemon.forwarding.connection_pool import ConnectionPool
from bronzeline_daemon.forwarding.exchange import OutgoingRequest, fetch
from bronzeline_daemon.forwarding.limiter_setup import make_default_limiter
from bronzeline_daemon.forwarding.plain_response import send_plain_response
from bronzeline_daemon.message_codec import MessageCodec, PeerMessageError
from bronzeline_kernel.exceptions import UpstreamRefusedError
from bronzeline_kernel.forwarding import (
    ForwardingConfig,
    ForwardingView,
    PeerList,
    RouterEntry,
    RouterListing,
    StorePosition,
    UpstreamChanges,
    UpstreamListing,
)
from bronzeline_kernel.protocols import Clock

__all__ = ["PeerDocuments"]

Document = TypeVar("Document")
# Differs between two states of a document.
Version = int | StorePosition

CONFIG_PATH = "/configuration"
UPSTREAMS_PATH = "/upstreams"
ROUTERS_PATH = "/routers"
# A configuration of 300 routes is 120 KB, a tenth of that compressed, and takes
# 20 ms at 5 Mbit/s, or 300 ms when all routers of a zone request it at once.
# After this timeout the router reads the store.
TIMEOUT_MS = 500.0
# Routes resemble each other, and so do upstreams, so even zlib's fastest level
# compresses tenfold.
COMPRESSION_LEVEL = 1
OK = 200
# A list of 12,000 upstreams takes 7 MB.
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024


class PeerDocuments:
    """Serve this router's documents to peers, and fetch theirs."""

    def __init__(
        self,
        view: ForwardingView,
        peer_list: PeerList,
        clock: Clock,
        connection_limiter: ConnectionLimiter | None = None,
    ) -> None:
        self._view = view
        self._peer_list = peer_list
        connection_limiter = connection_limiter or make_default_limiter(clock)
        self._connection_pool = ConnectionPool(clock)
        self._connection_pool.response_budget.account = connection_limiter.account
        self._codec = MessageCodec()
        self._codec.register(ForwardingConfig)
        self._codec.register(UpstreamListing)
        self._codec.register(UpstreamChanges)
        self._codec.register(RouterListing)
        self._compressed: dict[str, tuple[Version | None, bytes]] = {}
        self._server = PlainServer(self._respond)
        self._server.join(connection_limiter, "peers")

    def start(self, host: str, port: int) -> None:
        """Listen for peers' HTTP requests, on the port number used for datagrams."""
        self._server.add_sockets(bind_sockets(port, host))

    def stop(self) -> None:
        """Stop listening and close the connections to peers."""
        self._server.stop()
        self._connection_pool.close()

    async def read_config(self, peer: RouterEntry) -> ForwardingConfig:
        """Return a peer's configuration; raises `UpstreamError`."""
        return await self._read(peer, CONFIG_PATH, ForwardingConfig)

    async def read_upstreams(
        self, peer: RouterEntry, position: StorePosition
    ) -> UpstreamListing | UpstreamChanges:
        """Return a peer's changes since a position, or its complete list.

        The peer sends the list when it does not keep changes that far back.
        Raises `UpstreamError`.
        """
        path = f"{UPSTREAMS_PATH}?since={position}"
        return await self._read(peer, path, (UpstreamListing, UpstreamChanges))

    async def read_routers(self, peer: RouterEntry) -> RouterListing:
        """Return a peer's list of all routers; raises `UpstreamError`."""
        return await self._read(peer, ROUTERS_PATH, RouterListing)

    async def _read(
        self,
        peer: RouterEntry,
        path: str,
        kind: type[Document] | tuple[type[Document], ...],
    ) -> Document:
        request = OutgoingRequest("GET", path, (("Host", peer.router_id),), b"")
        address = (peer.host, peer.peer_port)
        response = await fetch(self._connection_pool, address, request, TIMEOUT_MS)
        if response.status != OK:
            raise UpstreamRefusedError(f"GET {path}: answered {response.status}")
        try:
            document = self._codec.decode(_decompress(response.body))
        except (zlib.error, PeerMessageError) as error:
            raise UpstreamRefusedError(f"GET {path}: {error}") from None
        if not isinstance(document, kind):
            raise UpstreamRefusedError(f"GET {path}: unexpected type of document")
        return document

    def _respond(self, request: HTTPServerRequest) -> None:
        since = request.query_arguments.get("since", [b""])[-1]
        body = self._body(request.path, since.decode("latin-1"))
        send_plain_response(request, 200 if body else 404, body)

    def _body(self, path: str, since: str = "") -> bytes:
        """Return a document in compressed form; empty if there is none."""
        view = self._view
        if path == CONFIG_PATH and view.table is not None:
            return self._compress(path, view.version, view.table.config)
        if path == UPSTREAMS_PATH and view.upstreams.is_loaded:
            position = StorePosition.parse(since)
            changes = view.changes.since(position) if position is not None else None
            if changes is not None:
                update = UpstreamChanges(changes, view.changes.position)
                return zlib.compress(self._codec.encode(update), COMPRESSION_LEVEL)
            return self._compress(path, view.changes.position, view.listing())
        if path == ROUTERS_PATH and self._peer_list.is_listed:
            return self._compress(
                path, self._peer_list.digest, self._peer_list.listing()
            )
        return b""

    def _compress(self, path: str, version: Version, document: object) -> bytes:
        compressed_version, compressed = self._compressed.get(path, (None, b""))
        if compressed_version != version:
            compressed = zlib.compress(self._codec.encode(document), COMPRESSION_LEVEL)
            self._compressed[path] = (version, compressed)
        return compressed


def _decompress(data: bytes) -> bytes:
    """Decompress a document; raises `zlib.error` if it is too large."""
    decompressor = zlib.decompressobj()
    document = decompressor.decompress(data, MAX_DOCUMENT_BYTES)
    if not decompressor.eof:
        raise zlib.error("the document is incomplete or too large")
    return document
