import asyncio
import logging
import unittest
from types import SimpleNamespace

from nose2.tools import params
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from bronzeline_daemon.handlers.base import CallerHandler, NotFoundHandler
from bronzeline_kernel.exceptions import RequestError

N_BYTES = 30_000_000


class LargeResponseHandler(CallerHandler):
    def get(self):
        self.finish(b"x" * N_BYTES)


class FailingHandler(CallerHandler):
    def get(self):
        raise KeyError("unforeseen")


class NeverEndingHandler(CallerHandler):
    async def get(self):
        await asyncio.Event().wait()


def make_services():
    lifecycle = SimpleNamespace(
        open_requests=set(), is_stopping=False, is_closing=False
    )
    return SimpleNamespace(lifecycle=lifecycle)


async def wait_until(condition):
    for _ in range(500):
        if condition():
            return True
        await asyncio.sleep(0.01)
    return False


def run(path, scenario, services):
    async def main():
        options = {"services": services}
        routes = [
            ("/big", LargeResponseHandler, options),
            ("/broken", FailingHandler, options),
            ("/hung", NeverEndingHandler, options),
        ]
        server = HTTPServer(
            Application(
                routes,
                default_handler_class=NotFoundHandler,
                default_handler_args=options,
                log_function=lambda handler: None,
            )
        )
        sockets = bind_sockets(0, "127.0.0.1")
        server.add_sockets(sockets)
        port = sockets[0].getsockname()[1]
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        try:
            return await scenario(reader, writer)
        finally:
            writer.close()
            server.stop()
            await server.close_all_connections()

    return asyncio.run(main())


class OpenRequestsTests(unittest.TestCase):
    def test_a_request_is_open_until_its_response_is_written(self):
        services = make_services()

        async def scenario(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(0.05)
            n_open = len(services.lifecycle.open_requests)
            await reader.readexactly(N_BYTES)
            return n_open, await wait_until(
                lambda: not services.lifecycle.open_requests
            )

        self.assertEqual(run("/big", scenario, services), (1, True))

    @params("/big", "/hung")
    def test_a_request_is_not_open_after_its_caller_left(self, path):
        services = make_services()

        async def scenario(reader, writer):
            await wait_until(lambda: services.lifecycle.open_requests)
            writer.close()
            return await wait_until(lambda: not services.lifecycle.open_requests)

        self.assertTrue(run(path, scenario, services))

    @params(
        ("/broken", b"500", b"internal_error", ["handler_failed"]),
        ("/x", b"404", b"unknown_path", ["none"]),
    )
    def test_errors_are_typed_and_close_the_request(self, path, status, code, events):
        services = make_services()

        async def scenario(reader, writer):
            head = await reader.readuntil(b"\r\n\r\n")
            body = await reader.readuntil(b"}}")
            return (
                head,
                body,
                await wait_until(lambda: not services.lifecycle.open_requests),
            )

        with self.assertLogs("bronzeline") as logs:
            head, body, is_empty = run(path, scenario, services)
            if not logs.records:
                logging.getLogger("bronzeline").info("none")
        self.assertEqual([record.message for record in logs.records], events)
        self.assertIn(status, head)
        self.assertIn(code, body)
        self.assertTrue(is_empty)

    def test_a_stopping_router_closes_keep_alive_connections(self):
        services = make_services()
        services.lifecycle.is_stopping = True

        async def scenario(reader, writer):
            return await reader.readuntil(b"\r\n\r\n")

        self.assertIn(b"Connection: close", run("/x", scenario, services))


class TimeoutTests(unittest.TestCase):
    @params((None, 900.0), ("100", 100.0), ("5000", 900.0))
    def test_a_callers_limit_is_bounded_by_the_default(self, given, expected):
        headers = {} if given is None else {"Request-Timeout-Ms": given}
        handler = SimpleNamespace(request=SimpleNamespace(headers=headers))
        self.assertEqual(CallerHandler.timeout_ms(handler, 900.0), expected)

    @params("0", "-1", "soon", "nan")
    def test_an_invalid_limit_is_refused(self, given):
        headers = {"Request-Timeout-Ms": given}
        handler = SimpleNamespace(request=SimpleNamespace(headers=headers))
        with self.assertRaises(RequestError):
            CallerHandler.timeout_ms(handler, 900.0)
