import tempfile
import unittest
from pathlib import Path

from nose2.tools import params

from bronzeline_kernel.config import load_settings
from bronzeline_kernel.exceptions import SettingsError
from bronzeline_kernel.plugins import PluginRegistry

FIVE_MISTAKES = """\
{
  // Which router this is.
  "router": {
    "router_id": "router-0",
    "host": "127.0.0.1",
    "caller_port": 8080,
    "peer_port": 8080, // the same port
    "availability_zone": "lowcountry-a",
    "regoin": "lowcountry",
    "region": "lowcountry",
  },
  "object_store": {"plugin": "http", "options": {"url": "http://127.0.0.1:9000"}},
  "vm_list": {"plugin": "htpp", "options": {}},
  "peers": {
    "shared_key": "0123456789abcdef",
    "heartbeat_interval_s": 1,
  },
  "logs": {"level": "loud"},
}
"""
FIVE_MESSAGES = [
    "bad.json:7: /router/peer_port: peer_port and caller_port are both 8080"
    " (give each its own port)",
    "bad.json:9: /router/regoin: no key 'regoin' is known here"
    " (did you mean 'region'?)",
    "bad.json:13: /vm_list/plugin: no vm_list plug-in 'htpp' (known: http)",
    "bad.json:16: /peers/heartbeat_interval_s: 'heartbeat_interval_s' has the wrong"
    " unit (write 'heartbeat_interval_ms', in milliseconds)",
    "bad.json:18: /logs/level: Input should be 'debug', 'info', 'warning' or 'error',"
    ' not "loud" (give a value of the named type and range)',
]
VALID = (
    FIVE_MISTAKES.replace('"peer_port": 8080', '"peer_port": 8081')
    .replace('    "regoin": "lowcountry",\n', "")
    .replace("htpp", "http")
    .replace("heartbeat_interval_s", "heartbeat_interval_ms")
    .replace("loud", "info")
)
HASH = "a" * 64


def make_store(url: str, timeout_ms: float = 2_000.0) -> None:
    pass


def load(text):
    registry = PluginRegistry()
    registry.register("object_store", "http", make_store)
    for kind in ("vm_list", "engine", "plain"):
        registry.register(kind, "http", lambda: None)
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "bad.json"
        path.write_text(text, encoding="utf-8")
        return load_settings(path, registry)


def problem_messages(text):
    try:
        load(text)
    except SettingsError as error:
        return [
            str(item).replace(item.source, Path(item.source).name)
            for item in error.problems
        ]
    return []


class SettingsCheckTests(unittest.TestCase):
    def test_valid_settings_load(self):
        self.assertEqual(load(VALID).router.peer_port, 8081)

    def test_five_mistakes_give_five_messages_at_once(self):
        self.assertEqual(problem_messages(FIVE_MISTAKES), FIVE_MESSAGES)

    def test_the_docs_show_the_same_messages(self):
        root = Path(__file__).parents[5]
        page = (root / "docs/user-guide/operators.md").read_text(encoding="utf-8")
        for text in (FIVE_MISTAKES, *FIVE_MESSAGES):
            self.assertIn(text, page)

    @params(
        (('"url": "http://127.0.0.1:9000"', ""), 11, "/object_store/options/url"),
        (('"options": {"url"', '"options": {"timeout_ms": "2", "url"'), 11, "timeout"),
        (('"options": {"url"', '"options": {"urk": "", "url"'), 11, "did you mean"),
        (('"host": "127.0.0.1",', ""), 3, "/router/host: this key is missing"),
        (('"shared_key": "0123456789abcdef"', '"shared_key": 5'), 14, "not 5"),
        (('  "logs": {"level": "info"},', '  "logs" {}'), 17, "JSON"),
        (("8081", "9.5"), 7, "/router/peer_port"),
        (
            (
                "  // Which router this is.",
                f'  "admin": {{"operators": {{"mo": "{HASH}", "jo": "{HASH}"}}}},',
            ),
            2,
            "'mo' has the same key",
        ),
    )
    def test_a_mistake_is_reported_with_its_line(self, change, line, expected):
        messages = problem_messages(VALID.replace(*change))
        self.assertEqual(len(messages), 1, messages)
        self.assertIn(expected, messages[0])
        self.assertTrue(messages[0].startswith(f"bad.json:{line}: "), messages[0])

    def test_a_missing_file_is_reported(self):
        with self.assertRaises(SettingsError) as caught:
            load_settings(Path("no-such-file.json"), PluginRegistry())
        self.assertIn("no-such-file.json: /: No such file", str(caught.exception))
