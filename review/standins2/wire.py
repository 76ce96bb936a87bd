"""Read and write HTTP/1.1 messages on asyncio streams."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field


class BrokenMessageError(Exception):
    """Raised when a connection ends within a message."""


@dataclass
class Message:
    """Hold a request or a response; names of headers are in lowercase."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    @property
    def method(self) -> str:
        """Return the method of a request."""
        return self.start.split(" ")[0]

    @property
    def target(self) -> str:
        """Return the target of a request."""
        return self.start.split(" ")[1]

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the next head, None if the connection ended before it."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise BrokenMessageError("the head is incomplete") from None
        return None
    start, *lines = raw.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if line)
    headers = {name.strip().lower(): value.strip() for name, value in pairs}
    return Message(start, headers)


async def read_chunk(reader: asyncio.StreamReader) -> bytes:
    """Return the next chunk of a body, empty at its end."""
    try:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        data = await reader.readexactly(size + 2)
    except (asyncio.IncompleteReadError, ValueError):
        raise BrokenMessageError("the body is incomplete") from None
    return data[:-2]


async def read_body(reader: asyncio.StreamReader, head: Message) -> bytes:
    """Return the body that follows a head."""
    if head.headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while chunk := await read_chunk(reader):
            parts.append(chunk)
        return b"".join(parts)
    size = int(head.headers.get("content-length", "0"))
    try:
        return await reader.readexactly(size)
    except asyncio.IncompleteReadError:
        raise BrokenMessageError("the body is incomplete") from None


def response(status: int, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return the bytes of a response with a length."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def request(
    method: str, target: str, headers: dict[str, str], body: bytes = b""
) -> bytes:
    """Return the bytes of a request; one with a body has its length."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method in ("POST", "PUT"):
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
