"""Stand in for runners: a plain service and model runners with streams."""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field

from standins2.wire import BrokenMessageError, Message, read_body, read_head, response

HEARTBEAT_S = 1.2
N_SILENT_HEARTBEATS = 3


@dataclass
class Arrival:
    """Record one request that reached a runner."""

    at_s: float
    runner: str
    request_id: str
    target: str
    tenant: str
    after_event: int
    n_body_bytes: int = 0
    # When it began to run, None if it never did.
    ran_at_s: float | None = None
    outcome: str = ""


class Runner:
    """Serve one address; a crash closes all channels, and a new boot follows."""

    def __init__(self, store, name: str, service: str, zone: str, slots: int) -> None:
        self.store, self.name, self.service, self.zone = store, name, service, zone
        self.slots = slots
        self.arrivals: list[Arrival] = []
        self.state = "ready"
        self.port = 0
        self.n_starts = 0
        self.is_up = False
        self.instance = name
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task] = set()
        self._server = None

    async def start(self) -> None:
        """Start a new boot, with a new id, at the same address."""
        self.n_starts += 1
        self.instance = f"{self.name}-{self.n_starts}"
        self.born = int(time.time() * 1000)
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=1 << 20
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self.is_up = True
        self._gate = asyncio.Semaphore(self.slots)
        self.register()

    def register(self) -> None:
        self.store.put("servers", self.instance, self.entry())

    def entry(self) -> dict:
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold-remaining-ms": 0,
            "sequence": self.n_starts,
            "born": self.born,
        }

    def crash(self, for_s: float) -> None:
        """End the process now; it is back after some seconds."""
        if not self.is_up:
            return
        self.is_up = False
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        former = self.instance
        self._spawn(self._expire(former))
        self._spawn(self._restart(for_s))

    def stop(self) -> None:
        self.is_up = False
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.transport.abort()
        if self._server is not None:
            self._server.close()

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _expire(self, instance: str) -> None:
        await asyncio.sleep(N_SILENT_HEARTBEATS * HEARTBEAT_S)
        self.store.delete("servers", instance)

    async def _restart(self, after_s: float) -> None:
        await asyncio.sleep(after_s)
        await self.start()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                head.body = await read_body(reader, head)
                if not await self._handle(head, reader, writer):
                    break
                await writer.drain()
        except (OSError, BrokenMessageError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _handle(self, head: Message, reader, writer) -> bool:
        path = head.target.partition("?")[0]
        if "x-attempt-id" not in head.headers:
            writer.write(self._control(head.method, path))
            return True
        expected = head.headers.get("x-expect-instance", self.instance)
        if expected != self.instance:
            writer.write(self._reject(head, 421))
            return True
        arrival = Arrival(
            time.monotonic(),
            self.instance,
            head.headers["x-attempt-id"],
            head.target,
            head.headers.get("x-tenant", ""),
            int(head.headers.get("last-event-id", "0")),
            len(head.body),
        )
        self.arrivals.append(arrival)
        return await self.run(head, arrival, writer)

    def _control(self, method: str, path: str) -> bytes:
        if path == "/health":
            return response(200, {"X-Instance-Id": self.instance})
        if path == "/report" and method == "GET":
            return self._json(self.report())
        return response(404, {})

    def report(self) -> dict:
        return {"born": self.born}

    def _json(self, body: object) -> bytes:
        fields = {"Content-Type": "application/json"}
        return response(200, fields, json.dumps(body).encode())

    def _reject(self, head: Message, status: int) -> bytes:
        return response(
            status,
            {
                "X-Attempt-Id": head.headers["x-attempt-id"],
                "X-Not-Executed": "1",
                "X-Instance-Id": self.instance,
            },
        )

    def receipt(self, head: Message) -> dict[str, str]:
        request_id = head.headers["x-attempt-id"]
        return {
            "X-Attempt-Id": request_id,
            "X-Response-Seal": f"seal-{self.instance}-{request_id}",
            "Keep-Alive": "timeout=15",
        }

    async def run(self, head: Message, arrival: Arrival, writer) -> bool:
        raise NotImplementedError


class PlainRunner(Runner):
    """Answer each request after its work; `body` returns the answer's body."""

    def __init__(self, *args, work_s=0.03, body: Callable[[Message], bytes]) -> None:
        super().__init__(*args)
        self.work_s, self.body = work_s, body

    async def run(self, head, arrival, writer) -> bool:
        async with self._gate:
            arrival.ran_at_s = time.monotonic()
            await asyncio.sleep(self.work_s)
        arrival.outcome = "ok"
        writer.write(response(200, self.receipt(head), self.body(head)))
        return True


@dataclass
class ModelOptions:
    """Set the pace of model runners, as in the sheet of a small deployment."""

    tokens_per_ms: float = 5.0
    first_ms: float = 61.0
    gap_s: float = 0.03
    n_events: int = 20
    # Called with the runner and the head as the run begins with its first token;
    # returns "ok", "crash" or after how many events it goes "mute".
    fate: Callable[[Runner, Message], str | int] = field(
        default=lambda runner, head: "ok"
    )


class ModelRunner(Runner):
    """Stream events with increasing ids; a mute run keeps its channel open."""

    def __init__(self, *args, options: ModelOptions) -> None:
        super().__init__(*args)
        self.options = options
        self.n_running = 0

    def report(self) -> dict:
        return {
            "stage": "colocated",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "sequence": 1,
            "waiting": 0,
            "running": self.n_running,
            "kv-used": 0,
            "kv-total": 55000,
            "handles": 0,
            "born": self.born,
        }

    def _control(self, method: str, path: str) -> bytes:
        if path == "/kv-list":
            return self._json({"epoch": 1, "next": 1, "held": []})
        return super()._control(method, path)

    async def run(self, head, arrival, writer) -> bool:
        options = self.options
        n_prompt = int(head.headers.get("x-token-usage", "0,0").split(",")[0])
        async with self._gate:
            await asyncio.sleep(
                (options.first_ms + n_prompt / options.tokens_per_ms) / 1000.0
            )
            if writer.is_closing():
                arrival.outcome = "closed in the queue"
                return False
            arrival.ran_at_s = time.monotonic()
            self.n_running += 1
            try:
                return await self._stream(head, arrival, writer)
            finally:
                self.n_running -= 1

    async def _stream(self, head, arrival, writer) -> bool:
        options = self.options
        fate = options.fate(self, head)
        if fate == "crash":
            arrival.outcome = "crash"
            return False
        fields = self.receipt(head) | {
            "Content-Type": "text/event-stream",
            "Transfer-Encoding": "chunked",
            "X-Weight-Versions": "1",
        }
        lines = [f"{name}: {value}" for name, value in fields.items()]
        writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
        first = arrival.after_event + 1
        for number in range(first, options.n_events + 1):
            if isinstance(fate, int) and number - first >= fate:
                arrival.outcome = f"mute after event {number - 1}"
                while not writer.is_closing():
                    await asyncio.sleep(0.05)
                return False
            event = f"id: {number}\ndata: {arrival.target}-{number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(options.gap_s)
        writer.write(b"0\r\n\r\n")
        arrival.outcome = "ok"
        return True
