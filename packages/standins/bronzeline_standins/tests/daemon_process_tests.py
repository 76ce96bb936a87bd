import asyncio
import json
import signal
import sys
import tempfile
import unittest
from dataclasses import asdict, replace
from pathlib import Path

from nose2.tools import params

from bronzeline_daemon.plugins.http_client import HttpClient
from bronzeline_standins.caller import Caller, StreamedCompletion
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.engine_model import EngineOptions
from bronzeline_standins.ports import HOST, free_port
from bronzeline_standins.topology import GUILD, workspace_key

N_TOKENS = 120
COMMAND = (sys.executable, "-m", "bronzeline_daemon", "--config")


async def wait_until(condition):
    for _ in range(1_000):
        if await condition():
            return True
        await asyncio.sleep(0.02)
    return False


async def status_of(port):
    try:
        response = await HttpClient().call(
            f"http://{HOST}:{port}/readyz",
            method="GET",
            headers={},
            body=None,
            timeout_ms=1_000.0,
        )
    except Exception:
        return None
    return response.code


def write_settings(fleet, folder, **changes):
    settings = fleet.router_settings(0)
    router = replace(
        settings.router,
        router_id="router-process",
        caller_port=free_port(),
        peer_port=free_port(),
        drain_grace_ms=300.0,
    )
    path = Path(folder) / "router.json"
    data = {**asdict(replace(settings, router=router)), **changes}
    path.write_text(json.dumps(data), encoding="utf-8")
    return path, router.caller_port


class DaemonProcessTests(unittest.TestCase):
    def test_sigterm_lets_the_running_stream_finish(self):
        async def scenario(folder):
            options = EngineOptions(inter_token_ms=10.0)
            fleet = EmbeddedFleet(GUILD, n_routers=1, engine_options=options)
            await fleet.start()
            path, port = write_settings(fleet, folder)
            process = await asyncio.create_subprocess_exec(
                *COMMAND, str(path), stderr=asyncio.subprocess.PIPE
            )
            try:
                return await self.stop_during_stream(process, port)
            finally:
                if process.returncode is None:
                    process.kill()
                    await process.wait()
                await fleet.stop()

        with tempfile.TemporaryDirectory() as folder:
            completion, was_unready, status, log = asyncio.run(scenario(folder))
        self.assertEqual(len(completion.tokens), N_TOKENS)
        self.assertTrue(completion.is_done)
        self.assertTrue(was_unready)
        self.assertEqual(status, 0)
        for event in ("started", "stopping", "stopped"):
            self.assertIn(f"event={event} router=router-process", log)

    async def stop_during_stream(self, process, port):
        async def is_ready():
            return await status_of(port) == 200

        async def is_unready():
            return await status_of(port) == 503

        await wait_until(is_ready)
        completion = StreamedCompletion()
        caller = Caller(port, workspace_key("guild-00"))
        stream_task = asyncio.ensure_future(
            caller.stream(GUILD.model, "plan", N_TOKENS, answer=completion)
        )

        async def has_begun():
            return len(completion.tokens) > 5

        await wait_until(has_begun)
        process.send_signal(signal.SIGTERM)
        was_unready = await wait_until(is_unready)
        await stream_task
        log = (await process.stderr.read()).decode()
        return completion, was_unready, await process.wait(), log

    @params(
        ({}, "--check", 0, "settings are valid"),
        ({"logs": {"level": "loud"}}, "--check", 2, "/logs/level"),
        ({"logs": {"level": "loud"}}, None, 2, "/logs/level"),
        ({"vm_list": {"plugin": "none"}}, "--check", 2, "known: http"),
    )
    def test_settings_are_checked_before_anything_starts(
        self, changes, option, status, expected
    ):
        async def scenario(folder):
            fleet = EmbeddedFleet(GUILD, n_routers=1)
            path, _ = write_settings(fleet, folder, **changes)
            process = await asyncio.create_subprocess_exec(
                *COMMAND,
                str(path),
                *([option] if option else []),
                stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.STDOUT,
            )
            output, _ = await process.communicate()
            return process.returncode, output.decode()

        with tempfile.TemporaryDirectory() as folder:
            found, output = asyncio.run(scenario(folder))
        self.assertEqual(found, status, output)
        self.assertIn(expected, output)
