"""Stand in for clients: send a request on a channel and read the whole answer."""

from __future__ import annotations

import asyncio
import itertools
import time
from dataclasses import dataclass, field

from standins2.wire import (
    BrokenMessageError,
    Message,
    read_body,
    read_chunk,
    read_head,
    request,
)

_numbers = itertools.count(1)


@dataclass
class Answer:
    """Hold what a client saw; a status of 0 is a channel closed without an answer."""

    request_id: str
    sent_at_s: float
    status: int = 0
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    is_complete: bool = False
    ended_at_s: float = 0.0
    event_ids: list[int] = field(default_factory=list)


def new_id(prefix: str) -> str:
    """Return an id that no other client attempt has."""
    return f"{prefix}{next(_numbers):06x}"


class Channel:
    """Keep one channel to a router open for many requests."""

    def __init__(self, address: tuple[str, int]) -> None:
        self.address = address
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None

    async def open(self, **options) -> None:
        self._reader, self._writer = await asyncio.open_connection(
            *self.address, limit=1 << 22, **options
        )

    async def send(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        budget_s: float = 1.2,
    ) -> Answer:
        """Send a request; return what came until the time budget ended."""
        request_id = new_id("a")
        fields = {
            "Host": "guild.example",
            "X-Attempt-Id": request_id,
            "X-Deadline-Ms": str(int(budget_s * 1000)),
            **headers,
        }
        if self._writer is None or self._writer.is_closing():
            await asyncio.wait_for(self.open(), 1.0)
        answer = Answer(request_id, time.monotonic())
        try:
            self._writer.write(request(method, target, fields, body))
            await asyncio.wait_for(self._read(answer), budget_s)
        except (OSError, TimeoutError, BrokenMessageError):
            self.close()
        answer.ended_at_s = time.monotonic()
        return answer

    async def _read(self, answer: Answer) -> None:
        head = await read_head(self._reader)
        if head is None:
            raise BrokenMessageError("closed without an answer")
        answer.status, answer.headers = head.status, head.headers
        is_stream = "text/event-stream" in head.headers.get("content-type", "")
        if is_stream and head.headers.get("transfer-encoding") == "chunked":
            await self._read_events(answer)
        else:
            answer.body = await read_body(self._reader, head)
        answer.is_complete = True
        if "close" in head.headers.get("connection", "").lower():
            self.close()

    async def _read_events(self, answer: Answer) -> None:
        while chunk := await read_chunk(self._reader):
            answer.body += chunk
            for line in chunk.split(b"\n"):
                if line.startswith(b"id:"):
                    answer.event_ids.append(int(line[3:]))

    def close(self) -> None:
        if self._writer is not None:
            self._writer.close()


def is_promise(message: Message | Answer) -> bool:
    """Return whether an answer promises that the request has not run."""
    return message.status in (408, 421, 429, 503)
