"""Runners: engines that stream events, and plain services (PROTOCOL.md)."""

import asyncio
import json
import time

from standins.http import Server

CONTROL_PATHS = ("/kv-move", "/kv-list", "/report", "/health")


class Arrival:
    """One request as it reached a runner."""

    def __init__(self, runner_id, request, at_s):
        self.runner_id = runner_id
        self.at_s = at_s
        self.request_id = request.headers.get("x-attempt-id", "")
        self.method = request.method
        self.target = request.target
        self.headers = request.headers
        self.body = request.body
        self.has_run = False
        self.state = "rejected"


class Runner:
    """One runner's address; each start is a new boot with a new id.

    `prefill_s` and `work_s` are the times before the first event and for a call.
    `is_poison` tells whether a request crashes the runner as it begins to run it.
    A runner with `next_version` starts again under the id that it had, at that version
    of its software.
    """

    n_boots = 0

    def __init__(self, fleet, service, zone, host, port, kind, record):
        self.fleet = fleet
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.kind = kind
        self.record = record
        self.version = "v1"
        self.next_version = ""
        self.slots = 64 if kind == "engine" else 6
        self.n_queue = 192 if kind == "engine" else 24
        # 5 prompt tokens are read in a ms; an event holds 5 tokens of about 7 ms.
        self.prefill_s = 1.0
        self.n_events = 140
        self.event_s = 0.035
        self.work_s = 0.045
        self.restart_s = 3.0
        self.answer_body = b"x" * 800
        self.is_poison = lambda request: False
        self.arrivals = []
        self.crashes_s = []
        self.copies = {}
        self.is_up = False
        self.is_closing = False
        self.runner_id = ""
        self._n_running = 0
        self._n_waiting = 0
        self._slot = asyncio.Condition()
        self._server = None

    @property
    def address(self):
        return f"{self.host}:{self.port}"

    async def start(self):
        Runner.n_boots += 1
        if self.runner_id and self.next_version:
            self.version = self.next_version
        else:
            self.runner_id = f"i-{Runner.n_boots:06x}{self.port:04x}"
        self.born = int(time.time() * 1000)
        self.copies = {}
        self._n_running = self._n_waiting = 0
        self._server = Server(self.host, self.port, self._handle)
        await self._server.start()
        self.is_up = True
        self.write_entry("ready")

    def write_entry(self, state):
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "cold-remaining-ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        self.fleet.store.put("servers", self.runner_id, entry)

    def crash(self):
        """End at once; the entry goes after three silent report intervals."""
        if not self.is_up:
            return
        self.is_up = False
        self.crashes_s.append(time.monotonic())
        self.record(f"runner {self.runner_id} crashes")
        self._server.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(3.6, self._expire, self.runner_id)
        loop.call_later(self.restart_s, self._restart)

    def _expire(self, runner_id):
        if not self.is_up or self.runner_id != runner_id:
            self.fleet.store.delete("servers", runner_id)

    def _restart(self):
        if not self.is_closing:
            self.fleet.spawn(self.start())

    def stop(self):
        """Exit for good."""
        self.is_closing = True
        self.is_up = False
        if self._server is not None:
            self._server.stop()

    async def _handle(self, request):
        path = request.target.partition("?")[0]
        if path in CONTROL_PATHS or path.startswith("/kv-handle/"):
            self._respond_control(request, path)
            return
        arrival = Arrival(self.runner_id, request, time.monotonic())
        self.arrivals.append(arrival)
        connection = request.connection
        echo = [("X-Attempt-Id", arrival.request_id), ("Keep-Alive", "timeout=10")]
        if request.headers.get("x-expect-instance", self.runner_id) != self.runner_id:
            arrival.state = "other instance"
            connection.respond(421, [*echo, ("X-Instance-Id", self.runner_id)])
            return
        kv_from = request.headers.get("kv-from")
        copied = 0
        if kv_from is not None:
            copied = self.copies.pop(kv_from.partition("/")[2], None)
        if self._n_waiting >= self.n_queue or copied is None:
            connection.respond(503, [*echo, ("X-Not-Executed", "1")])
            return
        boot = self.runner_id
        self._n_waiting += 1
        while self._n_running >= self.slots:
            await asyncio.sleep(0.005)
        self._n_waiting -= 1
        self._n_running += 1
        try:
            if self.runner_id == boot and self.is_up:
                await self._run(request, arrival, copied, echo)
        finally:
            if self.runner_id == boot:
                self._n_running -= 1

    async def _run(self, request, arrival, copied, echo):
        if self.kind == "engine" and not copied:
            await self._sleep(request, self.prefill_s)
        if request.connection.is_closed or not self.is_up:
            arrival.state = "gone before it ran"
            return
        arrival.has_run = True
        arrival.state = "running"
        if self.is_poison(request):
            arrival.state = "crashed the runner"
            self.crash()
            return
        seal = [("X-Response-Seal", f"{self.runner_id}.{len(self.arrivals)}")]
        if self.kind == "engine":
            await self._stream(request, arrival, [*echo, *seal])
        else:
            await self._sleep(request, self.work_s, drops=False)
            if request.connection.is_closed:
                arrival.state = "cut"
                return
            arrival.state = "ok"
            request.connection.respond(200, [*echo, *seal], self.answer_body)

    async def _stream(self, request, arrival, headers):
        connection = request.connection
        head = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream"]
        head += [f"{name}: {value}" for name, value in headers]
        head.append("Transfer-Encoding: chunked")
        connection.write(("\r\n".join(head) + "\r\n\r\n").encode())
        keeper = self.fleet.find_runner(request.headers.get("x-kv-backup"))
        after = int(request.headers.get("last-event-id", "0"))
        for number in range(after + 1, self.n_events + 1):
            if connection.is_closed or connection.reader.at_eof() or not self.is_up:
                arrival.state = "cut"
                return
            event = f"id: {number}\ndata: {self.version} {number}\n\n".encode()
            connection.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            if keeper is not None and keeper.is_up:
                keeper.copies[arrival.request_id] = number
            await asyncio.sleep(self.event_s)
        connection.write(b"0\r\n\r\n")
        arrival.state = "ok"
        if keeper is not None:
            keeper.copies.pop(arrival.request_id, None)

    async def _sleep(self, request, length_s, drops=True):
        """Work for a time; an engine drops a request when its channel closes."""
        end_s = time.monotonic() + length_s
        while time.monotonic() < end_s and not request.connection.is_closed:
            if drops and request.connection.reader.at_eof():
                request.connection.is_closed = True
                return
            await asyncio.sleep(min(0.01, max(0.0, end_s - time.monotonic())))

    def _respond_control(self, request, path):
        connection = request.connection
        headers = [("Content-Type", "application/json")]
        if path == "/health":
            connection.respond(200, [("X-Instance-Id", self.runner_id)])
        elif path == "/report" and self.kind == "engine":
            report = {
                "stage": "colocated",
                "models": [{"name": "m", "version": 1, "adapters": []}],
                "busy": False,
                "sequence": 1,
                "waiting": self._n_waiting,
                "running": self._n_running,
                "kv-used": 0,
                "kv-total": 55_000,
                "handles": 0,
                "born": self.born,
            }
            connection.respond(200, headers, json.dumps(report).encode())
        elif path == "/kv-list" and self.kind == "engine":
            body = {"epoch": self.born, "next": 1, "held": []}
            connection.respond(200, headers, json.dumps(body).encode())
        elif path == "/kv-move" and self.kind == "engine":
            connection.respond(503, headers, b"{}")
        else:
            connection.respond(404, headers, b"{}")
