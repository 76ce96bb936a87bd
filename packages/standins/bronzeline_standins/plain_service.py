"""Serve a plain service that counts how often each order ran."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import Any

from tornado.web import RequestHandler

from bronzeline_standins.server import StandinHandler, StandinServer

__all__ = ["OrderBook", "PlainServer"]

KEY_HEADER = "Idempotency-Key"
WORKSPACE_HEADER = "Bronzeline-Workspace"


class OrderBook:
    """Hold the orders that ran, shared by all upstreams of one service."""

    def __init__(self) -> None:
        self.n_runs: Counter[str] = Counter()
        self.bodies: dict[str, str] = {}
        self.responses: dict[str, dict[str, Any]] = {}

    def run(self, workspace: str, key: str, body: str) -> dict[str, Any]:
        """Run an order, count the run and return the response."""
        self.n_runs[key] += 1
        self.bodies[key] = body
        response = {
            "order": key,
            "number": sum(self.n_runs.values()),
            "state": "placed",
            "body": body,
        }
        self.responses[f"{workspace}/{key}"] = response
        return response


class PlainServer(StandinServer):
    """Serve one upstream of a plain service."""

    def __init__(
        self,
        upstream_id: str,
        order_book: OrderBook,
        work_ms: float = 5.0,
        port: int = 0,
    ) -> None:
        super().__init__(port)
        self.upstream_id = upstream_id
        self.order_book = order_book
        self.work_ms = work_ms

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the handlers of the service's API."""
        options = {"server": self}
        return [
            (r"/orders", OrdersHandler, options),
            (r"/orders/(.+)", StatusHandler, options),
            (r"/look-up/(.+)", LookUpHandler, options),
            (r"/control/runs", RunsHandler, options),
        ]


class PlainHandler(StandinHandler):
    """Simulate the duration of calls and the loss of responses."""

    server: PlainServer

    async def simulate_work(self) -> None:
        """Wait for the duration of a call: `work_ms` times the slow factor."""
        await asyncio.sleep(self.server.work_ms * self.server.faults.slow_factor / 1e3)

    def drop_response(self) -> bool:
        """Close the connection if a response is to be lost; return whether it was."""
        n_left = self.server.faults.n_answers_to_lose
        if n_left <= 0:
            return False
        self.server.set_faults(n_answers_to_lose=n_left - 1)
        self.request.connection.stream.close()  # type: ignore[union-attr]
        return True


class OrdersHandler(PlainHandler):
    """Run the orders that are posted."""

    async def post(self) -> None:
        """Run an order; each request runs it again, whatever its idempotency key."""
        await self.simulate_work()
        key = self.request.headers.get(KEY_HEADER, "")
        workspace = self.request.headers.get(WORKSPACE_HEADER, "")
        response = self.server.order_book.run(
            workspace, key, self.request.body.decode()
        )
        if not self.drop_response():
            self.finish(response)


class StatusHandler(PlainHandler):
    """Serve the status of orders."""

    async def get(self, key: str) -> None:
        """Respond whether the order was placed."""
        await self.simulate_work()
        is_placed = key in self.server.order_book.n_runs
        if not self.drop_response():
            self.finish({"order": key, "state": "placed" if is_placed else "unknown"})


class LookUpHandler(PlainHandler):
    """Look up orders by idempotency key."""

    async def get(self, key: str) -> None:
        """Respond with the order's response, or 404 if it never ran."""
        await self.simulate_work()
        if key not in self.server.order_book.responses:
            self.set_status(404)
            self.finish({"order": key, "state": "unknown"})
            return
        self.finish(self.server.order_book.responses[key])


class RunsHandler(PlainHandler):
    """Report how often each order ran."""

    async def prepare(self) -> None:
        """Respond even while the server is paused."""

    def get(self) -> None:
        """Respond with the number of runs by idempotency key."""
        self.finish(dict(self.server.order_book.n_runs))
