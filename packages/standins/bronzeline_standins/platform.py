"""Serve a stand-in for the platform: its object API and its VM list."""

from __future__ import annotations

import asyncio
import time
from base64 import b64encode
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from tornado.web import RequestHandler

from bronzeline_kernel.exceptions import ConflictError
from bronzeline_kernel.protocols import StoredObject, VmListing
from bronzeline_standins.server import StandinHandler, StandinServer

__all__ = ["ObjectTable", "PlatformServer"]

MAX_VALUE_BYTES = 1_000_000


class ObjectTable:
    """Hold versioned objects in memory, with conditional updates."""

    def __init__(self) -> None:
        self.objects: dict[str, StoredObject] = {}
        self.version = 0

    def put(self, key: str, value: bytes, expected_version: int | None) -> int:
        """Write an object; raises `ConflictError` at an unexpected version."""
        self._check_version(key, expected_version)
        self.version += 1
        self.objects[key] = StoredObject(key, value, self.version)
        return self.version

    def delete(self, key: str, expected_version: int | None) -> None:
        """Delete an object; raises `ConflictError` at an unexpected version."""
        self._check_version(key, expected_version)
        self.objects.pop(key, None)

    def newer_objects(self, prefix: str, version: int) -> list[StoredObject]:
        """List the objects under a prefix that are newer than a version."""
        return [
            item
            for item in self.objects.values()
            if item.key.startswith(prefix) and item.version > version
        ]

    def _check_version(self, key: str, expected_version: int | None) -> None:
        current = self.objects[key].version if key in self.objects else 0
        if expected_version is not None and expected_version != current:
            raise ConflictError(f"{key} is at version {current}")


class PlatformServer(StandinServer):
    """Serve the object API and the VM list."""

    def __init__(self, port: int = 0) -> None:
        super().__init__(port)
        self.table = ObjectTable()
        self.n_calls: Counter[str] = Counter()
        self.watchers: list[tuple[str, asyncio.Future[None]]] = []
        self._listings: list[tuple[float, VmListing]] = []
        self.rewrite_listing: Callable[[str, VmListing], VmListing] = (
            lambda region, listing: listing
        )

    def routes(self) -> list[tuple[str, type[RequestHandler], dict[str, Any]]]:
        """Return the handlers of the platform's API."""
        options = {"server": self}
        return [
            (r"/objects/(.+)", ObjectHandler, options),
            (r"/list", ListHandler, options),
            (r"/watch", WatchHandler, options),
            (r"/vms", VmsHandler, options),
            (r"/regions/([^/]+)/vms", VmsHandler, options),
            (r"/control/vms", PublishHandler, options),
            (r"/control/calls", CallsHandler, options),
        ]

    def publish(self, listing: VmListing) -> None:
        """Publish a VM list, which is served once it is `list_lag_ms` old."""
        self._listings.append((time.monotonic() * 1000.0, listing))

    def listing(self) -> VmListing:
        """Return the newest VM list at least `list_lag_ms` old, else the first one."""
        latest_ms = time.monotonic() * 1000.0 - self.faults.list_lag_ms
        old_enough = [item for at_ms, item in self._listings if at_ms <= latest_ms]
        if old_enough:
            return old_enough[-1]
        return self._listings[0][1] if self._listings else VmListing((), ())

    def notify(self, key: str) -> None:
        """Wake the watches whose prefix matches the key."""
        for prefix, waiter in self.watchers:
            if key.startswith(prefix) and not waiter.done():
                waiter.set_result(None)


class PlatformHandler(StandinHandler):
    """Count calls by kind, and respond 503 to them during an outage."""

    server: PlatformServer
    kind = "read"

    async def prepare(self) -> None:
        """Count the call; respond 503 during an outage."""
        await super().prepare()
        self.server.n_calls[self.call_kind()] += 1
        if self.server.faults.is_unavailable:
            self.set_status(503)
            self.finish()

    def call_kind(self) -> str:
        """Return the kind under which this call is counted."""
        is_read = self.request.method == "GET"
        return self.kind if is_read else "write"

    def respond(self, data: Any) -> None:
        """Respond with JSON, or close the connection if the response is to be lost."""
        n_left = self.server.faults.n_answers_to_lose
        if n_left > 0:
            self.server.set_faults(n_answers_to_lose=n_left - 1)
            self.request.connection.stream.close()  # type: ignore[union-attr]
            return
        self.finish(msgspec.json.encode(data))


class ObjectHandler(PlatformHandler):
    """Read, write and delete one object."""

    def get(self, key: str) -> None:
        """Respond with the object, or 404."""
        stored = self.server.table.objects.get(key)
        if stored is None:
            self.set_status(404)
            self.finish()
            return
        self.respond(_object_row(stored))

    def put(self, key: str) -> None:
        """Write the object; 409 at an unexpected version, 413 if it is too large."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            self.finish()
            return
        try:
            version = self.server.table.put(
                key, self.request.body, self._expected_version()
            )
        except ConflictError:
            self.set_status(409)
            self.finish()
            return
        self.server.notify(key)
        self.respond(version)

    def delete(self, key: str) -> None:
        """Delete the object; 409 at an unexpected version."""
        try:
            self.server.table.delete(key, self._expected_version())
        except ConflictError:
            self.set_status(409)
            self.finish()
            return
        self.respond(0)

    def _expected_version(self) -> int | None:
        raw_version = self.get_query_argument("expected_version", None)
        return None if raw_version is None else int(raw_version)


class ListHandler(PlatformHandler):
    """List objects under a prefix."""

    def get(self) -> None:
        """Respond with the objects under the prefix."""
        prefix = self.get_query_argument("prefix")
        self.respond(
            [_object_row(item) for item in self.server.table.newer_objects(prefix, 0)]
        )


class WatchHandler(PlatformHandler):
    """Serve long polls for newer objects under a prefix."""

    kind = "watch"

    async def get(self) -> None:
        """Respond once an object is newer, or with none after the time-out."""
        prefix = self.get_query_argument("prefix")
        after = int(self.get_query_argument("after"))
        timeout_s = float(self.get_query_argument("timeout_ms")) / 1000.0
        deadline_s = time.monotonic() + timeout_s
        rows = self.server.table.newer_objects(prefix, after)
        while not rows and time.monotonic() < deadline_s:
            await self._wait_for_write(prefix, deadline_s - time.monotonic())
            if self.server.faults.is_unavailable:
                self.set_status(503)
                self.finish()
                return
            rows = self.server.table.newer_objects(prefix, after)
        self.respond([_object_row(item) for item in rows])

    async def _wait_for_write(self, prefix: str, timeout_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        watcher = (prefix, waiter)
        self.server.watchers.append(watcher)
        try:
            await asyncio.wait_for(waiter, timeout_s)
        except TimeoutError:
            return
        finally:
            self.server.watchers.remove(watcher)


class VmsHandler(PlatformHandler):
    """Serve the VM list, which lags behind the published one."""

    kind = "vm_list"

    def get(self, region: str = "") -> None:
        """Respond with the VM list, with the ports that the region connects to."""
        listing = self.server.listing()
        self.respond(
            self.server.rewrite_listing(region, listing) if region else listing
        )


class PublishHandler(StandinHandler):
    """Accept the VM list from the process that starts the stand-ins."""

    server: PlatformServer

    def put(self) -> None:
        """Publish the VM list of the request."""
        self.server.publish(msgspec.json.decode(self.request.body, type=VmListing))
        self.finish()


class CallsHandler(StandinHandler):
    """Report how often the platform was called, by kind of call."""

    server: PlatformServer

    def get(self) -> None:
        """Respond with the counts."""
        self.finish(dict(self.server.n_calls))


def _object_row(stored: StoredObject) -> dict[str, Any]:
    value = b64encode(stored.value).decode()
    return {"key": stored.key, "value": value, "version": stored.version}
