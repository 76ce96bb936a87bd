import unittest
import zlib
from types import SimpleNamespace

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.forwarding import (
    ForwardingView,
    LeaseTerms,
    RouterEntry,
    UpstreamChange,
    UpstreamListing,
)
from bronzeline_kernel.tests.forwarding.samples import config, fleet, route
from bronzeline_standins.ports import free_port


def view(version=0, upstreams=()):
    found = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
    if version:
        found.apply_config(config(version))
    if upstreams:
        found.apply_listing(UpstreamListing(tuple(upstreams), 7), 0.0)
    return found


class PeerDocumentsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.port = free_port()
        self.peer = RouterEntry("router-1", "127.0.0.1", self.port, "zone-a")
        self.reader = PeerDocuments(view(), BootClock())
        self.addCleanup(self.reader.stop)

    def serve(self, known):
        server = PeerDocuments(known, BootClock())
        server.start("127.0.0.1", self.port)
        self.addCleanup(server.stop)
        return server

    async def test_what_a_peer_knows_is_read_as_it_is_there(self):
        known = view(4, fleet())
        self.serve(known)
        found = await self.reader.read_config(self.peer)
        self.assertEqual(found, known.table.config)
        listing = await self.reader.read_upstreams(self.peer, 0)
        self.assertEqual((listing.upstreams, listing.revision), (tuple(fleet()), 7))

    async def test_only_changes_are_sent_where_they_are_known(self):
        known = view(4, fleet())
        change = UpstreamChange("zone-a-0", None)
        known.apply_changes((change,), 9, 0.0)
        self.serve(known)
        for revision, expected in ((7, (change,)), (9, ())):
            found = await self.reader.read_upstreams(self.peer, revision)
            self.assertEqual((found.changes, found.revision), (expected, 9))
        listing = await self.reader.read_upstreams(self.peer, 3)
        self.assertEqual(len(listing.upstreams), len(fleet()) - 1)

    async def test_a_new_version_is_not_served_from_the_old_bytes(self):
        known = view(4)
        self.serve(known)
        await self.reader.read_config(self.peer)
        known.apply_config(config(5, routes=[route(name="new")]))
        found = await self.reader.read_config(self.peer)
        self.assertEqual((found.version, found.routes[0].name), (5, "new"))

    async def test_a_peer_that_knows_nothing_or_is_gone_is_an_error(self):
        with self.assertRaises(UpstreamError):
            await self.reader.read_config(self.peer)
        self.serve(view())
        with self.assertRaises(UpstreamError):
            await self.reader.read_config(self.peer)
        with self.assertRaises(UpstreamError):
            await self.reader.read_upstreams(self.peer, 0)

    async def test_bytes_that_are_no_document_are_an_error(self):
        server = self.serve(view(4))
        for body in (b"nonsense", zlib.compress(b"\x93")):
            server._compressed["/configuration"] = (4, body)
            with self.assertRaises(UpstreamError):
                await self.reader.read_config(self.peer)

    async def test_another_path_is_not_found(self):
        request = SimpleNamespace(path="/other")
        self.assertEqual(self.serve(view(4))._body(request.path), b"")
