import asyncio
import json
import unittest

from nose2.tools import params

from bronzeline_daemon.handlers.completion_format import (
    ChatFormat,
    ChunkEncoder,
    TextFormat,
)
from bronzeline_daemon.handlers.responses import BufferedResponse, StreamedResponse
from bronzeline_kernel.generation import (
    Deliver,
    EndAnswer,
    FailAnswer,
    GenerationSpec,
)

SPEC = GenerationSpec("gen-1", "shop", "desk", "model", "prompt", 10)
TEXTS = ["plain", 'with "quotes"', "\x00 \\ \n", "äöü 한국어 🧵"]


class FakeConnection:
    def __init__(self, handler):
        self.handler = handler

    def write(self, data):
        return self.handler.record(data)


class FakeHandler:
    """Record writes; if slow, a write completes when the test resolves its future."""

    def __init__(self, is_slow=False):
        self.request = self
        self.connection = FakeConnection(self)
        self.is_slow = is_slow
        self.was_dispatched = True
        self.may_run_elsewhere = False
        self.retry_after_s = 4
        self.writes = []
        self.pending = []
        self.body = b""
        self.status = 200
        self.is_finished = False
        self.is_closed = False

    def record(self, data):
        self.writes.append(data)
        written = asyncio.get_running_loop().create_future()
        if self.is_slow:
            self.pending.append(written)
        else:
            written.set_result(None)
        return written

    def set_no_delay(self):
        self.has_no_delay = True

    def set_header(self, name, value):
        pass

    def write(self, data):
        self.body += data

    def flush(self):
        return self.record(self.body)

    def finish(self, data=b""):
        self.body = data
        self.is_finished = True

    def finish_error(self, status, detail, retry_after_s):
        self.status = status
        self.detail = detail
        self.sent_retry_after_s = retry_after_s
        self.is_finished = True

    def close_connection(self):
        self.is_closed = True


def deliver(*texts):
    return [
        Deliver(number, text, f"gen-1.{number}") for number, text in enumerate(texts)
    ]


def run(scenario, *, is_slow=False, kind=TextFormat):
    async def main():
        handler = FakeHandler(is_slow)
        response = StreamedResponse(handler, ChunkEncoder(SPEC, kind()), False)
        await scenario(handler, response)
        return handler

    return asyncio.run(main())


async def run_loop():
    for _ in range(3):
        await asyncio.sleep(0)


def events_of(handler):
    lines = b"".join(handler.writes).split(b"\n")
    return [line[6:] for line in lines if line.startswith(b"data: ")]


class StreamedResponseTests(unittest.TestCase):
    @params(TextFormat, ChatFormat)
    def test_streams_any_text_with_its_event_id(self, kind):
        async def scenario(handler, response):
            for event in [*deliver(*TEXTS), EndAnswer("stop", len(TEXTS), 2)]:
                response.write_event(event)
                await run_loop()
            self.assertEqual((await response.wait()).reason, "stop")

        handler = run(scenario, kind=kind)
        data = events_of(handler)
        self.assertEqual(data[-1], b"[DONE]")
        choices = [json.loads(item)["choices"][0] for item in data[:-1]]
        texts = [
            item.get("text", item.get("delta", {}).get("content")) for item in choices
        ]
        self.assertEqual([text for text in texts if text], TEXTS)
        self.assertEqual(choices[-1]["finish_reason"], "stop")
        self.assertIn(b"id: gen-1.3\n", b"".join(handler.writes))

    def test_events_of_one_loop_iteration_share_a_write(self):
        async def scenario(handler, response):
            for event in [*deliver(*"abcdef"), EndAnswer("stop", 6, 2)]:
                response.write_event(event)
            await response.wait()

        handler = run(scenario)
        self.assertTrue(handler.has_no_delay)
        self.assertEqual(len(handler.writes), 1)
        self.assertEqual(len(events_of(handler)), 8)

    def test_a_slow_caller_gets_few_writes_and_then_the_end(self):
        async def scenario(handler, response):
            for event in deliver(*"abcdef"):
                response.write_event(event)
                await run_loop()
            self.assertEqual(len(handler.writes), 1)
            handler.pending.pop().set_result(None)
            await run_loop()
            response.write_event(EndAnswer("stop", 6, 2))
            await run_loop()
            self.assertFalse(handler.is_finished)
            while handler.pending:
                handler.pending.pop().set_result(None)
                await run_loop()
            await response.wait()

        handler = run(scenario, is_slow=True)
        self.assertTrue(handler.is_finished)
        self.assertEqual(len(handler.writes), 3)
        self.assertEqual(len(events_of(handler)), 8)

    @params(
        ("no_upstream", 503, False, "not_run", 4),
        ("overloaded", 503, True, "delivered", 4),
        ("workspace_limit", 429, False, "not_run", 4),
        ("quarantined", 422, False, "not_run", None),
        ("quarantined", 422, True, "delivered", None),
        ("attempts_exhausted", 502, True, "delivered", 4),
        ("continuation_lost", 502, True, "delivered", None),
        ("unknown_event_id", 400, False, "not_run", None),
        ("superseded", 409, True, "delivered", None),
        ("anything_else", 503, True, "delivered", 4),
    )
    def test_a_failure_before_any_token_sets_the_http_status(
        self, code, status, was_dispatched, run_status, retry_after_s
    ):
        async def scenario(handler, response):
            handler.was_dispatched = was_dispatched
            response.write_event(FailAnswer(code, 0))
            await response.wait()

        handler = run(scenario)
        self.assertEqual((handler.status, handler.writes), (status, []))
        self.assertEqual(handler.detail.run_status, run_status)
        self.assertEqual(handler.sent_retry_after_s, retry_after_s)

    @params(("no_upstream", False, "in_doubt"), ("overloaded", True, "delivered"))
    def test_a_failure_of_what_may_run_elsewhere_is_not_told_not_run(
        self, code, was_dispatched, run_status
    ):
        async def scenario(handler, response):
            handler.was_dispatched = was_dispatched
            handler.may_run_elsewhere = True
            response.write_event(FailAnswer(code, 0))
            await response.wait()

        self.assertEqual(run(scenario).detail.run_status, run_status)

    def test_a_failure_after_tokens_is_an_event_with_their_number(self):
        async def scenario(handler, response):
            for event in [*deliver("a", "b"), FailAnswer("no_upstream", 2)]:
                response.write_event(event)
            await response.wait()

        *_, last = events_of(run(scenario))
        error = json.loads(last)["error"]
        self.assertEqual((error["run_status"], error["n_delivered"]), ("delivered", 2))

    def test_a_superseded_stream_is_closed_without_an_end_event(self):
        async def scenario(handler, response):
            response.write_event(deliver("a")[0])
            await run_loop()
            response.write_event(FailAnswer("superseded", 1))
            await response.wait()

        handler = run(scenario)
        self.assertTrue(handler.is_closed)
        self.assertFalse(handler.is_finished)
        self.assertEqual(len(handler.writes), 1)

    def test_nothing_is_written_for_a_caller_who_left(self):
        async def scenario(handler, response):
            response.write_event(deliver("a")[0])
            response.close()
            response.write_event(EndAnswer("stop", 1, 1))
            await run_loop()
            self.assertIsNone(await response.wait())

        self.assertEqual(run(scenario).writes, [])


class BufferedResponseTests(unittest.TestCase):
    def test_tokens_are_joined_and_counted(self):
        async def main():
            handler = FakeHandler()
            response = BufferedResponse(handler, ChunkEncoder(SPEC, ChatFormat()))
            for event in [*deliver(*TEXTS), EndAnswer("length", 4, 3)]:
                response.write_event(event)
            await response.wait()
            return json.loads(handler.body)

        body = asyncio.run(main())
        message = body["choices"][0]["message"]
        self.assertEqual(message["content"], "".join(TEXTS))
        self.assertEqual(body["usage"]["total_tokens"], 7)
