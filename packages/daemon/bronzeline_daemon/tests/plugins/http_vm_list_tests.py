import asyncio
import unittest

from nose2.tools import params
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from bronzeline_daemon.plugins.http_vm_list import HttpVmList
from bronzeline_kernel.exceptions import StoreUnavailableError

DEEP_TEXT = b"[" * 50_000 + b"]" * 50_000


class BodyHandler(RequestHandler):
    def initialize(self, body):
        self.body = body

    def get(self):
        self.finish(self.body)


async def read_list(body):
    """Read the list from a server that answers with this body."""
    server = HTTPServer(Application([("/vms", BodyHandler, {"body": body})]))
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    try:
        port = sockets[0].getsockname()[1]
        return await HttpVmList(f"http://127.0.0.1:{port}").read()
    finally:
        server.stop()
        await server.close_all_connections()


class HttpVmListTests(unittest.TestCase):
    @params(
        b"", b"7", b'{"upstreams": 7}', b'{"x": ' + DEEP_TEXT + b"}", b'{"x": "\xff'
    )
    def test_an_unreadable_list_counts_as_unavailable(self, body):
        """It ended the task that polls the list."""
        with self.assertRaises(StoreUnavailableError):
            asyncio.run(read_list(body))
