import unittest
from hashlib import sha256

from nose2.tools import params

from bronzeline_kernel.config import load_config, resolve
from bronzeline_kernel.exceptions import SettingsError


def key_hash(name):
    return sha256(name.encode()).hexdigest()


def document(**changes):
    data = {
        "revision": 3,
        "services": {"desk": {"kind": "engine", "models": ["m"]}},
        "workspaces": {"guild": {"key_sha256": key_hash("guild")}},
    }
    return {**data, **changes}


def rule(number=0, **changes):
    data = {
        "exception_id": f"e{number}",
        "scope": "workspace:guild",
        "option": "plain_deadline_ms",
        "value": 9000,
        "reason": "slow till",
    }
    return {**data, **changes}


ROUTES = [
    {"method": "POST", "path_prefix": "/a", "is_repeatable": True},
    {"method": "POST", "path_prefix": "/a", "is_repeatable": False},
]


class CheckTests(unittest.TestCase):
    @params(
        ({"exceptions": [rule(option="colour")]}, ["/exceptions/0/option"]),
        ({"exceptions": [rule(value="soon")]}, ["/exceptions/0/value"]),
        ({"exceptions": [rule(value=-1)]}, ["/exceptions/0/value"]),
        ({"exceptions": [rule(scope="workspace:x")]}, ["/exceptions/0/scope"]),
        ({"exceptions": [rule(scope="model:x")]}, ["/exceptions/0/scope"]),
        ({"exceptions": [rule(scope="model:m")]}, ["/exceptions/0/scope"]),
        ({"exceptions": [rule(option="store_reads_per_s")]}, ["/exceptions/0/scope"]),
        ({"exceptions": [rule(), rule(1)]}, ["/exceptions/1"]),
        (
            {"exceptions": [rule(), rule(scope="service:desk")]},
            ["/exceptions/1/exception_id"],
        ),
        (
            {
                "workspaces": {
                    "a": {"key_sha256": key_hash("a")},
                    "b": {"key_sha256": key_hash("a")},
                }
            },
            ["/workspaces/b/key_sha256"],
        ),
        (
            {"services": {"till": {"kind": "plain", "routes": ROUTES}}},
            ["/services/till/routes/1"],
        ),
        (
            {"revision": -1, "exceptions": [rule(reason=""), rule(1, option="x")]},
            ["/exceptions/0/reason", "/exceptions/1/option", "/revision"],
        ),
    )
    def test_every_inconsistency_is_reported_by_path(self, changes, paths):
        with self.assertRaises(SettingsError) as caught:
            load_config(document(**changes), "test")
        found = sorted(item.path for item in caught.exception.problems)
        self.assertEqual(found, paths)

    @params(
        ({}, 1500.0, "default"),
        ({"workspace": "guild"}, 1.0, "e1"),
        ({"workspace": "guild", "model": "m"}, 1.0, "e1"),
        ({"service": "desk", "workspace": "guild"}, 1.0, "e1"),
        ({"service": "desk"}, 2.0, "e2"),
        ({"service": "desk", "model": "m"}, 2.0, "e2"),
        ({"model": "m"}, 1500.0, "default"),
    )
    def test_narrowest_active_exception_applies(self, scopes, value, expected_rule):
        option = "stall_timeout_ms"
        rules = [
            rule(1, option=option, value=1),
            rule(2, option=option, scope="service:desk", value=2),
            rule(3, option=option, scope="model:m", value=3, expires_at_s=50.0),
        ]
        config = load_config(document(exceptions=rules), "test")
        found = resolve(config, 3, option, now_s=50.0, **scopes)
        self.assertEqual(
            (found.value, found.rule, found.version), (value, expected_rule, 3)
        )
        self.assertIsInstance(found.value, float)
