"""A small HTTP/1.1 server and client on asyncio streams."""

import asyncio
import contextlib
import socket
import struct

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
REASONS = {200: "OK", 201: "Created", 421: "Misdirected Request", 503: "Unavailable"}


class Request:
    """One request as it was read from a connection."""

    def __init__(self, method, target, headers, body, connection):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body
        self.connection = connection


class Connection:
    """The server's side of one connection."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer
        self.is_closed = False

    def write(self, data):
        if not self.is_closed:
            self.writer.write(data)

    def respond(self, status, headers=(), body=b""):
        lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
        lines += [f"{name}: {value}" for name, value in headers]
        lines.append(f"Content-Length: {len(body)}")
        self.write(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)

    def reset(self):
        """Close the connection so that the peer sees a reset."""
        self.is_closed = True
        sock = self.writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self.writer.close()


class Server:
    """Serve one handler; requests of a connection are served one at a time."""

    def __init__(self, host, port, handler):
        self.host = host
        self.port = port
        self._handler = handler
        self._connections = set()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20, backlog=512
        )

    def stop(self):
        """Stop listening and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for connection in list(self._connections):
            connection.reset()

    async def _serve(self, reader, writer):
        connection = Connection(reader, writer)
        self._connections.add(connection)
        try:
            while not connection.is_closed:
                request = await read_request(reader, connection)
                if request is None:
                    break
                await self._handler(request)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            connection.is_closed = True
            self._connections.discard(connection)
            writer.close()


async def read_head(reader):
    """Return the first line and the headers, or None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    start, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return start, headers


async def read_request(reader, connection):
    head = await read_head(reader)
    if head is None:
        return None
    start, headers = head
    method, target, _ = start.split(" ", 2)
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b"".join([chunk async for chunk in read_chunks(reader)])
    elif int(headers.get("content-length", "0")):
        body = await reader.readexactly(int(headers["content-length"]))
    return Request(method, target, headers, body, connection)


async def read_chunks(reader):
    while size := int(await reader.readuntil(b"\r\n"), 16):
        chunk = await reader.readexactly(size)
        await reader.readexactly(2)
        yield chunk
    await reader.readexactly(2)


class Answer:
    """What a client got: status 0 without a response head."""

    def __init__(self):
        self.status = 0
        self.headers = {}
        self.body = b""
        self.is_complete = False


async def read_answer(reader, answer, on_chunk=None):
    """Read a response into `answer`; it stays incomplete if the channel ends."""
    head = await read_head(reader)
    if head is None:
        return
    start, answer.headers = head
    answer.status = int(start.split(" ")[1])
    try:
        if answer.headers.get("transfer-encoding", "").lower() == "chunked":
            async for chunk in read_chunks(reader):
                answer.body += chunk
                if on_chunk is not None:
                    on_chunk(chunk)
        else:
            length = int(answer.headers.get("content-length", "0"))
            answer.body = await reader.readexactly(length)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return
    answer.is_complete = True
