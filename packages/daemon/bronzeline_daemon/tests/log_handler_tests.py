import asyncio
import contextlib
import logging
import os
import time
import unittest

from bronzeline_daemon.log_handler import NonBlockingHandler


def make_record(text, level=logging.INFO):
    return logging.LogRecord("test", level, "", 0, text, (), None)


class Pipe:
    """Provide a pipe whose reader reads only on request."""

    def __enter__(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        return self

    def __exit__(self, *failure):
        for fd in (self.reader, self.writer):
            with contextlib.suppress(OSError):
                os.close(fd)

    def read(self):
        data = b""
        while True:
            try:
                chunk = os.read(self.reader, 65_536)
            except BlockingIOError:
                return data.decode()
            if not chunk:
                return data.decode()
            data += chunk


class NonBlockingHandlerTests(unittest.IsolatedAsyncioTestCase):
    async def test_a_stopped_reader_does_not_block(self):
        with Pipe() as pipe:
            handler = NonBlockingHandler(pipe.writer, max_buffered_bytes=50_000)
            started_at_s = time.monotonic()
            for number in range(20_000):
                handler.emit(make_record(f"line {number} {'x' * 80}"))
            self.assertLess(time.monotonic() - started_at_s, 5.0)
            self.assertGreater(handler.n_dropped, 0)
            text = ""
            for _ in range(20):
                text += pipe.read()
                await asyncio.sleep(0.01)
            lines = text.splitlines()
            numbers = [int(line.split()[1]) for line in lines]
            self.assertEqual(numbers, sorted(numbers))
            self.assertEqual(numbers[-1], 19_999)
            self.assertEqual(len(lines) + handler.n_dropped, 20_000)
            handler.close()

    async def test_drops_info_lines_before_warnings(self):
        with Pipe() as pipe:
            handler = NonBlockingHandler(pipe.writer, max_buffered_bytes=20_000)
            handler.emit(make_record("x" * 200_000))
            for number in range(50):
                handler.emit(make_record(f"warning {number}", logging.WARNING))
            for _ in range(2_000):
                handler.emit(make_record("routine " + "y" * 50))
            text = ""
            for _ in range(50):
                text += pipe.read()
                await asyncio.sleep(0.01)
            warnings = [line for line in text.splitlines() if "warning" in line]
            self.assertEqual(len(warnings), 50)
            handler.close()

    async def test_a_closed_pipe_raises_nothing(self):
        with Pipe() as pipe:
            handler = NonBlockingHandler(pipe.writer)
            os.close(pipe.reader)
            handler.emit(make_record("nobody reads this"))
            self.assertEqual(handler.n_dropped, 1)
            handler.close()
