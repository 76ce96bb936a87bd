import asyncio
import re
import tempfile
import types
import unittest
from dataclasses import replace
from pathlib import Path

import msgspec
from nose2.tools import params

from bronzeline_daemon.daemon import Daemon
from bronzeline_kernel.config import PluginSettings
from bronzeline_kernel.exceptions import PluginError
from bronzeline_kernel.plugins import EVENTS, PluginRegistry, load_plugins
from bronzeline_standins.caller import Caller
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import GUILD, workspace_key

DOCS = Path(__file__).parents[4] / "docs/dev-guide/plugins.md"


def documented_plugin():
    """Return the example module of the plug-ins page."""
    page = DOCS.read_text(encoding="utf-8")
    code = re.search(r"```python\n(.*?)```", page, re.DOTALL)[1]
    module = types.ModuleType("file_vm_list")
    exec(compile(code, "plugins.md", "exec"), module.__dict__)
    return module


class PluginsTests(unittest.TestCase):
    def test_the_documented_plugin_serves_a_router(self):
        module = documented_plugin()

        async def scenario(path):
            fleet = EmbeddedFleet(GUILD, n_routers=1)
            await fleet.start()
            path.write_bytes(msgspec.json.encode(fleet.platform.listing()))
            await fleet.routers[0].stop()
            settings = replace(
                fleet.router_settings(0),
                vm_list=PluginSettings("file", {"path": str(path)}),
            )
            registry = load_plugins()
            module.register(registry)
            daemon = Daemon(settings, registry)
            await daemon.start()
            caller = Caller(daemon.caller_port, workspace_key("guild-00"))
            completion = await caller.stream(GUILD.model, "plan", 3)
            await daemon.stop()
            await fleet.stop()
            return completion

        with tempfile.TemporaryDirectory() as folder:
            completion = asyncio.run(scenario(Path(folder) / "vms.json"))
        self.assertEqual(len(completion.tokens), 3)
        self.assertGreater(sum(module.COUNTS.values()), 0)

    def test_events_reach_listeners_in_order_and_all_are_documented(self):
        registry = PluginRegistry()
        calls = []
        registry.on("startup", lambda daemon: calls.append((1, daemon)))
        registry.on("startup", lambda daemon: calls.append((2, daemon)))
        registry.on("startup", lambda: None)
        registry.on("startup", lambda daemon: calls.append((3, daemon)))
        registry.on_listener_error = lambda event, error: calls.append(type(error))
        registry.run_event("startup", daemon="d")
        self.assertEqual(calls, [(1, "d"), (2, "d"), TypeError, (3, "d")])
        page = DOCS.read_text(encoding="utf-8")
        for event, description in EVENTS.items():
            self.assertIn(f"| `{event}` | {description.partition(';')[0]}", page)

    @params(
        (lambda registry: registry.on("begin", print), "known: startup"),
        (lambda registry: registry.create("engine", "none"), "known: http"),
        (lambda registry: registry.register("engine", "http", print), "two plug-ins"),
    )
    def test_errors_name_the_problem(self, misuse, expected):
        with self.assertRaises(PluginError) as caught:
            misuse(load_plugins())
        self.assertIn(expected, str(caught.exception))
