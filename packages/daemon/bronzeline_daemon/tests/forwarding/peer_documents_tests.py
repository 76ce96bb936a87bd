import unittest
import zlib
from types import SimpleNamespace

import msgpack

from bronzeline_daemon.clock import BootClock
from bronzeline_daemon.forwarding.peer_documents import PeerDocuments
from bronzeline_kernel.exceptions import UpstreamError
from bronzeline_kernel.forwarding import (
    ForwardingView,
    LeaseTerms,
    PeerList,
    RouterEntry,
    StorePosition,
    UpstreamChange,
    UpstreamListing,
)
from bronzeline_kernel.tests.forwarding.samples import config, fleet, route
from bronzeline_standins.ports import free_port

OWN = RouterEntry("router-0", "127.0.0.1", 1, "zone-a")


def at(revision, era=1):
    return StorePosition(era, revision)


def make_view(version=0, upstreams=()):
    result = ForwardingView(LeaseTerms(4_700.0, 3_400.0))
    if version:
        result.apply_config(config(version), 0.0)
    if upstreams:
        result.apply_listing(UpstreamListing(tuple(upstreams), at(7)), 0.0)
    return result


class PeerDocumentsTests(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.port = free_port()
        self.peer = RouterEntry("router-1", "127.0.0.1", self.port, "zone-a")
        self.reader = PeerDocuments(make_view(), PeerList(OWN), BootClock())
        self.addCleanup(self.reader.stop)

    def serve(self, view, routers=()):
        peer_list = PeerList(self.peer)
        if routers:
            peer_list.replace(routers)
        server = PeerDocuments(view, peer_list, BootClock())
        server.start("127.0.0.1", self.port)
        self.addCleanup(server.stop)
        return server

    async def test_documents_arrive_as_the_peer_holds_them(self):
        view = make_view(4, fleet())
        self.serve(view)
        result = await self.reader.read_config(self.peer)
        self.assertEqual(result, view.table.config)
        listing = await self.reader.read_upstreams(self.peer, StorePosition())
        self.assertEqual((listing.upstreams, listing.position), (tuple(fleet()), at(7)))

    async def test_a_peer_learns_whether_keys_are_needed(self):
        view = make_view()
        self.serve(view)
        for version, keys in enumerate((None, (), ("key-1",)), 1):
            view.apply_config(config(version, keys=keys), 0.0)
            result = await self.reader.read_config(self.peer)
            self.assertEqual(result, view.table.config)
            self.assertEqual(result.needs_keys, keys is not None)

    async def test_a_configuration_of_an_earlier_build_is_not_read(self):
        """It can't say whether keys are needed where it has no workspaces."""
        server = self.serve(make_view(4))
        document = msgpack.packb(["ForwardingConfig", 4, [], [], {}, []])
        server._compressed["/configuration"] = (4, zlib.compress(document))
        with self.assertRaises(UpstreamError):
            await self.reader.read_config(self.peer)

    async def test_the_list_of_routers_includes_the_peer_itself(self):
        self.serve(make_view(), [OWN])
        listing = await self.reader.read_routers(self.peer)
        self.assertEqual(set(listing.routers), {OWN, self.peer})

    async def test_a_list_that_was_not_read_yet_is_not_sent(self):
        self.serve(make_view())
        with self.assertRaises(UpstreamError):
            await self.reader.read_routers(self.peer)

    async def test_sends_only_changes_if_they_are_known(self):
        view = make_view(4, fleet())
        change = UpstreamChange("zone-a-0", None)
        view.apply_changes((change,), at(9), 0.0)
        self.serve(view)
        for revision, expected in ((7, (change,)), (9, ())):
            result = await self.reader.read_upstreams(self.peer, at(revision))
            self.assertEqual((result.changes, result.position), (expected, at(9)))
        for known in (at(3), at(9, era=0), at(9, era=2)):
            listing = await self.reader.read_upstreams(self.peer, known)
            self.assertEqual(len(listing.upstreams), len(fleet()) - 1)

    async def test_a_new_version_is_compressed_anew(self):
        view = make_view(4)
        self.serve(view)
        await self.reader.read_config(self.peer)
        view.apply_config(config(5, routes=[route(name="new")]), 0.0)
        result = await self.reader.read_config(self.peer)
        self.assertEqual((result.version, result.routes[0].name), (5, "new"))

    async def test_an_empty_or_unreachable_peer_raises_an_error(self):
        with self.assertRaises(UpstreamError):
            await self.reader.read_config(self.peer)
        self.serve(make_view())
        with self.assertRaises(UpstreamError):
            await self.reader.read_config(self.peer)
        with self.assertRaises(UpstreamError):
            await self.reader.read_upstreams(self.peer, StorePosition())

    async def test_invalid_documents_raise_an_error(self):
        server = self.serve(make_view(4))
        for body in (b"nonsense", zlib.compress(b"\x93")):
            server._compressed["/configuration"] = (4, body)
            with self.assertRaises(UpstreamError):
                await self.reader.read_config(self.peer)

    async def test_an_unknown_path_is_not_found(self):
        request = SimpleNamespace(path="/other")
        self.assertEqual(self.serve(make_view(4))._body(request.path), b"")
