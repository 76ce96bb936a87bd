"""Stand in for the platform's store: objects, lists, watches, conditional writes."""

from __future__ import annotations

import asyncio
import copy
import json
from urllib.parse import parse_qs, unquote, urlsplit

from standins2.wire import BrokenMessageError, Message, read_body, read_head, response

RESERVED = ("config", "servers")


class Store:
    """Hold objects by kind and name; each change raises the one revision."""

    def __init__(self) -> None:
        self.revision = 1
        self.objects: dict[str, dict[str, dict]] = {}
        self.events: list[tuple[int, str, dict, bool]] = []
        self._changed = asyncio.Event()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        self._server.close()

    def put(self, kind: str, name: str, spec: object, status: object = None) -> None:
        """Create or replace an object; a write that changes nothing is no change."""
        objects = self.objects.setdefault(kind, {})
        known = objects.get(name)
        if known and (known["spec"], known["status"]) == (spec, status):
            return
        self.revision += 1
        created = known["metadata"]["create-revision"] if known else self.revision
        objects[name] = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create-revision": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self._add_event(kind, objects[name], False)

    def delete(self, kind: str, name: str) -> None:
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item["metadata"]["revision"] = self.revision
            self._add_event(kind, item, True)

    def _add_event(self, kind: str, item: dict, deleted: bool) -> None:
        self.events.append((self.revision, kind, copy.deepcopy(item), deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer) -> None:
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                status, body = await self._respond(head)
                data = json.dumps(body).encode()
                fields = {"Content-Type": "application/json"}
                writer.write(response(status, fields, data))
                await writer.drain()
        except (OSError, BrokenMessageError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _respond(self, head: Message) -> tuple[int, object]:
        url = urlsplit(head.target)
        query = {key: values[-1] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.strip("/").split("/")]
        if parts[0] != "objects" or not 2 <= len(parts) <= 4:
            return 404, {}
        kind, name = parts[1], parts[2] if len(parts) > 2 else ""
        if head.method == "GET":
            return await self._read(kind, name, query)
        return self._write(head, kind, name, len(parts) == 4, query)

    async def _read(self, kind, name, query) -> tuple[int, object]:
        objects = self.objects.get(kind, {})
        if name:
            return (200, objects[name]) if name in objects else (404, {})
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), query)
        names = sorted(x for x in objects if x > query.get("after-rev", ""))
        return 200, {
            "items": [objects[x] for x in names[:500]],
            "truncated": len(names) > 500,
            "current-rev": self.revision,
        }

    async def _watch(self, kind, after, query) -> tuple[int, object]:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("wait-ms", "0")) / 1000.0
        while True:
            found = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self.events
                if of_kind == kind and revision > after
            ]
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, head, kind, name, is_status, query) -> tuple[int, object]:
        if kind in RESERVED and not is_status:
            return 403, {}
        body = json.loads(head.body) if head.body else {}
        if head.method == "POST":
            name = body["metadata"]["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self.put(kind, name, body.get("spec"))
            return 201, self.objects[kind][name]
        known = self.objects.get(kind, {}).get(name)
        if known is None:
            return 404, {}
        wanted = body.get("metadata", {}).get("revision", query.get("revision"))
        if wanted is not None and int(wanted) != known["metadata"]["revision"]:
            return 409, known
        if head.method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        spec = known["spec"] if is_status else body.get("spec")
        status = body.get("status") if is_status else known["status"]
        self.put(kind, name, spec, status)
        return 200, self.objects[kind][name]
