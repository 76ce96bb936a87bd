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
    """Hold the orders that ran, shared by the runners of one service."""

    def __init__(self) -> None:
        self.n_runs: Counter[str] = Counter()
        self.bodies: dict[str, str] = {}
        self.responses: dict[str, dict[str, Any]] = {}

    def run(self, workspace: str, key: str, body: str) -> dict[str, Any]:
        """Run an order and return its answer."""
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
    """Run one runner of a plain service."""

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
        """Return the service's handlers."""
        options = {"server": self}
        return [
            (r"/orders", OrdersHandler, options),
            (r"/orders/(.+)", StatusHandler, options),
            (r"/look-up/(.+)", LookUpHandler, options),
            (r"/control/runs", RunsHandler, options),
        ]


class PlainHandler(StandinHandler):
    """Know the order book."""

    server: PlainServer

    async def simulate_work(self) -> None:
        """Take the time that a call takes."""
        await asyncio.sleep(self.server.work_ms * self.server.faults.slow_factor / 1e3)

    def drop_response(self) -> bool:
        """Close the connection without an answer, when told to."""
        n_left = self.server.faults.n_answers_to_lose
        if n_left <= 0:
            return False
        self.server.set_faults(n_answers_to_lose=n_left - 1)
        self.request.connection.stream.close()  # type: ignore[union-attr]
        return True


class OrdersHandler(PlainHandler):
    """Run orders."""

    async def post(self) -> None:
        """Run an order; every call runs it again."""
        await self.simulate_work()
        key = self.request.headers.get(KEY_HEADER, "")
        workspace = self.request.headers.get(WORKSPACE_HEADER, "")
        response = self.server.order_book.run(
            workspace, key, self.request.body.decode()
        )
        if not self.drop_response():
            self.finish(response)


class StatusHandler(PlainHandler):
    """Answer the status of orders."""

    async def get(self, key: str) -> None:
        """Answer whether the order is placed."""
        await self.simulate_work()
        is_placed = key in self.server.order_book.n_runs
        if not self.drop_response():
            self.finish({"order": key, "state": "placed" if is_placed else "unknown"})


class LookUpHandler(PlainHandler):
    """Answer whether an order with a key ran."""

    async def get(self, key: str) -> None:
        """Answer the order, or 404."""
        await self.simulate_work()
        if key not in self.server.order_book.responses:
            self.set_status(404)
            self.finish({"order": key, "state": "unknown"})
            return
        self.finish(self.server.order_book.responses[key])


class RunsHandler(PlainHandler):
    """Answer how often each order ran."""

    async def prepare(self) -> None:
        """Answer also while paused."""

    def get(self) -> None:
        """Answer the counts by order."""
        self.finish(dict(self.server.order_book.n_runs))
