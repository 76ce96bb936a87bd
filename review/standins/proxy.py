"""A link between a router and the store that can be cut."""

import asyncio

READ_BYTES = 65_536
POLL_S = 0.01


class Proxy:
    """Forward connections; while `is_cut`, nothing passes and nothing is reset."""

    def __init__(self, host, port, target):
        self.host = host
        self.port = port
        self._target = target
        self.is_cut = False
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(self._serve, self.host, self.port)

    def stop(self):
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        peer_writer = None
        tasks = []
        try:
            await self._wait()
            peer_reader, peer_writer = await asyncio.open_connection(*self._target)
            self._writers.add(peer_writer)
            tasks = [
                asyncio.ensure_future(self._forward(reader, peer_writer)),
                asyncio.ensure_future(self._forward(peer_reader, writer)),
            ]
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            for task in tasks:
                task.cancel()
            for item in (writer, peer_writer):
                if item is not None:
                    self._writers.discard(item)
                    item.close()

    async def _forward(self, reader, writer):
        try:
            while data := await reader.read(READ_BYTES):
                await self._wait()
                writer.write(data)
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass

    async def _wait(self):
        while self.is_cut:
            await asyncio.sleep(POLL_S)
