import asyncio
import re
import shlex
import tempfile
import unittest
from pathlib import Path

from bronzeline.tests.commands_tests import Console, quarantine_on_all_routers
from bronzeline_daemon.daemon import Daemon
from bronzeline_daemon.handlers.errors import ERROR_KINDS
from bronzeline_kernel.plugins import load_plugins
from bronzeline_standins.caller import Caller
from bronzeline_standins.embedded import EmbeddedFleet
from bronzeline_standins.topology import GUILD, workspace_key

DOCS = Path(__file__).parents[4] / "docs"
ORDER_KEY = "robes-for-the-harbor-spa"


def documented_commands():
    """Return the lines of the operators' page that run the command."""
    page = (DOCS / "user-guide/operators.md").read_text(encoding="utf-8")
    lines = []
    for block in re.findall(r"```sh\n(.*?)```", page, re.DOTALL):
        lines.extend(block.replace("\\\n", " ").splitlines())
    return [line for line in lines if line.startswith("bronzeline ")]


def relative_links():
    for page in DOCS.rglob("*.md"):
        if page == DOCS / "dev-guide/index.md":
            continue
        for target in re.findall(r"\]\(([^)#]+)[^)]*\)", page.read_text()):
            if "://" not in target:
                yield page, target


class DocsTests(unittest.TestCase):
    def test_every_documented_command_works_as_printed(self):
        async def scenario(folder):
            fleet = EmbeddedFleet(GUILD, n_routers=3)
            await fleet.start()
            try:
                return await self.run_commands(fleet, folder)
            finally:
                await fleet.stop()

        with tempfile.TemporaryDirectory() as folder:
            failures = asyncio.run(scenario(Path(folder)))
        self.assertEqual(failures, [])

    async def run_commands(self, fleet, folder):
        """Run the documented lines in order, with this fleet's ids and addresses."""
        router = fleet.routers[0]
        caller = Caller(router.caller_port, workspace_key("guild-00"))
        await caller.stream(GUILD.model, "plan", 3)
        await caller.order("order-desk", ORDER_KEY, b"50 robes")
        generation = next(
            item.subject.partition("/")[0]
            for item in router.decisions.latest()
            if item.subject.startswith("gen-")
        )
        entry_id = quarantine_on_all_routers(fleet)[0].entry_id
        console = Console(fleet)
        failures = []
        for line in documented_commands():
            command = line.replace("gen-0123456789abcdef01234567", generation)
            command = command.replace("0123456789abcdef", entry_id)
            command = command.replace("http://10.0.0.5:8080", console.routers[0])
            result = await self.run_line(console, command, folder)
            if result.exit_code:
                failures.append((line, result.output))
        return failures

    async def run_line(self, console, line, folder):
        arguments = shlex.split(line, comments=True)[1:]
        arguments = [
            str(folder / word) if ".json" in word else word for word in arguments
        ]
        if ">" not in arguments:
            return await console.run(arguments)
        position = arguments.index(">")
        result = await console.run(arguments[:position])
        Path(arguments[position + 1]).write_text(result.output, encoding="utf-8")
        return result

    def test_every_error_code_is_listed_with_its_status(self):
        page = (DOCS / "user-guide/callers.md").read_text(encoding="utf-8")
        rows = dict(re.findall(r"^\| (\d{3}) \| (.*) \|$", page, re.MULTILINE))
        for code, kind in ERROR_KINDS.items():
            self.assertIn(f"`{code}`", rows[str(int(kind.status))])

    def test_every_documented_metric_is_exposed(self):
        page = (DOCS / "user-guide/operators.md").read_text(encoding="utf-8")
        names = re.findall(r"`((?:bronzeline|process)_[a-z_]+)`", page)
        settings = EmbeddedFleet(GUILD, n_routers=1).router_settings(0)
        exposed = Daemon(settings, load_plugins()).metrics.expose().decode()
        missing = [name for name in names if f"# HELP {name} " not in exposed]
        self.assertEqual(missing, [])
        self.assertGreater(len(names), 10)

    def test_relative_links_have_existing_targets(self):
        broken = [
            f"{page.name}: {target}"
            for page, target in relative_links()
            if not (page.parent / target).exists()
        ]
        self.assertEqual(broken, [])
