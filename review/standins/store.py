"""The platform's store: objects, revisions, lists and watches (PROTOCOL.md)."""

import asyncio
import json
import time
from urllib.parse import parse_qs, urlsplit

from standins.http import Server

RESERVED_KINDS = ("config", "servers")


class Store:
    """Hold objects by kind and name; loses nothing, and is never impaired itself.

    `history_s` is how long changes are kept for watches, `stale_s` how old the data
    is that a `serializable` read returns.
    """

    def __init__(self, host, port, history_s=20.0, stale_s=0.0):
        self.server = Server(host, port, self._handle)
        self.revision = 1
        self.objects = {}
        self.events = []
        self.history_s = history_s
        self.stale_s = stale_s
        self.n_watched_bytes = 0
        self._dropped_revision = 0
        # Time, revision and the objects by kind as they were since then.
        self._states = [(time.monotonic(), 1, {})]
        self._changed = asyncio.Event()

    def put(self, kind, name, spec):
        """Write an object as the operator or a runner does; this is the ack."""
        self.revision += 1
        known = self.objects.setdefault(kind, {}).get(name)
        created = known["metadata"]["create-revision"] if known else self.revision
        self._record(kind, name, spec, created)

    def delete(self, kind, name):
        item = self.objects.get(kind, {}).pop(name, None)
        if item is None:
            return
        self.revision += 1
        metadata = {**item["metadata"], "revision": self.revision}
        self._add_event(kind, {**item, "metadata": metadata}, True)

    def _record(self, kind, name, spec, created):
        metadata = {
            "name": name,
            "revision": self.revision,
            "create-revision": created,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = item
        self._add_event(kind, item, False)

    def _add_event(self, kind, item, deleted):
        event = {"object": item, "deleted": deleted}
        now_s = time.monotonic()
        self.events.append((self.revision, kind, event, now_s))
        kept = {of_kind: dict(found) for of_kind, found in self.objects.items()}
        self._states.append((now_s, self.revision, kept))
        while len(self._states) > 1 and self._states[1][0] < now_s - 60.0:
            del self._states[0]
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request):
        parts = urlsplit(request.target)
        query = {key: values[-1] for key, values in parse_qs(parts.query).items()}
        path = parts.path.strip("/").split("/")
        kind, name = path[1], path[2] if len(path) > 2 else None
        if request.method == "GET" and name is None and "watch" in query:
            status, body = await self._watch(kind, query)
        elif request.method == "GET" and name is None:
            status, body = 200, self._list(kind, query)
        elif request.method == "GET":
            item = self.objects.get(kind, {}).get(name)
            status, body = (404, {}) if item is None else (200, item)
        else:
            status, body = self._write(request, kind, name)
        headers = [("Content-Type", "application/json")]
        request.connection.respond(status, headers, json.dumps(body).encode())

    def _list(self, kind, query):
        revision, objects = self.revision, self.objects
        if "serializable" in query and self.stale_s:
            revision, objects = self._stale_state()
        found = objects.get(kind, {})
        names = sorted(name for name in found if name > query.get("after-rev", ""))
        items = [found[name] for name in names[:500]]
        is_cut = len(names) > 500
        return {"items": items, "truncated": is_cut, "current-rev": revision}

    def _stale_state(self):
        until_s = time.monotonic() - self.stale_s
        states = [item for item in self._states if item[0] <= until_s]
        _, revision, objects = (states or self._states[:1])[-1]
        return revision, objects

    def _drop_history(self):
        limit_s = time.monotonic() - self.history_s
        while self.events and self.events[0][3] < limit_s:
            self._dropped_revision = self.events.pop(0)[0]

    async def _watch(self, kind, query):
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("wait-ms", "0")) / 1000.0
        while True:
            self._drop_history()
            if since < self._dropped_revision:
                return 410, {}
            found = [
                event
                for revision, of_kind, event, _ in self.events
                if revision > since and of_kind == kind
            ]
            left_s = end_s - loop.time()
            if found or left_s <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                continue

    def _write(self, request, kind, name):
        if kind in RESERVED_KINDS:
            return 403, {}
        body = json.loads(request.body) if request.body else {}
        name = name or body["metadata"]["name"]
        known = self.objects.setdefault(kind, {}).get(name)
        if request.method == "POST" and known is not None:
            return 409, known
        if request.method != "POST" and known is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision")
        if request.method == "PUT" and expected not in (
            None,
            known["metadata"]["revision"],
        ):
            return 409, known
        if request.method == "DELETE":
            self.delete(kind, name)
            return 200, known
        if known is None or known["spec"] != body["spec"]:
            self.put(kind, name, body["spec"])
        return 201 if request.method == "POST" else 200, self.objects[kind][name]
