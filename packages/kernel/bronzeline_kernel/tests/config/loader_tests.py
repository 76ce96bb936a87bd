import json
import unittest

from nose2.tools import params

from bronzeline_kernel.config import Settings, load_document
from bronzeline_kernel.exceptions import SettingsError

VALID = {
    "router": {
        "router_id": "router-0",
        "host": "127.0.0.1",
        "caller_port": 8080,
        "peer_port": 8081,
        "availability_zone": "lowcountry-a",
        "region": "lowcountry",
    },
    "object_store": {"plugin": "http", "options": {"url": "http://127.0.0.1:1"}},
    "vm_list": {"plugin": "http", "options": {"url": "http://127.0.0.1:1"}},
    "peers": {"shared_key": "0123456789abcdef"},
}


def with_change(path, value):
    data = json.loads(json.dumps(VALID))
    *parents, last = path
    section = data
    for parent in parents:
        section = section[parent]
    if value is None:
        del section[last]
    else:
        section[last] = value
    return data


class LoaderTests(unittest.TestCase):
    def test_valid_settings_load(self):
        settings = load_document(Settings, VALID, "test")
        self.assertEqual(settings.router.caller_port, 8080)

    @params(
        (("router", "router_id"), None, "/router/router_id"),
        (("router", "caller_port"), 70_000, "/router/caller_port"),
        (("router", "caller_port"), "8080", "/router/caller_port"),
        (("router", "colour"), "red", "/router/colour"),
        (("peers", "shared_key"), "short", "/peers/shared_key"),
        (("peers", "heartbeat_interval_ms"), -1, "/peers/heartbeat_interval_ms"),
    )
    def test_mistake_is_reported_by_path(self, path, value, expected_path):
        with self.assertRaises(SettingsError) as caught:
            load_document(Settings, with_change(path, value), "test")
        paths = [problem.path for problem in caught.exception.problems]
        self.assertEqual(paths, [expected_path])

    def test_every_mistake_is_reported_at_once(self):
        data = with_change(("router", "caller_port"), 70_000)
        data["colour"] = "red"
        del data["peers"]
        with self.assertRaises(SettingsError) as caught:
            load_document(Settings, data, "test")
        self.assertEqual(len(caught.exception.problems), 3)
